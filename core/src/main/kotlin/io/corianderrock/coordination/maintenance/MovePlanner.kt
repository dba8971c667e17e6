/*
 * Decides moves of instances between pools, towards the declared sizes.
 */
package io.corianderrock.coordination.maintenance

import io.corianderrock.state.InstancePhase
import io.corianderrock.state.InstanceRow
import io.corianderrock.state.ListedState

/** Limits of moves. An instance stays in its pool at least [minStayMs], so that no move is undone at once. */
public data class MoveLimits(
    val minStayMs: Long = 60_000,
    val maxNewMoves: Int = 20,
)

/**
 * Returns the steps of moves: those that may complete because the instance is in [drained], and new ones from pools above
 * their size to pools below it within the same data centre. Demand that rotates is met by spare pools, never by a move.
 */
public fun planMoves(
    snapshot: FleetSnapshot,
    drained: Set<String>,
    accounts: (String) -> BudgetAccount,
    limits: MoveLimits = MoveLimits(),
): List<Step> {
    val moving =
        snapshot.instances
            .filter { it.phase == InstancePhase.DRAINING && it.nextPool != null }
    val completed = moving.filter { it.id in drained }.map { completeMove(it, snapshot.nowMs) }
    return completed + newMoves(snapshot, accounts, limits)
}

private fun completeMove(
    row: InstanceRow,
    nowMs: Long,
): Step {
    val target = checkNotNull(row.nextPool) { "${row.id} drains for a move without a target; clear its row and plan again" }
    val after = row.returned(nowMs).copy(pool = target, assignedSinceMs = nowMs)
    return Step.ChangeRow(row, after, "instance-moved", "from pool ${row.pool} to pool $target")
}

private fun newMoves(
    snapshot: FleetSnapshot,
    accounts: (String) -> BudgetAccount,
    limits: MoveLimits,
): List<Step> {
    val balances = PoolBalances(snapshot)
    return snapshot.instances
        .filter { isMovable(it, snapshot, limits) }
        .sortedBy { it.id }
        .mapNotNull { row -> startMove(row, balances, accounts(row.pool), snapshot.nowMs) }
        .take(limits.maxNewMoves)
}

private fun isMovable(
    row: InstanceRow,
    snapshot: FleetSnapshot,
    limits: MoveLimits,
): Boolean {
    val hasStayed = snapshot.nowMs - row.assignedSinceMs >= limits.minStayMs
    return row.phase == InstancePhase.ASSIGNED && hasStayed && snapshot.listed[row.id]?.state == ListedState.LIVE
}

private fun startMove(
    row: InstanceRow,
    balances: PoolBalances,
    account: BudgetAccount,
    nowMs: Long,
): Step? {
    if (balances.surplus(row.dataCentre, row.pool) <= 0) return null
    val target = balances.neediest(row.dataCentre) ?: return null
    if (!account.allows(row)) return null
    account.spend(row)
    balances.move(row.dataCentre, row.pool, target)
    val after = row.next(InstancePhase.DRAINING, nowMs).copy(nextPool = target)
    return Step.ChangeRow(row, after, "move-started", "pool ${row.pool} is above its size, pool $target below")
}

/** How far pools are above or below their declared sizes. */
private class PoolBalances(
    private val snapshot: FleetSnapshot,
) {
    private data class Place(
        val dataCentre: String,
        val pool: String,
    )

    private val sizes = snapshot.declarations.pools.associate { it.name to it.workersPerDataCentre }
    private val counts = HashMap<Place, Int>()

    init {
        snapshot.instances.filter { it.phase != InstancePhase.RETIRED }.forEach { row ->
            counts.merge(Place(row.dataCentre, row.nextPool ?: row.pool), 1, Int::plus)
        }
    }

    fun surplus(
        dataCentre: String,
        pool: String,
    ): Int = (counts[Place(dataCentre, pool)] ?: 0) - (sizes[pool] ?: 0)

    fun neediest(dataCentre: String): String? = sizes.keys.filter { surplus(dataCentre, it) < 0 }.minByOrNull { surplus(dataCentre, it) }

    fun move(
        dataCentre: String,
        from: String,
        to: String,
    ) {
        counts.merge(Place(dataCentre, from), -1, Int::plus)
        counts.merge(Place(dataCentre, to), 1, Int::plus)
    }
}
