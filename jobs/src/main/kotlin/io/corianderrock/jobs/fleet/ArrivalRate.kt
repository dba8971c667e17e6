/*
 * Estimates the rate at which work arrives at a pool and extrapolates it to the time at which an instance ordered now
 * would join the pool.
 */
package io.corianderrock.jobs.fleet

import kotlin.math.exp

/** Exponentially weighted moving averages of arriving work, in core-milliseconds per millisecond. */
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

        /** Adds arrivals that have been going on at [steadyRate] for longer than the window. */
        fun addSteady(
            steadyRate: Double,
            nowMs: Long,
        ) {
            rate = at(nowMs) + steadyRate
            atMs = nowMs
        }

        fun at(nowMs: Long): Double = rate * exp((atMs - nowMs) / windowMs)
    }

    private val present = Average(PRESENT_WINDOW_MS)
    private val quick = Average(QUICK_WINDOW_MS)
    private val slow = Average(SLOW_WINDOW_MS)

    /** Of the squares of arriving work: large compared to [slow] if few jobs bring most of the work. */
    private val squares = Average(SLOW_WINDOW_MS)

    /** Adds [work], in core-milliseconds, that arrived at [nowMs]. */
    fun add(
        work: Double,
        nowMs: Long,
    ) {
        present.add(work, nowMs)
        quick.add(work, nowMs)
        slow.add(work, nowMs)
        squares.add(work * work, nowMs)
    }

    /** Adds one of the jobs that are in progress at [nowMs]: [work] arrived about [inProgressMs] apart, at a rate that did not change. */
    fun addInProgress(
        work: Double,
        inProgressMs: Double,
        nowMs: Long,
    ) {
        if (inProgressMs <= 0) return
        for (average in listOf(present, quick, slow)) average.addSteady(work / inProgressMs, nowMs)
        squares.addSteady(work * work / inProgressMs, nowMs)
    }

    /** The current rate. */
    fun at(nowMs: Long): Double = present.at(nowMs)

    /**
     * The rate [HORIZON_MS] from [nowMs] if demand keeps rising linearly; the current rate when it does not rise.
     * During a linear rise an average lags by its window, so the slope is the difference between the quick and the slow
     * average divided by the difference between their windows. It counts by the share of the rise that does not hang on single
     * jobs: otherwise one large job would take the instances that another pool needs for a real rise.
     */
    fun extrapolate(nowMs: Long): Double {
        val risePerMs = (quick.at(nowMs) - slow.at(nowMs)) / (SLOW_WINDOW_MS - QUICK_WINDOW_MS) * (1 - 1 / effectiveJobCount(nowMs))
        if (risePerMs <= 0) return at(nowMs)
        return quick.at(nowMs) + risePerMs * (HORIZON_MS + QUICK_WINDOW_MS)
    }

    /** The number of jobs of equal work that vary as much as those in the slow average; at least one. */
    private fun effectiveJobCount(nowMs: Long): Double {
        val meanSquare = squares.at(nowMs)
        return if (meanSquare <= 0) 1.0 else maxOf(1.0, slow.at(nowMs) * slow.at(nowMs) * SLOW_WINDOW_MS / meanSquare)
    }

    private companion object {
        /** Half the duration of a move. */
        const val PRESENT_WINDOW_MS = 900.0

        /** A third of the duration of a move, so that a rise shows early enough to act on. */
        const val QUICK_WINDOW_MS = 600.0

        /** Three times [QUICK_WINDOW_MS], so that random variation seldom looks like a rise. */
        const val SLOW_WINDOW_MS = 1_800.0

        /** A move takes 1.5 s; listing and first polling the new worker takes 0.4 s. */
        const val HORIZON_MS = 1_900.0
    }
}
