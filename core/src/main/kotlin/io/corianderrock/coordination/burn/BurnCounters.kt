/*
 * Counts good and bad requests of each service in time buckets, the input of burn rates.
 */
package io.corianderrock.coordination.burn

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.request.EntryRequest
import io.corianderrock.coordination.request.EntryResult
import io.corianderrock.coordination.request.Reason
import io.corianderrock.coordination.request.RequestObserver
import io.corianderrock.state.ServiceSpec
import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** Requests of [service] in the bucket that starts at [startMs], a multiple of [BUCKET_MS] since the Unix epoch. */
@Serializable
public data class BurnBucket(
    val service: String,
    val startMs: Long,
    val good: Long,
    val bad: Long,
)

/** The length of a bucket, in milliseconds. */
public const val BUCKET_MS: Long = 300_000

/** How long buckets are kept, in milliseconds; the length of the longest window of a burn report. */
public const val BURN_RETENTION_MS: Long = 21_600_000

/**
 * The counters of one entry. A request counts once, at the time at which it finishes; one that fails through the fault of its
 * caller does not count. Thread-safe.
 */
public class BurnCounters(
    private val clock: Clock,
) : RequestObserver {
    private data class BucketKey(
        val service: String,
        val startMs: Long,
    )

    private class RequestCounts {
        val good = LongAdder()
        val bad = LongAdder()
    }

    private val counts = ConcurrentHashMap<BucketKey, RequestCounts>()

    override fun onFinished(
        service: ServiceSpec,
        request: EntryRequest,
        result: EntryResult,
        elapsedNs: Long,
    ) {
        if (isCallerFault(result)) return
        val startMs = clock.wallMs() / BUCKET_MS * BUCKET_MS
        val bucket = counts.computeIfAbsent(BucketKey(service.name, startMs)) { RequestCounts() }
        if (isGood(service, result, elapsedNs)) bucket.good.increment() else bucket.bad.increment()
    }

    /** Returns the buckets within [BURN_RETENTION_MS] and drops older ones. */
    public fun buckets(): List<BurnBucket> {
        val oldestMs = clock.wallMs() - BURN_RETENTION_MS
        counts.keys.removeIf { it.startMs < oldestMs }
        return counts
            .map { (key, value) -> BurnBucket(key.service, key.startMs, value.good.sum(), value.bad.sum()) }
            .sortedWith(compareBy({ it.service }, { it.startMs }))
    }

    private fun isGood(
        service: ServiceSpec,
        result: EntryResult,
        elapsedNs: Long,
    ): Boolean =
        result is EntryResult.Ran &&
            result.response.status < MIN_SERVER_ERROR_STATUS &&
            elapsedNs <= service.latencyObjectiveMs * NS_PER_MS

    private fun isCallerFault(result: EntryResult): Boolean =
        when (result) {
            is EntryResult.Ran -> false
            is EntryResult.NotRun -> result.reason in CALLER_FAULT_REASONS
            is EntryResult.Unknown -> result.reason in CALLER_FAULT_REASONS
        }

    private companion object {
        const val MIN_SERVER_ERROR_STATUS = 500
        const val NS_PER_MS = 1_000_000L
        val CALLER_FAULT_REASONS =
            setOf(
                Reason.QUOTA_EXCEEDED,
                Reason.CALLER_GONE,
                Reason.BODY_TOO_LARGE,
                Reason.MALFORMED,
                Reason.KEY_IN_PROGRESS,
                Reason.KEY_ALREADY_CLAIMED,
            )
    }
}
