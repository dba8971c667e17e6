/*
 * Delays between retries against a shared service. Processes that retry at a fixed pace keep a service that refuses them overloaded, and
 * return to it at the same moment.
 */
package io.corianderrock.jobs.ownership

import kotlin.random.Random

/**
 * Exponential back-off with full jitter: each delay is [minimumMs] plus a random share of a window that doubles from [firstWindowMs] to
 * [longestWindowMs]. Confined to one thread.
 */
internal class RetryBackoff(
    private val random: Random,
    private val minimumMs: Long,
    private val firstWindowMs: Long,
    private val longestWindowMs: Long,
) {
    private var windowMs = firstWindowMs

    /** Returns the delay before the next retry. */
    fun nextDelayMs(): Long {
        val delayMs = minimumMs + random.nextLong(windowMs + 1)
        windowMs = minOf(2 * windowMs, longestWindowMs)
        return delayMs
    }

    /** Starts anew with [firstWindowMs]. */
    fun reset() {
        windowMs = firstWindowMs
    }
}
