/*
 * Retires instances that the platform lists as gone.
 */
package io.corianderrock.coordination.maintenance

import io.corianderrock.state.InstancePhase
import io.corianderrock.state.ListedState

/** Plans the retirement of each instance that is listed as gone. Committing it releases the instance's share of the budget. */
public fun planRetirements(snapshot: FleetSnapshot): List<FleetChange.InstanceChange> =
    snapshot.instances
        .filter { it.phase != InstancePhase.RETIRED && snapshot.listed[it.id]?.state == ListedState.GONE }
        .map { row ->
            val after = row.withPhase(InstancePhase.RETIRED, snapshot.nowMs).copy(wave = null, nextPool = null, drainedBy = null)
            FleetChange.InstanceChange(row, after, "instance-retired", "the platform lists it as gone")
        }
