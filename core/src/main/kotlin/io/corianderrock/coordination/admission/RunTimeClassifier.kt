/*
 * Tells short work from long by observed run time. Declared sizes are not consulted.
 */
package io.corianderrock.coordination.admission

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** The class of a piece of work. */
public enum class WorkClass { SHORT, LONG }

/**
 * Learns the run times of each route of a service. A route's class follows its median, which stragglers hardly move;
 * waits are estimated from the mean, which they do move. Lock-free.
 */
public class RunTimeClassifier(
    private val shortRunTimeNs: Long,
) {
    private val mediansNs = ConcurrentHashMap<String, AtomicLong>()
    private val serviceMeanNs = AtomicLong(shortRunTimeNs / INITIAL_DIVISOR)

    /** Returns the class of the next request on [route]. Unknown routes count as short until observed. */
    public fun classOf(route: String): WorkClass {
        val median = mediansNs[route]?.get() ?: return WorkClass.SHORT
        return if (median > shortRunTimeNs) WorkClass.LONG else WorkClass.SHORT
    }

    /** Records that a request on [route] ran for [runTimeNs]. */
    public fun observe(
        route: String,
        runTimeNs: Long,
    ) {
        moveMean(runTimeNs)
        val median = mediansNs[route] ?: addRoute(route, runTimeNs) ?: return
        moveMedian(median, runTimeNs)
    }

    /** The expected run time of a request on [route], in nanoseconds. */
    public fun expectedNs(route: String): Long = mediansNs[route]?.get() ?: serviceMeanNs.get()

    /** The mean run time over all routes of the service, in nanoseconds. */
    public fun meanNs(): Long = serviceMeanNs.get()

    private fun addRoute(
        route: String,
        runTimeNs: Long,
    ): AtomicLong? {
        if (mediansNs.size >= MAX_ROUTES) return null
        return mediansNs.putIfAbsent(route, AtomicLong(runTimeNs))
    }

    private fun moveMean(sampleNs: Long) {
        val seen = serviceMeanNs.get()
        serviceMeanNs.compareAndSet(seen, seen + (sampleNs - seen) / MEAN_SMOOTHING)
    }

    private fun moveMedian(
        median: AtomicLong,
        sampleNs: Long,
    ) {
        val seen = median.get()
        val step = (seen / MEDIAN_STEP_DIVISOR).coerceAtLeast(1)
        val next = if (sampleNs > seen) minOf(sampleNs, seen + step) else maxOf(sampleNs, seen - step)
        median.compareAndSet(seen, next)
    }

    private companion object {
        const val MAX_ROUTES = 1_024
        const val MEAN_SMOOTHING = 32
        const val MEDIAN_STEP_DIVISOR = 8
        const val INITIAL_DIVISOR = 4
    }
}
