/*
 * Operators' changes to waves and single instances. They may run on any entry, without the controller lease.
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

/** A change of a wave's status by an operator. */
@Serializable
public enum class WaveAction { START, PAUSE, RESUME, ABORT }

/** The result of an operator's action. */
public sealed interface OperatorResult {
    /** The change is committed. */
    public data class Done(
        val summary: String,
    ) : OperatorResult

    /** The change is not allowed in the current state; [reason] names the cause and the remedy. */
    public data class Refused(
        val reason: String,
    ) : OperatorResult

    /** A platform call failed. */
    public data class Failed(
        val failure: PlatformResult.Failed,
    ) : OperatorResult
}

/** Commits operators' changes; a concurrent change by the controller is detected by the revisions of rows and budgets. */
public class OperatorActions(
    private val platform: Platform,
    private val clock: Clock,
    private val unhealthy: () -> Set<String>,
    newId: () -> String,
) {
    private val committer = FleetChangeCommitter(platform, AuditRecord(platform), newId)

    /** Reads the latest run of every wave that was ever started. */
    public fun waves(): PlatformResult<List<WaveRow>> = platform.scan(WAVE_PREFIX).map { rows -> rows.map(::decodeWave) }

    /** Reads the rows of all instances, retired ones included. */
    public fun instances(): PlatformResult<List<InstanceRow>> = platform.scan(INSTANCE_PREFIX).map { rows -> rows.map(::decodeInstanceRow) }

    /** Reads the whole fleet in several calls; null if one of them fails. */
    public fun snapshot(declarations: Declarations): FleetSnapshot? {
        val rows = read(INSTANCE_PREFIX) ?: return null
        val waves = read(WAVE_PREFIX) ?: return null
        val budgets = read(BUDGET_PREFIX) ?: return null
        val listed = (platform.instances(sinceRevision = 0) as? PlatformResult.Ok ?: return null).value.instances
        return FleetSnapshot(
            declarations = declarations,
            rows = rows.map { Versioned(decodeInstanceRow(it), it.revision) }.associateBy { it.value.id },
            listed = listed.associateBy(ListedInstance::id),
            budgets = budgets.map { Versioned(decodeBudget(it), it.revision) }.associateBy { it.value.pool },
            waves = waves.map { Versioned(decodeWave(it), it.revision) }.associateBy { it.value.name },
            unhealthy = unhealthy(),
            nowMs = clock.wallMs(),
        )
    }

    /** Applies [action] to the wave [name] on behalf of [operator]. */
    public fun changeWave(
        declarations: Declarations,
        name: String,
        action: WaveAction,
        operator: String,
    ): OperatorResult {
        if (declarations.waves.none { it.name == name }) {
            return OperatorResult.Refused(
                "wave \"$name\" is not declared; declared waves are ${declarations.waves.joinToString { it.name }}",
            )
        }
        return withSnapshot(declarations) { snapshot ->
            val before = snapshot.waves[name]?.value ?: WaveRow(name, 0, WaveStatus.FINISHED, operator, snapshot.nowMs)
            when (val after = applyAction(before, action, operator, snapshot.nowMs)) {
                null ->
                    OperatorResult.Refused(
                        "wave ${before.runId} is ${before.status}; ${action.name.lowercase()} is not allowed in this status",
                    )
                else ->
                    commit(
                        FleetChange.WaveChange(before, after, "wave-${action.name.lowercase()}", "operator"),
                        snapshot,
                        operator,
                        "${after.runId} is ${after.status}",
                    )
            }
        }
    }

    /** Drains [instance] on behalf of [operator] or, with [isReturn], returns an instance that an operator drained. */
    public fun drain(
        declarations: Declarations,
        instance: String,
        isReturn: Boolean,
        operator: String,
    ): OperatorResult =
        withSnapshot(declarations) { snapshot ->
            val row =
                snapshot.rows[instance]?.value
                    ?: return@withSnapshot OperatorResult.Refused("instance \"$instance\" is not assigned to a pool; see status")
            if (isReturn) returnInstance(row, snapshot, operator) else drainInstance(row, snapshot, operator)
        }

    private fun drainInstance(
        row: InstanceRow,
        snapshot: FleetSnapshot,
        operator: String,
    ): OperatorResult {
        if (row.phase != InstancePhase.ASSIGNED) return OperatorResult.Refused("instance ${row.id} is ${row.phase}, expected ASSIGNED")
        val budget = BudgetTracker(snapshot, row.pool)
        if (!budget.allows(row)) {
            return OperatorResult.Refused(
                "the budget of pool ${row.pool} is exhausted; out of service are ${budget.unavailable.sorted().joinToString()}",
            )
        }
        val after = row.withPhase(InstancePhase.DRAINING, snapshot.nowMs).copy(drainedBy = operator)
        return commit(
            FleetChange.InstanceChange(row, after, "drain-started", "operator"),
            snapshot,
            operator,
            "instance ${row.id} is draining",
        )
    }

    private fun returnInstance(
        row: InstanceRow,
        snapshot: FleetSnapshot,
        operator: String,
    ): OperatorResult {
        if (row.drainedBy == null) return OperatorResult.Refused("instance ${row.id} was not drained by an operator")
        return commit(
            FleetChange.InstanceChange(row, row.inService(snapshot.nowMs), "instance-returned", "operator"),
            snapshot,
            operator,
            "instance ${row.id} is back in service",
        )
    }

    private fun applyAction(
        before: WaveRow,
        action: WaveAction,
        operator: String,
        nowMs: Long,
    ): WaveRow? =
        when (action) {
            WaveAction.START ->
                WaveRow(before.name, before.run + 1, WaveStatus.RUNNING, operator, nowMs)
                    .takeIf { before.status.isTerminal }
            WaveAction.PAUSE ->
                before
                    .copy(status = WaveStatus.PAUSED, reason = "by $operator")
                    .takeIf { before.status == WaveStatus.RUNNING }
            WaveAction.RESUME -> before.copy(status = WaveStatus.RUNNING, reason = "").takeIf { before.status == WaveStatus.PAUSED }
            WaveAction.ABORT ->
                before
                    .copy(status = WaveStatus.ABORTED, reason = "by $operator", endedAtMs = nowMs)
                    .takeIf { !before.status.isTerminal }
        }

    private fun commit(
        change: FleetChange,
        snapshot: FleetSnapshot,
        operator: String,
        summary: String,
    ): OperatorResult =
        when (val result = committer.commit(listOf(change), snapshot, operator, fence = null)) {
            is PlatformResult.Ok -> OperatorResult.Done(summary)
            is PlatformResult.Conflict -> OperatorResult.Refused("row ${result.key} was changed concurrently; check the status and retry")
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
