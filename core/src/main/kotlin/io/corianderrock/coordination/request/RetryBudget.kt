/*
 * Bounds the load that retries add: successes earn retries, so an outage spends only the reserve.
 */
package io.corianderrock.coordination.request

import java.util.concurrent.atomic.AtomicLong

/**
 * A token bucket of retries: starts with [reserve] retries, which is also its capacity, and earns [ratio] of a retry for
 * each success. Lock-free.
 */
public class RetryBudget(
    private val ratio: Double = 0.1,
    private val reserve: Int = 10,
) {
    private val balance = AtomicLong(reserve * UNITS_PER_RETRY)

    public fun onSuccess() {
        val earned = (ratio * UNITS_PER_RETRY).toLong()
        val maxBalance = reserve * UNITS_PER_RETRY
        if (balance.get() >= maxBalance) return
        balance.updateAndGet { (it + earned).coerceAtMost(maxBalance) }
    }

    /** Takes one retry from the budget. Returns false if less than one is left. */
    public fun tryRetry(): Boolean {
        while (true) {
            val current = balance.get()
            if (current < UNITS_PER_RETRY) return false
            if (balance.compareAndSet(current, current - UNITS_PER_RETRY)) return true
        }
    }

    private companion object {
        const val UNITS_PER_RETRY = 1_000L
    }
}
