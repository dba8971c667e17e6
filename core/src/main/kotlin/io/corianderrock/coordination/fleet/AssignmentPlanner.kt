/*
 * Assigns instances that belong to no pool yet.
 */
package io.corianderrock.coordination.fleet

import io.corianderrock.state.Declarations
import io.corianderrock.state.InstancePhase
import io.corianderrock.state.InstanceRole
import io.corianderrock.state.InstanceRow
import io.corianderrock.state.ListedInstance
import io.corianderrock.state.ListedState

/**
 * Returns a row for each live listed worker without one, in the pool that lacks most in its data centre, spread over
 * racks. Workers beyond the declared sizes stay without a pool.
 */
public fun planAssignments(
    declarations: Declarations,
    listed: Collection<ListedInstance>,
    rows: Map<String, InstanceRow>,
    nowMs: Long,
): List<InstanceRow> {
    val gone = listed.filter { it.state == ListedState.GONE }.map { it.id }.toSet()
    val plan = PoolSizes(declarations, rows.values.filter { it.id !in gone })
    return listed
        .filter { it.role == InstanceRole.WORKER && it.state == ListedState.LIVE && it.id !in rows }
        .sortedBy { it.id }
        .mapNotNull { instance -> plan.take(instance)?.let { pool -> newRow(instance, pool, nowMs) } }
}

private fun newRow(
    instance: ListedInstance,
    pool: String,
    nowMs: Long,
): InstanceRow =
    InstanceRow(
        id = instance.id,
        dataCentre = instance.dataCentre,
        rack = instance.rack,
        pool = pool,
        epoch = 1,
        phase = InstancePhase.ASSIGNED,
        phaseSinceMs = nowMs,
    )

private class PoolSizes(
    private val declarations: Declarations,
    rows: List<InstanceRow>,
) {
    private data class Place(
        val dataCentre: String,
        val pool: String,
    )

    private data class RackPlace(
        val rack: String,
        val pool: String,
    )

    private val inPool = HashMap<Place, Int>()
    private val inRack = HashMap<RackPlace, Int>()

    init {
        rows.forEach { count(it.dataCentre, it.rack, it.nextPool ?: it.pool) }
    }

    fun take(instance: ListedInstance): String? {
        val candidates = declarations.pools.filter { deficit(instance.dataCentre, it.name, it.workersPerDataCentre) > 0 }
        val chosen =
            candidates.maxWithOrNull(
                compareBy(
                    { deficit(instance.dataCentre, it.name, it.workersPerDataCentre).toDouble() / it.workersPerDataCentre },
                    { -(inRack[RackPlace(instance.rack, it.name)] ?: 0) },
                ),
            ) ?: return null
        count(instance.dataCentre, instance.rack, chosen.name)
        return chosen.name
    }

    private fun deficit(
        dataCentre: String,
        pool: String,
        size: Int,
    ): Int = size - (inPool[Place(dataCentre, pool)] ?: 0)

    private fun count(
        dataCentre: String,
        rack: String,
        pool: String,
    ) {
        inPool.merge(Place(dataCentre, pool), 1, Int::plus)
        inRack.merge(RackPlace(rack, pool), 1, Int::plus)
    }
}
