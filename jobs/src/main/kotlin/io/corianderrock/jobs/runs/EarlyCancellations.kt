/*
 * Cancellations that precede the submission of their job, as the owner sees it: that may be on its way between entries, in a write that the
 * store carries out late, or sent again by its caller. Each cancellation is stored before it is acknowledged, so that this owner and later
 * ones end the job as soon as it becomes known. It is kept as long as the rows of a cancelled job.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.accounts.JobAccess
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoredRow
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.state.JobSubmission
import kotlinx.serialization.Serializable

/** The stored cancellations of one job, the last one at [lastWallMs] by the time of day, by callers with the rights in [accesses]. */
@Serializable
internal data class EarlyCancellationRow(
    val lastWallMs: Long,
    val accesses: List<JobAccess>,
)

/**
 * Holds cancellations in memory and writes them through [committer], a few at a time: other rows of the owner do not wait behind many of
 * them. Used on the event loop only.
 */
internal class EarlyCancellations(
    private val loop: EventLoop,
    private val committer: Committer,
    private val log: DecisionLog,
) {
    /** What is held for one job, until [expiresAtMs] by the loop's clock. */
    private class Held(
        val accesses: Set<JobAccess>,
        val lastWallMs: Long,
        val expiresAtMs: Long,
        /** True while its row is being deleted. It takes effect until then, as a later owner may still find the row. */
        var isDeleting: Boolean = false,
    )

    private class UnsentRow(
        val jobId: String,
        val onDropped: () -> Unit,
        val onStored: () -> Unit,
    )

    /** By job, in the order in which they expire. */
    private val held = LinkedHashMap<String, Held>()
    private val unsent = ArrayDeque<UnsentRow>()
    private var openCount = 0
    private var nextPassAtMs = Long.MIN_VALUE

    /** True if [submission] was cancelled by a caller that may cancel it. */
    fun covers(submission: JobSubmission): Boolean = held[submission.id]?.accesses?.any { it.permits(submission.account) } == true

    /**
     * Cancels the job [jobId] for callers with [access]; [onStored] is called once that is stored, [onDropped] if the ownership ends
     * before. Returns false, and does nothing, if there is no room; one that [isAcknowledged] already is held beyond the limits on all.
     */
    fun add(
        jobId: String,
        access: JobAccess,
        isAcknowledged: Boolean = false,
        onDropped: () -> Unit = {},
        onStored: () -> Unit,
    ): Boolean {
        val earlier = held[jobId]
        val hasRoom = if (isAcknowledged) hasAccessRoom(earlier, access) else hasRoomFor(jobId, access)
        if (!hasRoom) {
            log.write("early_cancellation_refused", "job", jobId, "account", access.account, "held", held.size, "unsent", unsent.size)
            return false
        }
        held.remove(jobId)
        val accesses = earlier?.accesses.orEmpty() + access
        held[jobId] = Held(accesses, loop.wallMs, loop.nowMs + Retention.RETENTION_MS)
        log.write("job_cancelled_early", "job", jobId, "account", access.account, "held", held.size)
        unsent.addLast(UnsentRow(jobId, onDropped, onStored))
        sendSome()
        return true
    }

    private fun sendSome() {
        while (openCount < MAX_OPEN) {
            val row = unsent.removeFirstOrNull() ?: return
            openCount++
            committer.put(keyOf(row.jobId), onDropped = { drop(row) }, onStored = { onRowStored(row) }) { valueOf(row.jobId) }
        }
    }

    private fun onRowStored(row: UnsentRow) {
        openCount--
        row.onStored()
        sendSome()
    }

    /** The ownership has ended, or the store has refused [row]; in this case the next tick sends the others. */
    private fun drop(row: UnsentRow) {
        openCount--
        row.onDropped()
    }

    /** Gives up what is not sent, as the ownership ends. */
    fun close() {
        val dropped = unsent.toList()
        unsent.clear()
        dropped.forEach { it.onDropped() }
    }

    /** True if the job [jobId] can be cancelled for callers with [access] beside those that are held. */
    fun hasRoomFor(
        jobId: String,
        access: JobAccess,
    ): Boolean {
        val earlier = held[jobId]
        val isCountBelowLimit = earlier != null || held.size < MAX_COUNT
        return unsent.size < MAX_UNSENT && isCountBelowLimit && hasAccessRoom(earlier, access)
    }

    private fun hasAccessRoom(
        earlier: Held?,
        access: JobAccess,
    ): Boolean = earlier == null || access in earlier.accesses || earlier.accesses.size < MAX_ACCESSES

    /** Time in milliseconds until the number held falls below its limit; 0 if it is. */
    val roomInMs: Long
        get() = if (held.size < MAX_COUNT) 0 else held.values.firstOrNull()?.let { maxOf(0, it.expiresAtMs - loop.nowMs) } ?: 0

    /** Restores the cancellations in [rows], which earlier owners have stored. */
    fun load(rows: List<StoredRow>) {
        val readable = rows.mapNotNull { row -> decodeStored(EarlyCancellationRow.serializer(), row.value)?.let { row.key.key to it } }
        for ((jobId, row) in readable.sortedBy { (_, row) -> row.lastWallMs }) {
            val leftMs = (row.lastWallMs.coerceAtMost(loop.wallMs) + Retention.RETENTION_MS - loop.wallMs).coerceAtLeast(0)
            held[jobId] = Held(row.accesses.toSet(), row.lastWallMs, loop.nowMs + leftMs)
        }
    }

    /** Sends what waits and deletes what has expired. Called at each tick. */
    fun tick() {
        sendSome()
        deleteIfDue()
    }

    private fun deleteIfDue() {
        if (loop.nowMs < nextPassAtMs || committer.pendingCount > Retention.MAX_PENDING) return
        nextPassAtMs = loop.nowMs + PASS_INTERVAL_MS
        val due =
            held.entries
                .asSequence()
                .takeWhile { it.value.expiresAtMs <= loop.nowMs }
                .filter { !it.value.isDeleting }
        due.take(Retention.MAX_DELETED).toList().forEach { (jobId, record) -> delete(jobId, record) }
    }

    private fun delete(
        jobId: String,
        record: Held,
    ) {
        record.isDeleting = true
        committer.put(keyOf(jobId), onStored = { if (held[jobId] === record) held.remove(jobId) }) { valueOf(jobId) }
    }

    private fun valueOf(jobId: String): String? {
        val record = held[jobId]?.takeUnless { it.isDeleting } ?: return null
        return storedJson.encodeToString(
            EarlyCancellationRow.serializer(),
            EarlyCancellationRow(record.lastWallMs, record.accesses.toList()),
        )
    }

    private fun keyOf(jobId: String) = RowKey(Table.EARLY_CANCELLATIONS, jobId)

    private companion object {
        /** Bounds the owner's memory, and what the next owner reads. */
        const val MAX_COUNT = 10_000

        /** Rows in open transactions: as many as new jobs leave room for. */
        const val MAX_OPEN = WriteQueue.RESERVED_ENTRIES

        /** Rows that wait for a transaction: the last one is stored within 250 ms while the store is sound. */
        const val MAX_UNSENT = 300

        /** Accounts that may cancel one job in advance: bounds a row. */
        const val MAX_ACCESSES = 50
        const val PASS_INTERVAL_MS = 100L
    }
}
