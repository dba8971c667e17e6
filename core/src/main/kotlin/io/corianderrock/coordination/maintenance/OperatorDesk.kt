/*
 * The changes that operators make to waves and single instances, from any entry.
 */
package io.corianderrock.coordination.maintenance

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.Platform
import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.Row
import io.corianderrock.coordination.fleet.INSTANCE_PREFIX
import io.corianderrock.coordination.fleet.decodeInstanceRow
import io.corianderrock.coordination.map
import io.corianderrock.coordination.record.AuditRecord
import io.corianderrock.state.Declarations
import io.corianderrock.state.InstancePhase
import io.corianderrock.state.InstanceRow
import io.corianderrock.state.ListedInstance
import kotlinx.serialization.Serializable

/** What an operator asks of a wave. */
@Serializable
public enum class WaveAction { START, PAUSE, RESUME, ABORT }

/** The result of an operator's change. */
public sealed interface DeskResult {
    /** The change is committed. */
    public data class Done(
        val summary: String,
    ) : DeskResult

    /** The change is not allowed now; [reason] says why and what to do. */
    public data class Refused(
        val reason: String,
    ) : DeskResult

    /** The platform failed. */
    public data class Failed(
        val failure: PlatformResult.Failed,
    ) : DeskResult
}

/** Commits operators' changes; each competes with the controller by the revisions of rows and budgets. */
public class OperatorDesk(
    private val platform: Platform,
    private val clock: Clock,
    private val unhealthy: () -> Set<String>,
    newId: () -> String,
) {
    private val committer = StepCommitter(platform, AuditRecord(platform), newId)

    /** Reads every wave that was ever started. */
    public fun waves(): PlatformResult<List<WaveRow>> = platform.scan(WAVE_PREFIX).map { rows -> rows.map(::decodeWave) }

    /** Reads the rows of all instances. */
    public fun instances(): PlatformResult<List<InstanceRow>> = platform.scan(INSTANCE_PREFIX).map { rows -> rows.map(::decodeInstanceRow) }

    /** Reads the whole fleet, to explain a decision by. */
    public fun picture(declarations: Declarations): FleetPicture? {
        val rows = read(INSTANCE_PREFIX) ?: return null
        val waves = read(WAVE_PREFIX) ?: return null
        val budgets = read(BUDGET_PREFIX) ?: return null
        val listed = (platform.instances(sinceRevision = 0) as? PlatformResult.Ok ?: return null).value.instances
        return FleetPicture(
            declarations = declarations,
            rows = rows.map { Revised(decodeInstanceRow(it), it.revision) }.associateBy { it.value.id },
            listed = listed.associateBy(ListedInstance::id),
            budgets = budgets.map { Revised(decodeBudget(it), it.revision) }.associateBy { it.value.pool },
            waves = waves.map { Revised(decodeWave(it), it.revision) }.associateBy { it.value.name },
            unhealthy = unhealthy(),
            nowMs = clock.wallMs(),
        )
    }

    /** Applies [action] to the wave called [name]. */
    public fun wave(
        declarations: Declarations,
        name: String,
        action: WaveAction,
        operator: String,
    ): DeskResult {
        if (declarations.waves.none { it.name == name }) {
            return DeskResult.Refused("no wave is called \"$name\"; declared are ${declarations.waves.joinToString { it.name }}")
        }
        return withPicture(declarations) { picture ->
            val before = picture.waves[name]?.value ?: WaveRow(name, 0, WaveStatus.FINISHED, operator, picture.nowMs)
            when (val after = changed(before, action, operator, picture.nowMs)) {
                null -> DeskResult.Refused("wave ${before.runId} is ${before.status}; ${action.name.lowercase()} does not apply")
                else ->
                    commit(
                        Step.ChangeWave(before, after, "wave-${action.name.lowercase()}", "operator"),
                        picture,
                        operator,
                        "${after.runId} is ${after.status}",
                    )
            }
        }
    }

    /** Takes an instance out of service, or returns one that an operator took out. */
    public fun drain(
        declarations: Declarations,
        instance: String,
        isReturn: Boolean,
        operator: String,
    ): DeskResult =
        withPicture(declarations) { picture ->
            val row =
                picture.rows[instance]?.value ?: return@withPicture DeskResult.Refused("no pool has an instance \"$instance\"; see status")
            if (isReturn) giveBack(row, picture, operator) else takeOut(row, picture, operator)
        }

    private fun takeOut(
        row: InstanceRow,
        picture: FleetPicture,
        operator: String,
    ): DeskResult {
        if (row.phase != InstancePhase.ASSIGNED) return DeskResult.Refused("${row.id} is ${row.phase} already")
        val account = BudgetAccount(picture, row.pool)
        if (!account.allows(row)) {
            return DeskResult.Refused(
                "the budget of pool ${row.pool} has no room: out of service are ${account.unavailable.sorted().joinToString()}",
            )
        }
        val after = row.next(InstancePhase.DRAINING, picture.nowMs).copy(drainedBy = operator)
        return commit(Step.ChangeRow(row, after, "drain-started", "operator"), picture, operator, "${row.id} drains")
    }

    private fun giveBack(
        row: InstanceRow,
        picture: FleetPicture,
        operator: String,
    ): DeskResult {
        if (row.drainedBy == null) return DeskResult.Refused("${row.id} was not taken out by an operator")
        return commit(
            Step.ChangeRow(row, row.returned(picture.nowMs), "instance-returned", "operator"),
            picture,
            operator,
            "${row.id} serves again",
        )
    }

    private fun changed(
        before: WaveRow,
        action: WaveAction,
        operator: String,
        nowMs: Long,
    ): WaveRow? =
        when (action) {
            WaveAction.START ->
                WaveRow(before.name, before.run + 1, WaveStatus.RUNNING, operator, nowMs)
                    .takeIf { before.status.isOver }
            WaveAction.PAUSE ->
                before
                    .copy(status = WaveStatus.PAUSED, reason = "by $operator")
                    .takeIf { before.status == WaveStatus.RUNNING }
            WaveAction.RESUME -> before.copy(status = WaveStatus.RUNNING, reason = "").takeIf { before.status == WaveStatus.PAUSED }
            WaveAction.ABORT ->
                before
                    .copy(status = WaveStatus.ABORTED, reason = "by $operator", endedAtMs = nowMs)
                    .takeIf { !before.status.isOver }
        }

    private fun commit(
        step: Step,
        picture: FleetPicture,
        operator: String,
        summary: String,
    ): DeskResult =
        when (val result = committer.commit(listOf(step), picture, operator, fence = null)) {
            is PlatformResult.Ok -> DeskResult.Done(summary)
            is PlatformResult.Conflict -> DeskResult.Refused("row ${result.key} changed meanwhile; look at the status and try again")
            is PlatformResult.Failed -> DeskResult.Failed(result)
        }

    private fun withPicture(
        declarations: Declarations,
        action: (FleetPicture) -> DeskResult,
    ): DeskResult = picture(declarations)?.let(action) ?: unreachable()

    private fun read(prefix: String): List<Row>? = (platform.scan(prefix) as? PlatformResult.Ok)?.value

    private fun unreachable(): DeskResult.Failed =
        DeskResult.Failed(PlatformResult.Failed("read the fleet", "platform", "no answer", mayHaveApplied = false))
}
