/*
 * The rate at which work arrives, and where it will be when an instance that is ordered now has joined.
 */
package io.corianderrock.jobs.fleet

import kotlin.math.exp

/** An exponentially weighted rate of arriving work, in core-milliseconds a millisecond. */
internal class ArrivalRate {
    private class Average(
        val windowMs: Double,
    ) {
        private var rate = 0.0
        private var atMs = 0L

        fun add(
            work: Double,
            nowMs: Long,
        ) {
            rate = at(nowMs) + work / windowMs
            atMs = nowMs
        }

        fun at(nowMs: Long): Double = rate * exp((atMs - nowMs) / windowMs)
    }

    private val fast = Average(FAST_WINDOW_MS)
    private val slow = Average(SLOW_WINDOW_MS)

    /** Adds [work] that has arrived now. */
    fun add(
        work: Double,
        nowMs: Long,
    ) {
        fast.add(work, nowMs)
        slow.add(work, nowMs)
    }

    /** The present rate. */
    fun at(nowMs: Long): Double = fast.at(nowMs)

    /**
     * The rate [HORIZON_MS] from now if demand goes on rising as it does; the present rate when it does not rise. On a
     * steady rise an average lags by its window, so the two averages differ by the rise within the difference of their
     * windows.
     */
    fun ahead(nowMs: Long): Double {
        val present = fast.at(nowMs)
        val risePerMs = (present - slow.at(nowMs)) / (SLOW_WINDOW_MS - FAST_WINDOW_MS)
        if (risePerMs <= 0) return present
        return minOf(present * MAX_GROWTH, present + risePerMs * (HORIZON_MS + FAST_WINDOW_MS))
    }

    private companion object {
        /** Half of the time that a move takes, so that a rise of demand shows in time. */
        const val FAST_WINDOW_MS = 900.0

        /** Three times as long, so that chance does not look like a rise. */
        const val SLOW_WINDOW_MS = 2_700.0

        /** A move takes 1.5 s, and its worker 0.4 s to be listed and asked. */
        const val HORIZON_MS = 1_900.0

        /** A single large job must not fetch more than as much again. */
        const val MAX_GROWTH = 2.0
    }
}
