/*
 * Deals spare instances out to pools when there are too few for all: one backlog must not starve the other pools.
 */
package io.corianderrock.jobs.fleet

/** What a pool has and what it lacks, in instances. */
internal data class PoolLack(
    val pool: String,
    val supplyCount: Int,
    val missingCount: Int,
)

/** Returns how many of [spareCount] instances each pool gets: one by one to the pool that lacks the largest part of its need. */
internal fun shareSpare(
    lacks: List<PoolLack>,
    spareCount: Int,
): Map<String, Int> {
    val shares = HashMap<String, Int>()
    repeat(spareCount) {
        val neediest = lacks.maxByOrNull { lackingPart(it, shares[it.pool] ?: 0) } ?: return shares
        if (lackingPart(neediest, shares[neediest.pool] ?: 0) <= 0.0) return shares
        shares.merge(neediest.pool, 1, Int::plus)
    }
    return shares
}

private fun lackingPart(
    lack: PoolLack,
    share: Int,
): Double = (lack.missingCount - share).toDouble() / (lack.supplyCount + lack.missingCount).coerceAtLeast(1)
