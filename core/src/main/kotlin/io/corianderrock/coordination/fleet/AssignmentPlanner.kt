/*
 * Plans the first assignment of workers to pools.
 */
package io.corianderrock.coordination.fleet

import io.corianderrock.state.Declarations
import io.corianderrock.state.InstancePhase
import io.corianderrock.state.InstanceRole
import io.corianderrock.state.InstanceRow
import io.corianderrock.state.ListedInstance
import io.corianderrock.state.ListedState

/**
 * Returns the first row of each live listed worker that has none yet. The worker joins the pool with the largest relative
 * deficit in its data centre; of equal ones, the pool with the fewest workers in its rack. Workers beyond the declared pool
 * sizes get no row.
 */
public fun planAssignments(
    declarations: Declarations,
    listed: Collection<ListedInstance>,
    rows: Map<String, InstanceRow>,
    nowMs: Long,
): List<InstanceRow> {
    val gone = listed.filter { it.state == ListedState.GONE }.map { it.id }.toSet()
    val deficits = PoolDeficits(declarations, rows.values.filter { it.id !in gone })
    return listed
        .filter { it.role == InstanceRole.WORKER && it.state == ListedState.LIVE && it.id !in rows }
        .sortedBy { it.id }
        .mapNotNull { instance -> deficits.choosePool(instance)?.let { pool -> newRow(instance, pool, nowMs) } }
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

private class PoolDeficits(
    private val declarations: Declarations,
    rows: List<InstanceRow>,
) {
    private data class DataCentrePool(
        val dataCentre: String,
        val pool: String,
    )

    private data class RackPool(
        val rack: String,
        val pool: String,
    )

    private val countInPool = HashMap<DataCentrePool, Int>()
    private val countInRack = HashMap<RackPool, Int>()

    init {
        rows.forEach { count(it.dataCentre, it.rack, it.nextPool ?: it.pool) }
    }

    fun choosePool(instance: ListedInstance): String? {
        val candidates = declarations.pools.filter { deficit(instance.dataCentre, it.name, it.workersPerDataCentre) > 0 }
        val chosen =
            candidates.maxWithOrNull(
                compareBy(
                    { deficit(instance.dataCentre, it.name, it.workersPerDataCentre).toDouble() / it.workersPerDataCentre },
                    { -(countInRack[RackPool(instance.rack, it.name)] ?: 0) },
                ),
            ) ?: return null
        count(instance.dataCentre, instance.rack, chosen.name)
        return chosen.name
    }

    private fun deficit(
        dataCentre: String,
        pool: String,
        size: Int,
    ): Int = size - (countInPool[DataCentrePool(dataCentre, pool)] ?: 0)

    private fun count(
        dataCentre: String,
        rack: String,
        pool: String,
    ) {
        countInPool.merge(DataCentrePool(dataCentre, pool), 1, Int::plus)
        countInRack.merge(RackPool(rack, pool), 1, Int::plus)
    }
}
