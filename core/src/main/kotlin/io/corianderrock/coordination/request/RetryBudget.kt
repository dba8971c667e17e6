/*
 * Bounds the load that retries add: recent successes earn retries, an outage earns none.
 */
package io.corianderrock.coordination.request

import java.util.concurrent.atomic.AtomicLong

/**
 * Allows retries up to [ratio] of successes, with a reserve of at most [reserve] retries. Lock-free.
 */
public class RetryBudget(
    private val ratio: Double = 0.1,
    private val reserve: Int = 10,
) {
    private val balanceMillis = AtomicLong(reserve * MILLIS_PER_RETRY)

    /** Records one success. */
    public fun onSuccess() {
        val earned = (ratio * MILLIS_PER_RETRY).toLong()
        val cap = reserve * MILLIS_PER_RETRY
        if (balanceMillis.get() >= cap) return
        balanceMillis.updateAndGet { (it + earned).coerceAtMost(cap) }
    }

    /** Takes one retry from the budget. Returns false when none is left. */
    public fun tryRetry(): Boolean {
        while (true) {
            val seen = balanceMillis.get()
            if (seen < MILLIS_PER_RETRY) return false
            if (balanceMillis.compareAndSet(seen, seen - MILLIS_PER_RETRY)) return true
        }
    }

    private companion object {
        const val MILLIS_PER_RETRY = 1_000L
    }
}
