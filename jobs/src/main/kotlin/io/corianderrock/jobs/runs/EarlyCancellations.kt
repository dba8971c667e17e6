/*
 * Cancellations of jobs that the owner does not hold. Their submission may be on its way between entries, in a write that the store carries
 * out late, or sent again by its caller. Each cancellation is stored before it is acknowledged, so that this owner and later ones end the
 * job before its first task is placed, however it becomes known. It is deleted once the rows of a cancelled job would be.
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

/** The stored cancellations of one job that is not known, the last one at [lastWallMs], by callers with the rights in [accesses]. */
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
    private class Cancelled(
        val accesses: LinkedHashSet<JobAccess>,
        val lastWallMs: Long,
        val expiresAtMs: Long,
        /** True while its row is being deleted. It counts until then, so that no later owner finds it beside a job accepted since. */
        var isDeleting: Boolean = false,
    )

    private class UnsentRow(
        val jobId: String,
        val onDropped: () -> Unit,
        val onStored: () -> Unit,
    )

    /** By job, in the order in which they expire. */
    private val cancelled = LinkedHashMap<String, Cancelled>()
    private val unsent = ArrayDeque<UnsentRow>()
    private var openCount = 0
    private var nextPassAtMs = Long.MIN_VALUE

    /** True if [submission] was cancelled by a caller that may cancel it. */
    fun covers(submission: JobSubmission): Boolean = cancelled[submission.id]?.accesses?.any { it.permits(submission.account) } == true

    /**
     * Cancels the job [jobId] for callers with [access]; [onStored] is called once that is stored, [onDropped] if the ownership ends
     * before. Returns false, and does nothing, if too many are held; those whose callers [areAnswered] are held beyond that.
     */
    fun add(
        jobId: String,
        access: JobAccess,
        areAnswered: Boolean = false,
        onDropped: () -> Unit = {},
        onStored: () -> Unit,
    ): Boolean {
        val earlier = cancelled[jobId]
        val hasRoom = if (areAnswered) hasAccessRoom(earlier, access) else hasRoomFor(jobId, access)
        if (!hasRoom) {
            log.write("early_cancellation_refused", "job", jobId, "account", access.account, "held", cancelled.size, "unsent", unsent.size)
            return false
        }
        cancelled.remove(jobId)
        val accesses = LinkedHashSet(earlier?.accesses.orEmpty()).apply { add(access) }
        cancelled[jobId] = Cancelled(accesses, loop.wallMs, loop.nowMs + Retention.RETENTION_MS)
        log.write("job_cancelled_early", "job", jobId, "account", access.account, "held", cancelled.size)
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
        val earlier = cancelled[jobId]
        val isCountBelowLimit = earlier != null || cancelled.size < MAX_COUNT
        return unsent.size < MAX_UNSENT && isCountBelowLimit && hasAccessRoom(earlier, access)
    }

    private fun hasAccessRoom(
        earlier: Cancelled?,
        access: JobAccess,
    ): Boolean = earlier == null || access in earlier.accesses || earlier.accesses.size < MAX_ACCESSES

    /** Time in milliseconds until the number held falls below its limit. */
    val roomInMs: Long
        get() = if (cancelled.size < MAX_COUNT) 0 else cancelled.values.firstOrNull()?.let { maxOf(0, it.expiresAtMs - loop.nowMs) } ?: 0

    /** Restores the cancellations in [rows], which earlier owners have stored. */
    fun load(rows: List<StoredRow>) {
        val readable = rows.mapNotNull { row -> decodeStored(EarlyCancellationRow.serializer(), row.value)?.let { row.key.key to it } }
        for ((jobId, row) in readable.sortedBy { (_, row) -> row.lastWallMs }) {
            val leftMs = (row.lastWallMs.coerceAtMost(loop.wallMs) + Retention.RETENTION_MS - loop.wallMs).coerceAtLeast(0)
            cancelled[jobId] = Cancelled(LinkedHashSet(row.accesses), row.lastWallMs, loop.nowMs + leftMs)
        }
    }

    /** Sends what waits and deletes what has expired. Called at each tick. */
    fun tick() {
        sendSome()
        deleteIfDue()
    }

    private fun deleteIfDue() {
        if (loop.nowMs < nextPassAtMs || committer.pendingCount > MAX_PENDING) return
        nextPassAtMs = loop.nowMs + PASS_INTERVAL_MS
        val due =
            cancelled.entries
                .asSequence()
                .takeWhile { it.value.expiresAtMs <= loop.nowMs }
                .filter { !it.value.isDeleting }
        due.take(MAX_DELETED).toList().forEach { (jobId, record) -> delete(jobId, record) }
    }

    private fun delete(
        jobId: String,
        record: Cancelled,
    ) {
        record.isDeleting = true
        committer.put(keyOf(jobId), onStored = { if (cancelled[jobId] === record) cancelled.remove(jobId) }) { valueOf(jobId) }
    }

    private fun valueOf(jobId: String): String? {
        val record = cancelled[jobId]?.takeUnless { it.isDeleting } ?: return null
        return storedJson.encodeToString(
            EarlyCancellationRow.serializer(),
            EarlyCancellationRow(record.lastWallMs, record.accesses.toList()),
        )
    }

    private fun keyOf(jobId: String) = RowKey(Table.EARLY_CANCELLATIONS, jobId)

    private companion object {
        /** 64 a second for as long as each is kept. */
        const val MAX_COUNT = 10_000

        /** Rows that wait for a transaction or its answer: as many as one transaction holds beside new jobs. */
        const val MAX_OPEN = 32

        /** Rows that are stored within the 250 ms of a quick answer, at 20 ms a transaction. */
        const val MAX_UNSENT = 300

        /** Accounts that may cancel one unknown job: their names fit into a row. */
        const val MAX_ACCESSES = 50

        /** Rows deleted in one pass, which fit into one transaction. */
        const val MAX_DELETED = 45

        /** Writes that may wait before a pass, so that deletions do not delay them. */
        const val MAX_PENDING = 8
        const val PASS_INTERVAL_MS = 100L
    }
}
