/*
 * Takes instances that are gone for good out of their pools.
 */
package io.corianderrock.coordination.maintenance

import io.corianderrock.state.InstancePhase
import io.corianderrock.state.ListedState

/** Returns a step for each row whose instance the platform calls gone. What it held of a budget is given back. */
public fun planRetirements(snapshot: FleetSnapshot): List<Step.ChangeRow> =
    snapshot.instances
        .filter { it.phase != InstancePhase.RETIRED && snapshot.listed[it.id]?.state == ListedState.GONE }
        .map { row ->
            val after = row.next(InstancePhase.RETIRED, snapshot.nowMs).copy(wave = null, nextPool = null, drainedBy = null)
            Step.ChangeRow(row, after, "instance-retired", "the platform lists it as gone")
        }
