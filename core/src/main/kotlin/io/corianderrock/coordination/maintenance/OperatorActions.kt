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
public sealed interface OperatorResult {
    /** The change is committed. */
    public data class Done(
        val summary: String,
    ) : OperatorResult

    /** The change is not allowed now; [reason] says why and what to do. */
    public data class Refused(
        val reason: String,
    ) : OperatorResult

    /** The platform failed. */
    public data class Failed(
        val failure: PlatformResult.Failed,
    ) : OperatorResult
}

/** Commits operators' changes; each competes with the controller by the revisions of rows and budgets. */
public class OperatorActions(
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
    public fun snapshot(declarations: Declarations): FleetSnapshot? {
        val rows = read(INSTANCE_PREFIX) ?: return null
        val waves = read(WAVE_PREFIX) ?: return null
        val budgets = read(BUDGET_PREFIX) ?: return null
        val listed = (platform.instances(sinceRevision = 0) as? PlatformResult.Ok ?: return null).value.instances
        return FleetSnapshot(
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
    ): OperatorResult {
        if (declarations.waves.none { it.name == name }) {
            return OperatorResult.Refused("no wave is called \"$name\"; declared are ${declarations.waves.joinToString { it.name }}")
        }
        return withSnapshot(declarations) { snapshot ->
            val before = snapshot.waves[name]?.value ?: WaveRow(name, 0, WaveStatus.FINISHED, operator, snapshot.nowMs)
            when (val after = changed(before, action, operator, snapshot.nowMs)) {
                null -> OperatorResult.Refused("wave ${before.runId} is ${before.status}; ${action.name.lowercase()} does not apply")
                else ->
                    commit(
                        Step.ChangeWave(before, after, "wave-${action.name.lowercase()}", "operator"),
                        snapshot,
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
    ): OperatorResult =
        withSnapshot(declarations) { snapshot ->
            val row =
                snapshot.rows[instance]?.value
                    ?: return@withSnapshot OperatorResult.Refused("no pool has an instance \"$instance\"; see status")
            if (isReturn) giveBack(row, snapshot, operator) else takeOut(row, snapshot, operator)
        }

    private fun takeOut(
        row: InstanceRow,
        snapshot: FleetSnapshot,
        operator: String,
    ): OperatorResult {
        if (row.phase != InstancePhase.ASSIGNED) return OperatorResult.Refused("${row.id} is ${row.phase} already")
        val account = BudgetAccount(snapshot, row.pool)
        if (!account.allows(row)) {
            return OperatorResult.Refused(
                "the budget of pool ${row.pool} has no room: out of service are ${account.unavailable.sorted().joinToString()}",
            )
        }
        val after = row.next(InstancePhase.DRAINING, snapshot.nowMs).copy(drainedBy = operator)
        return commit(Step.ChangeRow(row, after, "drain-started", "operator"), snapshot, operator, "${row.id} drains")
    }

    private fun giveBack(
        row: InstanceRow,
        snapshot: FleetSnapshot,
        operator: String,
    ): OperatorResult {
        if (row.drainedBy == null) return OperatorResult.Refused("${row.id} was not taken out by an operator")
        return commit(
            Step.ChangeRow(row, row.returned(snapshot.nowMs), "instance-returned", "operator"),
            snapshot,
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
        snapshot: FleetSnapshot,
        operator: String,
        summary: String,
    ): OperatorResult =
        when (val result = committer.commit(listOf(step), snapshot, operator, fence = null)) {
            is PlatformResult.Ok -> OperatorResult.Done(summary)
            is PlatformResult.Conflict -> OperatorResult.Refused("row ${result.key} changed meanwhile; look at the status and try again")
            is PlatformResult.Failed -> OperatorResult.Failed(result)
        }

    private fun withSnapshot(
        declarations: Declarations,
        action: (FleetSnapshot) -> OperatorResult,
    ): OperatorResult = snapshot(declarations)?.let(action) ?: unreachable()

    private fun read(prefix: String): List<Row>? = (platform.scan(prefix) as? PlatformResult.Ok)?.value

    private fun unreachable(): OperatorResult.Failed =
        OperatorResult.Failed(PlatformResult.Failed("read the fleet", "platform", "no answer", mayHaveApplied = false))
}
