/*
 * Plans moves of instances between pools of a data centre, towards the declared pool sizes.
 */
package io.corianderrock.coordination.maintenance

import io.corianderrock.state.InstancePhase
import io.corianderrock.state.InstanceRow
import io.corianderrock.state.ListedState

/** Rate limits of moves. [minStayMs] is the least time between two moves of an instance, so that moves do not oscillate. */
public data class MoveLimits(
    val minStayMs: Long = 60_000,
    val maxNewMovesPerRound: Int = 20,
)

/**
 * Completes the moves of instances that are [drained] and starts new ones, from pools above their declared size to pools
 * below it in the same data centre. Moves follow declared sizes only; spare pools absorb demand that shifts between pools.
 */
public fun planMoves(
    snapshot: FleetSnapshot,
    drained: Set<String>,
    budgetOf: (String) -> BudgetTracker,
    limits: MoveLimits = MoveLimits(),
): List<FleetChange> {
    val moving =
        snapshot.instances
            .filter { it.phase == InstancePhase.DRAINING && it.nextPool != null }
    val completed = moving.filter { it.id in drained }.map { completeMove(it, snapshot.nowMs) }
    return completed + newMoves(snapshot, budgetOf, limits)
}

private fun completeMove(
    row: InstanceRow,
    nowMs: Long,
): FleetChange {
    val target =
        checkNotNull(row.nextPool) {
            "instance ${row.id} is draining for a move, but its nextPool is null; clear its row so that it is planned again"
        }
    val after = row.inService(nowMs).copy(pool = target, assignedSinceMs = nowMs)
    return FleetChange.InstanceChange(row, after, "instance-moved", "from pool ${row.pool} to pool $target")
}

private fun newMoves(
    snapshot: FleetSnapshot,
    budgetOf: (String) -> BudgetTracker,
    limits: MoveLimits,
): List<FleetChange> {
    val balances = PoolBalances(snapshot)
    return snapshot.instances
        .filter { isMovable(it, snapshot, limits) }
        .sortedBy { it.id }
        .mapNotNull { row -> startMove(row, balances, budgetOf(row.pool), snapshot.nowMs) }
        .take(limits.maxNewMovesPerRound)
}

private fun isMovable(
    row: InstanceRow,
    snapshot: FleetSnapshot,
    limits: MoveLimits,
): Boolean {
    val hasStayedLongEnough = snapshot.nowMs - row.assignedSinceMs >= limits.minStayMs
    return row.phase == InstancePhase.ASSIGNED && hasStayedLongEnough && snapshot.listed[row.id]?.state == ListedState.LIVE
}

private fun startMove(
    row: InstanceRow,
    balances: PoolBalances,
    budget: BudgetTracker,
    nowMs: Long,
): FleetChange? {
    if (balances.surplus(row.dataCentre, row.pool) <= 0) return null
    val target = balances.mostUndersized(row.dataCentre) ?: return null
    if (!budget.allows(row)) return null
    budget.reserve(row)
    balances.move(row.dataCentre, row.pool, target)
    val after = row.withPhase(InstancePhase.DRAINING, nowMs).copy(nextPool = target)
    return FleetChange.InstanceChange(row, after, "move-started", "pool ${row.pool} is above its size, pool $target below")
}

/** The difference of actual and declared pool sizes by data centre. A moving instance counts towards its target pool. */
private class PoolBalances(
    private val snapshot: FleetSnapshot,
) {
    private data class DataCentrePool(
        val dataCentre: String,
        val pool: String,
    )

    private val sizes = snapshot.declarations.pools.associate { it.name to it.workersPerDataCentre }
    private val counts = HashMap<DataCentrePool, Int>()

    init {
        snapshot.instances.filter { it.phase != InstancePhase.RETIRED }.forEach { row ->
            counts.merge(DataCentrePool(row.dataCentre, row.nextPool ?: row.pool), 1, Int::plus)
        }
    }

    fun surplus(
        dataCentre: String,
        pool: String,
    ): Int = (counts[DataCentrePool(dataCentre, pool)] ?: 0) - (sizes[pool] ?: 0)

    fun mostUndersized(dataCentre: String): String? =
        sizes.keys.filter { surplus(dataCentre, it) < 0 }.minByOrNull { surplus(dataCentre, it) }

    fun move(
        dataCentre: String,
        from: String,
        to: String,
    ) {
        counts.merge(DataCentrePool(dataCentre, from), -1, Int::plus)
        counts.merge(DataCentrePool(dataCentre, to), 1, Int::plus)
    }
}
