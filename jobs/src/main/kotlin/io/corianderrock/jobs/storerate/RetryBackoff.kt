/*
 * Pauses between attempts: exponential with full jitter, so that entries that have failed together do not return together.
 */
package io.corianderrock.jobs.storerate

import kotlin.random.Random

/** The pause is uniform up to a bound, which is twice [firstMs] at first, doubles with each failure and ends at [longestMs]. */
public class RetryBackoff(
    private val firstMs: Long,
    private val longestMs: Long,
    private val random: Random = Random.Default,
) {
    private var boundMs = 2 * firstMs

    /** The pause after one more failure, [firstMs] on average for the first one. */
    public fun nextMs(): Long {
        val pauseMs = 1 + random.nextLong(boundMs)
        boundMs = minOf(2 * boundMs, longestMs)
        return pauseMs
    }

    /** Called after a success. */
    public fun reset() {
        boundMs = 2 * firstMs
    }
}
