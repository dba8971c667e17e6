/*
 * The durable log of claims. Pending claims of all ranges are committed together, so that thousands of claims cost a
 * few writes a second; the platform's own latency sets the pace.
 */
package io.corianderrock.coordination.claim

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.Precondition
import io.corianderrock.coordination.TableService
import io.corianderrock.coordination.Transaction
import io.corianderrock.coordination.Write
import io.corianderrock.coordination.admission.TeamQuota
import io.corianderrock.coordination.transactExactlyOnce
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.util.concurrent.CompletableFuture
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** One line of the log: [attempt] claimed [key], or gave it back when [isRelease]. */
@Serializable
public data class ClaimLogLine(
    val key: String,
    val attempt: String,
    val isRelease: Boolean = false,
)

/** The lines of one range in one commit. */
@Serializable
public data class ClaimLogBatch(
    val wallMs: Long,
    val lines: List<ClaimLogLine>,
)

/** The result of one commit. */
public enum class CommitResult { NOTHING, COMMITTED, FENCED, FAILED }

/** Bounds the rate of commits: the first few follow at once, then lines gather until the next turn. */
public class CommitPace(
    private val limits: ClaimLimits,
    private val clock: Clock,
    private val sleepNs: (Long) -> Unit = { TimeUnit.NANOSECONDS.sleep(it) },
) {
    private var owners = 1

    @Volatile
    private var quota = TeamQuota(limits.commitsPerSecond, limits.commitBurst)

    /** Divides the commits of [ClaimLimits.commitsPerSecond] among [owners] processes. */
    public fun shareAmong(owners: Int) {
        if (owners == this.owners) return
        this.owners = owners
        quota = TeamQuota(limits.commitsPerSecond / owners, limits.commitBurst)
    }

    /** Returns once the next commit may start. */
    public fun awaitTurn() {
        while (true) {
            val waitNs = quota.tryAcquire(clock.monotonicNs())
            if (waitNs <= 0) return
            sleepNs(waitNs)
        }
    }
}

/** Collects lines from many threads; one thread calls [commitPending]. */
public class ClaimLog(
    private val table: TableService,
    private val fenceOf: (Int) -> Precondition?,
    private val onFenced: (Int) -> Unit,
    private val wallMs: () -> Long,
    private val newId: () -> String,
    private val pace: CommitPace,
) {
    private class Pending(
        val range: Int,
        val line: ClaimLogLine,
        val committed: CompletableFuture<Boolean>,
    )

    private class Batch(
        val id: String,
        val lines: List<Pending>,
    )

    private val pending = LinkedBlockingQueue<Pending>()
    private val commits = AtomicLong()
    private val logged = AtomicLong()
    private val uncommitted = AtomicInteger()
    private var unresolved: Batch? = null

    /** The number of commits so far. */
    public val commitCount: Long get() = commits.get()

    /** The number of lines committed so far. */
    public val lineCount: Long get() = logged.get()

    /** The number of lines that are not committed yet. */
    public val pendingCount: Int get() = uncommitted.get()

    /** Adds [line] of [range]. The future completes with true once it is committed, false when ownership was lost. */
    public fun append(
        range: Int,
        line: ClaimLogLine,
    ): CompletableFuture<Boolean> {
        val entry = Pending(range, line, CompletableFuture())
        uncommitted.incrementAndGet()
        pending.add(entry)
        return entry.committed
    }

    /** Waits at most [waitMs] for lines and commits all that are pending in one transaction. */
    public fun commitPending(waitMs: Long): CommitResult {
        val batch = unresolved ?: nextBatch(waitMs) ?: return CommitResult.NOTHING
        unresolved = batch
        val (owned, lost) = batch.lines.partition { fenceOf(it.range) != null }
        finish(lost, isCommitted = false)
        if (owned.isEmpty()) return resolved(CommitResult.FENCED)
        return when (val result = table.transactExactlyOnce(transactionOf(batch.id, owned))) {
            is PlatformResult.Ok -> onCommitted(owned)
            is PlatformResult.Conflict -> onConflict(owned, result)
            is PlatformResult.Failed -> CommitResult.FAILED
        }
    }

    private fun nextBatch(waitMs: Long): Batch? {
        val first = pending.poll(waitMs, TimeUnit.MILLISECONDS) ?: return null
        pace.awaitTurn()
        val lines = arrayListOf(first)
        pending.drainTo(lines, MAX_LINES - 1)
        return Batch(newId(), lines)
    }

    private fun transactionOf(
        id: String,
        lines: List<Pending>,
    ): Transaction {
        val byRange = lines.groupBy { it.range }
        return Transaction(
            id = id,
            preconditions = byRange.keys.mapNotNull(fenceOf),
            writes = byRange.map { (range, entries) -> Write(logPrefix(range) + id, encode(entries)) },
        )
    }

    private fun encode(entries: List<Pending>): String =
        Json.encodeToString(ClaimLogBatch.serializer(), ClaimLogBatch(wallMs(), entries.map { it.line }))

    private fun onCommitted(lines: List<Pending>): CommitResult {
        commits.incrementAndGet()
        logged.addAndGet(lines.size.toLong())
        finish(lines, isCommitted = true)
        return resolved(CommitResult.COMMITTED)
    }

    /** Drops the range that was lost and tries the rest again under a new id. */
    private fun onConflict(
        lines: List<Pending>,
        conflict: PlatformResult.Conflict,
    ): CommitResult {
        val lostRange = lines.map { it.range }.distinct().firstOrNull { rangeKey(it) == conflict.key }
        if (lostRange != null) onFenced(lostRange)
        val kept = lines.filter { it.range != lostRange }
        finish(lines.filter { it.range == lostRange }, isCommitted = false)
        unresolved = if (kept.isEmpty()) null else Batch(newId(), kept)
        return CommitResult.FENCED
    }

    private fun finish(
        lines: List<Pending>,
        isCommitted: Boolean,
    ) {
        uncommitted.addAndGet(-lines.size)
        lines.forEach { it.committed.complete(isCommitted) }
    }

    private fun resolved(result: CommitResult): CommitResult {
        unresolved = null
        return result
    }

    private companion object {
        const val MAX_LINES = 2_000
    }
}
