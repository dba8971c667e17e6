/*
 * Commits steps: rows, spent budgets and record entries in one transaction, under the controller's fence.
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

/** Commits steps that were decided from a snapshot; each names the revisions that it was decided from. */
public class StepCommitter(
    private val platform: Platform,
    private val record: AuditRecord,
    private val newId: () -> String,
) {
    /** Commits all [steps] or none. [fence] is the precondition of the controller's lease, if the author holds it. */
    public fun commit(
        steps: List<Step>,
        snapshot: FleetSnapshot,
        author: String,
        fence: Precondition?,
    ): PlatformResult<Long> {
        val extension =
            when (val result = record.extension(steps.map { eventOf(it, author, snapshot.nowMs) })) {
                is PlatformResult.Ok -> result.value
                is PlatformResult.Conflict -> return result
                is PlatformResult.Failed -> return result
            }
        val budgets = changedBudgets(steps, snapshot)
        val preconditions = steps.map { preconditionOf(it, snapshot) } + budgets.map { budgetPrecondition(it, snapshot) }
        val writes = steps.map(::writeOf) + budgets.map { it.asWrite() }
        val transaction =
            Transaction(
                id = newId(),
                preconditions = listOfNotNull(fence) + extension.preconditions + preconditions,
                writes = extension.writes + writes,
            )
        return platform.transactExactlyOnce(transaction)
    }

    private fun changedBudgets(
        steps: List<Step>,
        snapshot: FleetSnapshot,
    ): List<BudgetRow> =
        steps
            .filterIsInstance<Step.ChangeRow>()
            .groupBy { it.before.pool }
            .mapNotNull { (pool, changes) -> changedBudget(pool, changes, snapshot) }

    private fun changedBudget(
        pool: String,
        changes: List<Step.ChangeRow>,
        snapshot: FleetSnapshot,
    ): BudgetRow? {
        val before = snapshot.budgets[pool]?.value ?: BudgetRow(pool, emptyList())
        val taken = changes.filter { isTaken(it.before, it.after) }.map { it.after.id }
        val returned = changes.filter { isReturned(it.before, it.after) }.map { it.after.id }.toSet()
        if (taken.isEmpty() && returned.isEmpty()) return null
        return before.copy(planned = before.planned.filterNot { it in returned } + taken)
    }

    private fun isTaken(
        before: InstanceRow,
        after: InstanceRow,
    ): Boolean = !before.phase.isUnavailable && after.phase.isUnavailable

    private fun isReturned(
        before: InstanceRow,
        after: InstanceRow,
    ): Boolean = before.phase.isUnavailable && !after.phase.isUnavailable

    private fun budgetPrecondition(
        budget: BudgetRow,
        snapshot: FleetSnapshot,
    ): Precondition = Precondition(budgetKey(budget.pool), snapshot.budgets[budget.pool]?.revision ?: 0)

    private fun preconditionOf(
        step: Step,
        snapshot: FleetSnapshot,
    ): Precondition =
        when (step) {
            is Step.ChangeRow ->
                Precondition(
                    instanceKey(step.before.dataCentre, step.before.id),
                    snapshot.rows[step.before.id]?.revision ?: 0,
                )
            is Step.ChangeWave -> Precondition(waveKey(step.before.name), snapshot.waves[step.before.name]?.revision ?: 0)
        }

    private fun writeOf(step: Step): Write =
        when (step) {
            is Step.ChangeRow -> step.after.asWrite()
            is Step.ChangeWave -> step.after.asWrite()
        }

    private fun eventOf(
        step: Step,
        author: String,
        nowMs: Long,
    ): RecordedEvent =
        when (step) {
            is Step.ChangeRow -> RecordedEvent(step.kind, step.after.id, author, step.cause, step.after.epoch, nowMs)
            is Step.ChangeWave -> RecordedEvent(step.kind, step.after.runId, author, step.cause, step.after.run, nowMs)
        }
}
