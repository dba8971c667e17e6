/*
 * Decides how many instances of a pool are cordoned and how many return to standby while demand falls. Answers demand that
 * rotates between pools: as one pool's peak of 4.5 s ends, the next one's begins and lacks the instances that still wait for
 * their last tasks in the first.
 */
package io.corianderrock.jobs.fleet

import io.corianderrock.jobs.ports.EventLoop

/** How many instances of a pool's supply to cordon, and how many of its cordoned ones may return to standby. */
internal data class Release(
    val cordonCount: Int,
    val returnCount: Int,
)

internal class SurplusRelease(
    private val loop: EventLoop,
    /**
     * True to cordon shortly after the need has fallen, so that new tasks are packed onto the rest and the cordoned instances are
     * empty when another pool needs them. The pool reclaims them at once when its need rises, until they return to standby.
     */
    private val drainsEarly: Boolean,
) {
    private val needToKeep = RecentNeed(KEEP_MS)
    private val needToServe = RecentNeed(if (drainsEarly) SERVE_MS else KEEP_MS)

    /**
     * The release of [pool], which wants [wantedCount] instances and has [supplyCount] in service or joining, and [cordonedCount] that
     * are cordoned as surplus.
     */
    fun release(
        pool: String,
        wantedCount: Int,
        supplyCount: Int,
        cordonedCount: Int,
    ): Release {
        val kept = needToKeep.update(pool, wantedCount, loop.nowMs)
        val served = needToServe.update(pool, wantedCount, loop.nowMs)
        val returnCount = if (drainsEarly) (supplyCount + cordonedCount - kept).coerceIn(0, cordonedCount) else cordonedCount
        return Release(maxOf(0, supplyCount - served), returnCount)
    }

    private companion object {
        /** Instances return to standby after not being needed for this long, about the cost of a move. */
        const val KEEP_MS = 1_500L

        /** Longer than the gaps between arrivals in a peak, shorter than the run time of a short task. */
        const val SERVE_MS = 400L
    }
}

/** The need of each pool, which rises at once and falls once it has not been reached for [windowMs]. */
private class RecentNeed(
    private val windowMs: Long,
) {
    private class Need(
        var count: Int,
        var atMs: Long,
    )

    private val needs = HashMap<String, Need>()

    fun update(
        pool: String,
        count: Int,
        nowMs: Long,
    ): Int {
        val need = needs.getOrPut(pool) { Need(count, nowMs) }
        if (count >= need.count || nowMs - need.atMs > windowMs) {
            need.count = count
            need.atMs = nowMs
        }
        return need.count
    }
}
