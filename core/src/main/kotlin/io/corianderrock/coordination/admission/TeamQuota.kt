/*
 * A team's quota at one entry: a token bucket kept as the theoretical arrival time of the next request.
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

    /** Takes one request from the quota. Returns 0 when admitted, or the wait in nanoseconds until one may be. */
    public fun tryTake(nowNs: Long): Long {
        while (true) {
            val seen = nextArrivalNs.get()
            val base = if (seen == Long.MIN_VALUE || seen - nowNs < 0) nowNs else seen
            val next = base + intervalNs
            val excessNs = next - nowNs - toleranceNs
            if (excessNs > 0) return excessNs
            if (nextArrivalNs.compareAndSet(seen, next)) return 0
        }
    }

    private companion object {
        const val NS_PER_SECOND = 1_000_000_000.0
    }
}
