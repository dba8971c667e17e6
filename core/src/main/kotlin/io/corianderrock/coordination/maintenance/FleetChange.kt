/*
 * The changes that planners and operators make to instances and waves.
 */
package io.corianderrock.coordination.maintenance

import io.corianderrock.state.InstancePhase
import io.corianderrock.state.InstanceRow

/** One change of a row, committed together with its effect on budgets and its audit record entry, which has [kind] and [cause]. */
public sealed interface FleetChange {
    /** Changes the row of an instance from [before] to [after]. */
    public data class InstanceChange(
        val before: InstanceRow,
        val after: InstanceRow,
        val kind: String,
        val cause: String,
    ) : FleetChange

    /** Changes the row of a wave from [before] to [after]. */
    public data class WaveChange(
        val before: WaveRow,
        val after: WaveRow,
        val kind: String,
        val cause: String,
    ) : FleetChange
}

/** Copies this row into [phase], entered at [nowMs], with the next epoch. */
internal fun InstanceRow.withPhase(
    phase: InstancePhase,
    nowMs: Long,
): InstanceRow = copy(phase = phase, epoch = epoch + 1, phaseSinceMs = nowMs)

/** Copies this row into service: assigned to its pool, with no wave, move or operator drain in progress. */
internal fun InstanceRow.inService(
    nowMs: Long,
    maintainedBy: String? = this.maintainedBy,
): InstanceRow =
    withPhase(InstancePhase.ASSIGNED, nowMs).copy(
        wave = null,
        nextPool = null,
        drainedBy = null,
        maintainedBy = maintainedBy,
    )
