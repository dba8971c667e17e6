/*
 * The durable log of claims. Pending records of all ranges are committed in one transaction, so that thousands of claims
 * cost a few writes per second. One transaction is in flight at a time, so the platform's latency also bounds the rate.
 */
package io.corianderrock.coordination.claim

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.Precondition
import io.corianderrock.coordination.TableService
import io.corianderrock.coordination.Transaction
import io.corianderrock.coordination.Write
import io.corianderrock.coordination.admission.TeamQuota
import io.corianderrock.coordination.monotonicMs
import io.corianderrock.coordination.transactExactlyOnce
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.util.concurrent.CompletableFuture
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** A record of the log: the request with the id [attempt] claimed [key], or released it when [isRelease]. */
@Serializable
public data class ClaimLogRecord(
    val key: String,
    val attempt: String,
    val isRelease: Boolean = false,
)

/** The records of one range in one commit, and the wall-clock time of the commit in milliseconds. */
@Serializable
public data class ClaimLogBatch(
    val wallMs: Long,
    @SerialName("lines") val records: List<ClaimLogRecord>,
)

/**
 * The result of [ClaimLog.commitPending]. FENCED: nothing was committed, because a range was lost or a precondition
 * failed. FAILED: the platform did not confirm the commit; the next call repeats it.
 */
public enum class CommitResult { NOTHING_PENDING, COMMITTED, FENCED, FAILED }

/** The times of one attempt to commit [recordCount] records, the oldest of which had waited for [queuedMs] before it. */
public data class CommitAttempt(
    val result: CommitResult,
    val recordCount: Int,
    val queuedMs: Long,
    val platformMs: Long,
)

/** Notified of each attempt to commit records. Called on the thread that commits. */
public fun interface CommitObserver {
    /** Called after [attempt]. */
    public fun onAttempt(attempt: CommitAttempt)
}

/**
 * Limits commits to [ClaimLimits.commitsPerSecond] after a burst of [ClaimLimits.commitBurst]. Records that arrive while
 * a commit waits join it.
 */
public class CommitRateLimiter(
    private val limits: ClaimLimits,
    private val clock: Clock,
    private val sleepNs: (Long) -> Unit = { TimeUnit.NANOSECONDS.sleep(it) },
) {
    private var owners = 1

    @Volatile
    private var quota = TeamQuota(limits.commitsPerSecond, limits.commitBurst)

    /** Limits this process to its share of [ClaimLimits.commitsPerSecond] among [owners] processes. */
    public fun shareAmong(owners: Int) {
        if (owners == this.owners) return
        this.owners = owners
        quota = TeamQuota(limits.commitsPerSecond / owners, limits.commitBurst)
    }

    /** Blocks until the next commit may start. */
    public fun awaitPermit() {
        while (true) {
            val waitNs = quota.tryAcquire(clock.monotonicNs())
            if (waitNs <= 0) return
            sleepNs(waitNs)
        }
    }
}

/** Collects records from many threads; one thread calls [commitPending]. [fenceOf] returns null for a range not owned. */
public class ClaimLog(
    private val table: TableService,
    private val fenceOf: (Int) -> Precondition?,
    private val onFenced: (Int) -> Unit,
    private val clock: Clock,
    private val newId: () -> String,
    private val rateLimiter: CommitRateLimiter,
    private val observer: CommitObserver = CommitObserver {},
) {
    private class PendingRecord(
        val range: Int,
        val record: ClaimLogRecord,
        val committed: CompletableFuture<Boolean>,
        val appendedMs: Long,
    )

    private class Batch(
        val id: String,
        val records: List<PendingRecord>,
    )

    private val pending = LinkedBlockingQueue<PendingRecord>()
    private val commits = AtomicLong()
    private val committedRecords = AtomicLong()
    private val uncommitted = AtomicInteger()
    private var unresolved: Batch? = null

    /** The number of successful commits since the start. */
    public val commitCount: Long get() = commits.get()

    /** The number of records committed since the start. */
    public val recordCount: Long get() = committedRecords.get()

    /** The number of records that are not committed yet, including those of a commit in flight. */
    public val pendingCount: Int get() = uncommitted.get()

    /** Queues [record] of [range]. The future completes with true on commit, or with false if ownership is lost first. */
    public fun append(
        range: Int,
        record: ClaimLogRecord,
    ): CompletableFuture<Boolean> {
        val pendingRecord = PendingRecord(range, record, CompletableFuture(), clock.monotonicMs())
        uncommitted.incrementAndGet()
        pending.add(pendingRecord)
        return pendingRecord.committed
    }

    /**
     * Commits the pending records in one transaction, after waiting at most [waitMs] for the first one. A batch whose
     * result is not known is committed again under its id before any other record.
     */
    public fun commitPending(waitMs: Long): CommitResult {
        val batch = unresolved ?: nextBatch(waitMs) ?: return CommitResult.NOTHING_PENDING
        unresolved = batch
        val (owned, lost) = batch.records.partition { fenceOf(it.range) != null }
        completeFutures(lost, isCommitted = false)
        if (owned.isEmpty()) return clearUnresolved(CommitResult.FENCED)
        val startedMs = clock.monotonicMs()
        val result = table.transactExactlyOnce(transactionOf(batch.id, owned))
        val endedMs = clock.monotonicMs()
        val commitResult =
            when (result) {
                is PlatformResult.Ok -> onCommitted(owned)
                is PlatformResult.Conflict -> onConflict(owned, result)
                is PlatformResult.Failed -> CommitResult.FAILED
            }
        observer.onAttempt(CommitAttempt(commitResult, owned.size, startedMs - owned.minOf { it.appendedMs }, endedMs - startedMs))
        return commitResult
    }

    private fun nextBatch(waitMs: Long): Batch? {
        val first = pending.poll(waitMs, TimeUnit.MILLISECONDS) ?: return null
        rateLimiter.awaitPermit()
        val records = arrayListOf(first)
        pending.drainTo(records, MAX_RECORDS_PER_COMMIT - 1)
        return Batch(newId(), records)
    }

    private fun transactionOf(
        id: String,
        records: List<PendingRecord>,
    ): Transaction {
        val byRange = records.groupBy { it.range }
        return Transaction(
            id = id,
            preconditions = byRange.keys.mapNotNull(fenceOf),
            writes = byRange.map { (range, rangeRecords) -> Write(logPrefix(range) + id, encode(rangeRecords)) },
        )
    }

    private fun encode(records: List<PendingRecord>): String =
        Json.encodeToString(ClaimLogBatch.serializer(), ClaimLogBatch(clock.wallMs(), records.map { it.record }))

    private fun onCommitted(records: List<PendingRecord>): CommitResult {
        commits.incrementAndGet()
        committedRecords.addAndGet(records.size.toLong())
        completeFutures(records, isCommitted = true)
        return clearUnresolved(CommitResult.COMMITTED)
    }

    /** Drops the records of the range that was lost and keeps the rest for a new transaction. */
    private fun onConflict(
        records: List<PendingRecord>,
        conflict: PlatformResult.Conflict,
    ): CommitResult {
        val lostRange = records.map { it.range }.distinct().firstOrNull { rangeKey(it) == conflict.key }
        if (lostRange != null) onFenced(lostRange)
        val kept = records.filter { it.range != lostRange }
        completeFutures(records.filter { it.range == lostRange }, isCommitted = false)
        unresolved = if (kept.isEmpty()) null else Batch(newId(), kept)
        return CommitResult.FENCED
    }

    private fun completeFutures(
        records: List<PendingRecord>,
        isCommitted: Boolean,
    ) {
        uncommitted.addAndGet(-records.size)
        records.forEach { it.committed.complete(isCommitted) }
    }

    private fun clearUnresolved(result: CommitResult): CommitResult {
        unresolved = null
        return result
    }

    private companion object {
        const val MAX_RECORDS_PER_COMMIT = 2_000
    }
}
