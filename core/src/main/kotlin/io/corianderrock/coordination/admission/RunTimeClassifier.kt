/*
 * Classifies work as short or long by its observed run time, independent of declared sizes.
 */
package io.corianderrock.coordination.admission

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** The class of a request, by its expected run time. */
public enum class WorkClass { SHORT, LONG }

/**
 * Estimates the run times of a service: a running median per route and an exponential moving average over all routes.
 * Routes are classified by the median, which is robust to stragglers; queue waits are estimated from the mean, which
 * includes them. At most [MAX_ROUTES] routes are tracked. Lock-free; a concurrent update may be lost.
 */
public class RunTimeClassifier(
    private val shortRunTimeNs: Long,
) {
    private val mediansNs = ConcurrentHashMap<String, AtomicLong>()
    private val serviceMeanNs = AtomicLong(shortRunTimeNs / INITIAL_MEAN_DIVISOR)

    /** The class of the next request on [route]; short until the first observation. */
    public fun classOf(route: String): WorkClass {
        val median = mediansNs[route]?.get() ?: return WorkClass.SHORT
        return if (median > shortRunTimeNs) WorkClass.LONG else WorkClass.SHORT
    }

    /** Records that a request on [route] ran for [runTimeNs]. */
    public fun observe(
        route: String,
        runTimeNs: Long,
    ) {
        updateMean(runTimeNs)
        val median = mediansNs[route] ?: addRoute(route, runTimeNs) ?: return
        updateMedian(median, runTimeNs)
    }

    /** The median run time of [route] in nanoseconds, or the mean of the service if the route is not tracked. */
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

    private fun updateMean(sampleNs: Long) {
        val current = serviceMeanNs.get()
        serviceMeanNs.compareAndSet(current, current + (sampleNs - current) / MEAN_SMOOTHING)
    }

    private fun updateMedian(
        median: AtomicLong,
        sampleNs: Long,
    ) {
        val current = median.get()
        val step = (current / MEDIAN_STEP_DIVISOR).coerceAtLeast(1)
        val next = if (sampleNs > current) minOf(sampleNs, current + step) else maxOf(sampleNs, current - step)
        median.compareAndSet(current, next)
    }

    private companion object {
        const val MAX_ROUTES = 1_024
        const val MEAN_SMOOTHING = 32
        const val MEDIAN_STEP_DIVISOR = 8
        const val INITIAL_MEAN_DIVISOR = 4
    }
}
