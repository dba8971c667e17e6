/*
 * The request quota of a team at one entry: a token bucket in the form of the generic cell rate algorithm (GCRA), which
 * stores the theoretical arrival time of the next request.
 */
package io.corianderrock.coordination.admission

import java.util.concurrent.atomic.AtomicLong

/** Admits [requestsPerSecond] on average and [burstRequests] at once. Lock-free. */
public class TeamQuota(
    requestsPerSecond: Double,
    burstRequests: Int,
) {
    private val intervalNs = (NS_PER_SECOND / requestsPerSecond).toLong().coerceAtLeast(1)
    private val toleranceNs = intervalNs * burstRequests.coerceAtLeast(1)
    private val nextArrivalNs = AtomicLong(Long.MIN_VALUE)

    /** Returns 0 if a request is admitted at monotonic time [nowNs], else the nanoseconds until the next one would be. */
    public fun tryAcquire(nowNs: Long): Long {
        while (true) {
            val current = nextArrivalNs.get()
            val base = if (current == Long.MIN_VALUE || current - nowNs < 0) nowNs else current
            val next = base + intervalNs
            val excessNs = next - nowNs - toleranceNs
            if (excessNs > 0) return excessNs
            if (nextArrivalNs.compareAndSet(current, next)) return 0
        }
    }

    private companion object {
        const val NS_PER_SECOND = 1_000_000_000.0
    }
}
