/*
 * A token bucket whose rate may change.
 */
package io.corianderrock.jobs.storerate

import io.corianderrock.jobs.ports.EventLoop

/** Holds up to [capacity] tokens, as many as it is asked for at first, and gains [ratePerS] a second. Confined to [loop]. */
internal class TokenBucket(
    private val loop: EventLoop,
    private val ratePerS: () -> Double,
    private val capacity: () -> Double,
) {
    private var tokens = Double.MAX_VALUE
    private var refilledAtMs = loop.nowMs

    /** Takes a token if [kept] of them remain. */
    fun take(kept: Double = 0.0): Boolean {
        refill()
        if (tokens < kept + 1) return false
        tokens--
        return true
    }

    /** How long until there are [count] tokens. */
    fun waitMs(count: Int): Long {
        refill()
        return maxOf(0.0, (count - tokens) / ratePerS() * MS_PER_S).toLong()
    }

    /** Tokens beyond a capacity that has shrunk are lost. */
    private fun refill() {
        tokens = minOf(capacity(), tokens + (loop.nowMs - refilledAtMs) * ratePerS() / MS_PER_S)
        refilledAtMs = loop.nowMs
    }

    private companion object {
        const val MS_PER_S = 1_000
    }
}
