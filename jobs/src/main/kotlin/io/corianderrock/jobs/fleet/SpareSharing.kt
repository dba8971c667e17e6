/*
 * Distributes spare instances to pools when there are too few for all, so that one backlog does not starve other pools.
 */
package io.corianderrock.jobs.fleet

/** Supply and shortage of a pool, in instances. */
internal data class PoolShortage(
    val pool: String,
    val supplyCount: Int,
    val missingCount: Int,
)

/** Returns how many of [spareCount] instances each pool gets. Each one goes to the pool that lacks the largest part of its need. */
internal fun shareSpare(
    shortages: List<PoolShortage>,
    spareCount: Int,
): Map<String, Int> {
    val shares = HashMap<String, Int>()
    repeat(spareCount) {
        val worst = shortages.maxByOrNull { shortageFraction(it, shares[it.pool] ?: 0) } ?: return shares
        if (shortageFraction(worst, shares[worst.pool] ?: 0) <= 0.0) return shares
        shares.merge(worst.pool, 1, Int::plus)
    }
    return shares
}

private fun shortageFraction(
    shortage: PoolShortage,
    share: Int,
): Double = (shortage.missingCount - share).toDouble() / (shortage.supplyCount + shortage.missingCount).coerceAtLeast(1)
