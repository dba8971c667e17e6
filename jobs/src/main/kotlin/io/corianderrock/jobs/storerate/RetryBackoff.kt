/*
 * Delays between retries against a shared service. Processes that retry at a fixed pace keep a service that refuses them overloaded, and
 * return to it at the same moment.
 */
package io.corianderrock.jobs.storerate

import kotlin.random.Random

/**
 * Exponential back-off with full jitter: each delay is at least [minimumMs] and less than a window above it that doubles from [firstWindowMs] to
 * [longestWindowMs], in milliseconds. Confined to one thread.
 */
public class RetryBackoff(
    private val firstWindowMs: Long,
    private val longestWindowMs: Long,
    private val minimumMs: Long = 1,
    private val random: Random = Random.Default,
) {
    private var windowMs = firstWindowMs

    /** Returns the delay before the next retry. */
    public fun nextDelayMs(): Long {
        val delayMs = minimumMs + random.nextLong(windowMs)
        windowMs = minOf(2 * windowMs, longestWindowMs)
        return delayMs
    }

    /** Starts anew with [firstWindowMs]. */
    public fun reset() {
        windowMs = firstWindowMs
    }
}
