/*
 * The rate at which work arrives, and where it will be when an instance that is ordered now has joined.
 */
package io.corianderrock.jobs.fleet

import kotlin.math.exp

/** Exponentially weighted rates of arriving work, in core-milliseconds a millisecond. */
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

    private val present = Average(PRESENT_WINDOW_MS)
    private val quick = Average(QUICK_WINDOW_MS)
    private val slow = Average(SLOW_WINDOW_MS)

    /** Adds [work] that has arrived now. */
    fun add(
        work: Double,
        nowMs: Long,
    ) {
        present.add(work, nowMs)
        quick.add(work, nowMs)
        slow.add(work, nowMs)
    }

    /** The present rate. */
    fun at(nowMs: Long): Double = present.at(nowMs)

    /**
     * The rate [HORIZON_MS] from now if demand goes on rising as it does; the present rate when it does not rise. On a
     * steady rise an average lags by its window, so two averages differ by the rise within the difference of their
     * windows.
     */
    fun ahead(nowMs: Long): Double {
        val risePerMs = (quick.at(nowMs) - slow.at(nowMs)) / (SLOW_WINDOW_MS - QUICK_WINDOW_MS)
        if (risePerMs <= 0) return at(nowMs)
        return quick.at(nowMs) + risePerMs * (HORIZON_MS + QUICK_WINDOW_MS)
    }

    private companion object {
        /** Half of the time that a move takes. */
        const val PRESENT_WINDOW_MS = 900.0

        /** A third of the time that a move takes: a rise must show early to be of use. */
        const val QUICK_WINDOW_MS = 600.0

        /** Three times as long, so that chance seldom looks like a rise. */
        const val SLOW_WINDOW_MS = 1_800.0

        /** A move takes 1.5 s, and its worker 0.4 s to be listed and asked. */
        const val HORIZON_MS = 1_900.0
    }
}
