/*
 * Jobs and cancellations that other entries stored directly while they could not reach the owner.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.ReadResult
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoredRow
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.state.JobRun

/** Adds the jobs of the inbox to [registry], until [isClosed]. Used on the event loop only. */
internal class JobInbox(
    private val loop: EventLoop,
    private val tables: JobTables,
    private val registry: JobRegistry,
    private val earlyCancellations: EarlyCancellations,
    private val committer: Committer,
    private val log: DecisionLog,
    private val hadEarlierOwner: Boolean,
    private val isClosed: () -> Boolean,
) {
    /** Of the last read. An owner that has loaded the jobs counts from its start, as its first read of the inbox was sent no earlier. */
    private val freshness = Freshness(loop)
    private var nextReadAtMs = Long.MIN_VALUE / 2
    private var isReading = false

    /** Messages that are being moved to [earlyCancellations]. */
    private val openCancellations = HashSet<InboxMessage>()

    /** True if the last read is recent enough for tasks to be started. */
    val isFresh: Boolean get() = freshness.ageMs < FRESHNESS_MS

    fun readIfDue() {
        if (isReading || loop.nowMs < nextReadAtMs) return
        isReading = true
        val sentAt = loop.readClocks()
        nextReadAtMs = sentAt.loopMs + INBOX_INTERVAL_MS
        tables.scan(Table.INBOX) { result ->
            isReading = false
            if (result !is ReadResult.Rows) nextReadAtMs = minOf(nextReadAtMs, loop.nowMs + FAILED_READ_RETRY_MS)
            if (isClosed() || result !is ReadResult.Rows) return@scan
            freshness.confirm(sentAt)
            result.rows.forEach(::process)
        }
    }

    fun process(row: StoredRow) {
        val message = InboxMessage.of(row) ?: return
        if (registry.find(message.jobId)?.isStored == true) {
            apply(message)
            return
        }
        // A later owner that can read the job reads the message as well.
        if (registry.isUnreadable(message.jobId)) return
        if (message.isCancel) moveCancellation(message) else findSubmitted(message)
    }

    /** Moves [message] to [earlyCancellations]: its job may still be submitted. One for which there is no room is read again. */
    private fun moveCancellation(message: InboxMessage) {
        if (!openCancellations.add(message)) return
        val onEnd = { openCancellations.remove(message) }
        val isHeld =
            earlyCancellations.add(message.jobId, message.access, isAcknowledged = true, onDropped = { onEnd() }) {
                onEnd()
                delete(message)
            }
        if (!isHeld) onEnd()
    }

    private fun findSubmitted(message: InboxMessage) =
        find(message.jobId) { found ->
            when (found) {
                is Lookup.Found -> apply(message)
                // Jobs are stored with their messages, so this one has expired.
                is Lookup.Absent -> delete(message)
                is Lookup.Unreadable, is Lookup.Unknown -> Unit
            }
        }

    /** What the store holds of a job that the registry does not know. */
    sealed interface Lookup {
        data class Found(
            val job: JobRun,
        ) : Lookup

        data object Absent : Lookup

        /** The store holds the job, and this version cannot read it, now or later. */
        data object Unreadable : Lookup

        /** The store did not answer. */
        data object Unknown : Lookup
    }

    /**
     * Reads the job [id] from the store and adds it to the registry if it is there. It has progress only if an earlier owner has stored
     * that, which this owner has loaded with all others, unless the job had ended long before. Then the progress is read first: a job that
     * is deleted in between has no row any more, and is not taken for one that has not begun.
     */
    fun find(
        id: String,
        onResult: (Lookup) -> Unit,
    ) {
        if (!registry.retention.isNotLoaded(id)) {
            readJobRow(id, progress = null, onResult)
        } else {
            readRow(RowKey(Table.PROGRESS, id), onResult) { progress -> readJobRow(id, progress, onResult) }
        }
    }

    private fun readJobRow(
        id: String,
        progress: StoredRow?,
        onResult: (Lookup) -> Unit,
    ) = readRow(RowKey(Table.JOBS, id), onResult) { row -> onResult(if (row == null) Lookup.Absent else add(row, progress)) }

    private fun readRow(
        key: RowKey,
        onResult: (Lookup) -> Unit,
        onRow: (StoredRow?) -> Unit,
    ) = tables.read(key) { result ->
        if (isClosed() || result !is ReadResult.Rows) onResult(Lookup.Unknown) else onRow(result.rows.firstOrNull())
    }

    private fun add(
        row: StoredRow,
        progress: StoredRow?,
    ): Lookup =
        when (val stored = readJob(row, progress)) {
            is StoredJob.Unreadable -> {
                registry.addUnreadable(row.key.key, stored.reason)
                Lookup.Unreadable
            }
            is StoredJob.Unrunnable -> Lookup.Found(registry.failUnrunnable(stored))
            is StoredJob.Readable -> {
                log.write("job_from_inbox", "job", stored.submission.id, "version", row.version)
                val job = registry.load(stored.submission, stored.progress, isInherited = false)
                job.mayBeKnownToEarlierOwner = hadEarlierOwner
                Lookup.Found(job)
            }
        }

    private fun apply(message: InboxMessage) {
        val job = registry.find(message.jobId) ?: return
        val cancels = message.isCancel && message.access.permits(job.submission.account)
        if (cancels) registry.cancel(job) { delete(message) } else delete(message)
    }

    private fun delete(message: InboxMessage) = committer.put(message.key) { null }

    private companion object {
        /** Interval between reads of the inbox. */
        const val INBOX_INTERVAL_MS = 1_000L

        /** Delay after a failed read: running tasks of cancelled jobs end no sooner than the next one. */
        const val FAILED_READ_RETRY_MS = 250L

        /** Greatest age of the last read at which tasks are started: a cancellation in the inbox takes effect within 3 s. */
        const val FRESHNESS_MS = 2_500L
    }
}
