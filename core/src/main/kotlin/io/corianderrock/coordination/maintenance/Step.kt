/*
 * The steps that maintenance and moves decide on.
 */
package io.corianderrock.coordination.maintenance

import io.corianderrock.state.InstancePhase
import io.corianderrock.state.InstanceRow

/** One change of the fleet, to be committed with its effect on budgets and the record. */
public sealed interface Step {
    /** Changes the row of an instance from [before] to [after]. */
    public data class ChangeRow(
        val before: InstanceRow,
        val after: InstanceRow,
        val kind: String,
        val cause: String,
    ) : Step

    /** Changes the row of a wave from [before] to [after]. */
    public data class ChangeWave(
        val before: WaveRow,
        val after: WaveRow,
        val kind: String,
        val cause: String,
    ) : Step
}

/** Returns this row in [phase], with the next epoch. */
internal fun InstanceRow.next(
    phase: InstancePhase,
    nowMs: Long,
): InstanceRow = copy(phase = phase, epoch = epoch + 1, phaseSinceMs = nowMs)

/** Returns this row back in service. */
internal fun InstanceRow.returned(
    nowMs: Long,
    maintainedBy: String? = this.maintainedBy,
): InstanceRow =
    next(InstancePhase.ASSIGNED, nowMs).copy(
        wave = null,
        nextPool = null,
        drainedBy = null,
        maintainedBy = maintainedBy,
    )
