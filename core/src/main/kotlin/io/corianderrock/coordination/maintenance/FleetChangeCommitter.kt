/*
 * Commits fleet changes: rows, budgets and audit record entries in one transaction, fenced by the controller lease.
 */
package io.corianderrock.coordination.maintenance

import io.corianderrock.coordination.Platform
import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.Precondition
import io.corianderrock.coordination.Transaction
import io.corianderrock.coordination.Write
import io.corianderrock.coordination.fleet.asWrite
import io.corianderrock.coordination.fleet.instanceKey
import io.corianderrock.coordination.record.AuditRecord
import io.corianderrock.coordination.record.RecordedEvent
import io.corianderrock.coordination.transactExactlyOnce
import io.corianderrock.state.InstanceRow

/** Commits changes planned from a snapshot. The preconditions are the snapshot's revisions, so a stale plan is a conflict. */
public class FleetChangeCommitter(
    private val platform: Platform,
    private val record: AuditRecord,
    private val newId: () -> String,
) {
    /** Commits all [changes] or none. [fence] is the precondition of the controller lease; null if [author] does not hold it. */
    public fun commit(
        changes: List<FleetChange>,
        snapshot: FleetSnapshot,
        author: String,
        fence: Precondition?,
    ): PlatformResult<Long> {
        val recordAppend =
            when (val result = record.prepareAppend(changes.map { eventOf(it, author, snapshot.nowMs) })) {
                is PlatformResult.Ok -> result.value
                is PlatformResult.Conflict -> return result
                is PlatformResult.Failed -> return result
            }
        val budgets = changedBudgets(changes, snapshot)
        val preconditions = changes.map { preconditionOf(it, snapshot) } + budgets.map { budgetPrecondition(it, snapshot) }
        val writes = changes.map(::writeOf) + budgets.map { it.asWrite() }
        val transaction =
            Transaction(
                id = newId(),
                preconditions = listOfNotNull(fence) + recordAppend.preconditions + preconditions,
                writes = recordAppend.writes + writes,
            )
        return platform.transactExactlyOnce(transaction)
    }

    private fun changedBudgets(
        changes: List<FleetChange>,
        snapshot: FleetSnapshot,
    ): List<BudgetRow> =
        changes
            .filterIsInstance<FleetChange.InstanceChange>()
            .groupBy { it.before.pool }
            .mapNotNull { (pool, changes) -> changedBudget(pool, changes, snapshot) }

    private fun changedBudget(
        pool: String,
        changes: List<FleetChange.InstanceChange>,
        snapshot: FleetSnapshot,
    ): BudgetRow? {
        val before = snapshot.budgets[pool]?.value ?: BudgetRow(pool, emptyList())
        val removed = changes.filter { isRemovedFromService(it.before, it.after) }.map { it.after.id }
        val returned = changes.filter { isReturnedToService(it.before, it.after) }.map { it.after.id }.toSet()
        if (removed.isEmpty() && returned.isEmpty()) return null
        return before.copy(planned = before.planned.filterNot { it in returned } + removed)
    }

    private fun isRemovedFromService(
        before: InstanceRow,
        after: InstanceRow,
    ): Boolean = !before.phase.isUnavailable && after.phase.isUnavailable

    private fun isReturnedToService(
        before: InstanceRow,
        after: InstanceRow,
    ): Boolean = before.phase.isUnavailable && !after.phase.isUnavailable

    private fun budgetPrecondition(
        budget: BudgetRow,
        snapshot: FleetSnapshot,
    ): Precondition = Precondition(budgetKey(budget.pool), snapshot.budgets[budget.pool]?.revision ?: 0)

    private fun preconditionOf(
        change: FleetChange,
        snapshot: FleetSnapshot,
    ): Precondition =
        when (change) {
            is FleetChange.InstanceChange ->
                Precondition(
                    instanceKey(change.before.dataCentre, change.before.id),
                    snapshot.rows[change.before.id]?.revision ?: 0,
                )
            is FleetChange.WaveChange -> Precondition(waveKey(change.before.name), snapshot.waves[change.before.name]?.revision ?: 0)
        }

    private fun writeOf(change: FleetChange): Write =
        when (change) {
            is FleetChange.InstanceChange -> change.after.asWrite()
            is FleetChange.WaveChange -> change.after.asWrite()
        }

    private fun eventOf(
        change: FleetChange,
        author: String,
        nowMs: Long,
    ): RecordedEvent =
        when (change) {
            is FleetChange.InstanceChange -> RecordedEvent(change.kind, change.after.id, author, change.cause, change.after.epoch, nowMs)
            is FleetChange.WaveChange -> RecordedEvent(change.kind, change.after.runId, author, change.cause, change.after.run, nowMs)
        }
}
