/*
 * Serves callers from the store while the scheduler cannot be reached: jobs are still accepted, queried and cancelled.
 * The scheduler picks up accepted and cancelled jobs from the inbox table.
 */
package io.corianderrock.jobs.entry

import io.corianderrock.jobs.accounts.JobAccess
import io.corianderrock.jobs.ports.ChangeResult
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.ReadResult
import io.corianderrock.jobs.ports.RowChange
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoreRefusal
import io.corianderrock.jobs.ports.StoredRow
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.runs.InboxMessage
import io.corianderrock.jobs.runs.decodeStored
import io.corianderrock.jobs.runs.storedJson
import io.corianderrock.jobs.runs.unstorableReason
import io.corianderrock.jobs.state.JobProgress
import io.corianderrock.jobs.state.JobState
import io.corianderrock.jobs.state.JobSubmission

/** The answer of an entry to a caller. */
public sealed interface CallerAnswer {
    /** The job was accepted or cancelled. */
    public data object Applied : CallerAnswer

    /** The current state of a job. */
    public data class State(
        val state: JobState,
    ) : CallerAnswer

    /** The number of jobs of a queue that have not started. */
    public data class Pending(
        val count: Int,
    ) : CallerAnswer

    /** The job is unknown or belongs to another queue. */
    public data object NotFound : CallerAnswer

    /**
     * The request was not carried out and will not be; the caller may retry after [retryAfterMs]. [refusal] is set if the store was
     * not asked, or refused, for its load.
     */
    public data class NotApplied(
        val reason: String,
        val retryAfterMs: Long,
        val refusal: StoreRefusal? = null,
    ) : CallerAnswer

    /** The request may have been carried out. */
    public data class Uncertain(
        val reason: String,
    ) : CallerAnswer
}

/** Serves requests from [tables]. Answers are delivered on the event loop. */
public class StoredJobService(
    private val loop: EventLoop,
    private val tables: JobTables,
    /** The most tasks of a job that is accepted here: what the owner holds in all is not known. */
    private val maxTaskCount: Long = Long.MAX_VALUE,
) {
    private val sharedReads = SharedReads(loop, tables)
    private val openRequests = OpenRequests(loop)
    private val unknownCancelQuota = UnknownCancelQuota(loop)

    /** Called when this entry has told its callers something of job [id] that was not read here. */
    internal fun onTold(id: String) {
        sharedReads.outdate(RowKey(Table.JOBS, id))
        sharedReads.outdate(RowKey(Table.PROGRESS, id))
    }

    /** True while a write for [request] may still be carried out: until then a refusal would not be true. */
    internal fun mayStillApply(request: JobRequest): Boolean =
        when (request) {
            is JobRequest.Submit -> openRequests.isOpen(InboxMessage(request.submission.id, isCancel = false).key)
            is JobRequest.Cancel -> cancellationsOf(request.id, request.access).any { openRequests.isOpen(it.key) }
            is JobRequest.State, is JobRequest.Pending -> false
        }

    /** Answers any [request] but [JobRequest.Pending], which only the scheduler can answer. */
    internal fun answer(
        request: JobRequest,
        onAnswer: (CallerAnswer) -> Unit,
    ): Unit =
        when (request) {
            is JobRequest.Submit -> submit(request.submission, onAnswer)
            is JobRequest.State -> state(request.id, request.queueName, request.access, onAnswer)
            is JobRequest.Cancel -> cancel(request.id, request.access, onAnswer)
            is JobRequest.Pending -> onAnswer(CallerAnswer.NotApplied("the store does not count waiting jobs", RETRY_AFTER_MS))
        }

    /**
     * Stores [submission] with an inbox message for the scheduler. A job that is already stored is accepted as well. A write to a
     * store that does not answer may be applied later, so nothing is written unless the store has just answered a read, and nothing
     * again while an earlier write may still be applied.
     */
    public fun submit(
        submission: JobSubmission,
        onAnswer: (CallerAnswer) -> Unit,
    ) {
        val message = InboxMessage(submission.id, isCancel = false).key
        if (openRequests.join(message, onAnswer)) return
        if (openRequests.isOpen(message)) {
            settle(message, RowKey(Table.JOBS, submission.id), onAnswer)
            return
        }
        var isDecided = false
        val decide = { action: () -> Unit ->
            if (!isDecided) {
                isDecided = true
                action()
            }
        }
        loop.after(READ_WAIT_MS) {
            decide { onAnswer(CallerAnswer.NotApplied("the store has not answered within $READ_WAIT_MS ms; retry later", RETRY_AFTER_MS)) }
        }
        read(Table.JOBS, submission.id, { refusal -> decide { onAnswer(refusal) } }) { row ->
            decide { if (row == null) write(submission, onAnswer) else onAnswer(CallerAnswer.Applied) }
        }
    }

    /** Why the store cannot hold [submission], which is valid; null if it can. */
    public fun unstorableReason(submission: JobSubmission): String? = unstorableReason(submission, tables.limits)

    private fun write(
        submission: JobSubmission,
        onAnswer: (CallerAnswer) -> Unit,
    ) {
        unstorableReason(submission)?.let {
            onAnswer(CallerAnswer.NotApplied(it, UNSTORABLE_RETRY_MS))
            return
        }
        if (submission.taskCount > maxTaskCount) {
            val reason = "without the scheduler a job may have $maxTaskCount tasks, this one has ${submission.taskCount}; retry later"
            onAnswer(CallerAnswer.NotApplied(reason, RETRY_AFTER_MS))
            return
        }
        val key = RowKey(Table.JOBS, submission.id)
        val message = InboxMessage(submission.id, isCancel = false)
        val change =
            RowChange(
                expected = mapOf(key to 0L),
                puts =
                    mapOf(
                        key to storedJson.encodeToString(JobSubmission.serializer(), submission),
                        message.key to message.value,
                    ),
            )
        writeOnce(message.key, change, onAnswer)
    }

    /** Sends [change], which writes [message], unless it is in flight; two callers may have read at the same time that it is needed. */
    private fun writeOnce(
        message: RowKey,
        change: RowChange,
        onAnswer: (CallerAnswer) -> Unit,
    ) {
        if (openRequests.join(message, onAnswer)) return
        if (openRequests.isOpen(message)) {
            onAnswer(CallerAnswer.Uncertain(STILL_OPEN))
            return
        }
        openRequests.onSent(message, onAnswer)
        tables.commit(change) { openRequests.onAnswered(message, answerTo(it)) }
    }

    /** Looks for [row], which the open write of [message] creates. An absent row, or no answer, leaves the outcome open. */
    private fun settle(
        message: RowKey,
        row: RowKey,
        onAnswer: (CallerAnswer) -> Unit,
    ) = tables.read(row) { result ->
        if (result is ReadResult.Rows && result.rows.isNotEmpty()) {
            openRequests.onSettled(message)
            onAnswer(CallerAnswer.Applied)
        } else {
            onAnswer(CallerAnswer.Uncertain(STILL_OPEN))
        }
    }

    private fun answerTo(result: ChangeResult): CallerAnswer =
        when (result) {
            is ChangeResult.Committed, is ChangeResult.Conflict -> CallerAnswer.Applied
            is ChangeResult.Failed ->
                if (result.mayHaveApplied) {
                    CallerAnswer.Uncertain(result.reason)
                } else {
                    CallerAnswer.NotApplied(result.reason, RETRY_AFTER_MS, result.refusal)
                }
        }

    /** Reads the state of job [id], together with other queries of the same time; a job of another queue than [queueName] or outside [access] is not found. */
    public fun state(
        id: String,
        queueName: String,
        access: JobAccess,
        onAnswer: (CallerAnswer) -> Unit,
    ): Unit =
        sharedReads.read(RowKey(Table.JOBS, id), onAnswer) { job ->
            val submission = job?.let { decodeStored(JobSubmission.serializer(), it.value) }
            when {
                job == null -> onAnswer(CallerAnswer.NotFound)
                submission == null -> onAnswer(UNREADABLE)
                submission.queue.name != queueName || !access.permits(submission.account) -> onAnswer(CallerAnswer.NotFound)
                else -> readProgress(id, onAnswer)
            }
        }

    private fun readProgress(
        id: String,
        onAnswer: (CallerAnswer) -> Unit,
    ) = sharedReads.read(RowKey(Table.PROGRESS, id), onAnswer) { row ->
        val progress = row?.let { decodeStored(JobProgress.serializer(), it.value) }
        onAnswer(if (row != null && progress == null) UNREADABLE else CallerAnswer.State(progress?.state ?: JobState.QUEUED))
    }

    /**
     * Stores an inbox message that job [id] is to be cancelled. A job that is not stored, or outside [access], is not found; its submission
     * may be in an open write of any entry, and the message cancels it when it becomes known, if it is within [access].
     */
    public fun cancel(
        id: String,
        access: JobAccess,
        onAnswer: (CallerAnswer) -> Unit,
    ): Unit =
        read(Table.JOBS, id, onAnswer) { job ->
            val submission = job?.let { decodeStored(JobSubmission.serializer(), it.value) }
            when {
                job != null && submission == null -> onAnswer(UNREADABLE)
                submission?.let { access.permits(it.account) } == true -> store(InboxMessage(id, isCancel = true), onAnswer)
                else -> cancelInAdvance(InboxMessage(id, isCancel = true, access), onAnswer)
            }
        }

    private fun cancelInAdvance(
        message: InboxMessage,
        onAnswer: (CallerAnswer) -> Unit,
    ) {
        if (!unknownCancelQuota.take()) {
            onAnswer(CallerAnswer.NotApplied(UnknownCancelQuota.EXCEEDED, RETRY_AFTER_MS))
            return
        }
        store(message) { onAnswer(if (it is CallerAnswer.Applied) CallerAnswer.NotFound else it) }
    }

    /** Stores the cancellation [message], unless a write of it is open. */
    private fun store(
        message: InboxMessage,
        onAnswer: (CallerAnswer) -> Unit,
    ) = when {
        openRequests.join(message.key, onAnswer) -> Unit
        openRequests.isOpen(message.key) -> settle(message.key, message.key, onAnswer)
        else -> writeOnce(message.key, RowChange(puts = mapOf(message.key to message.value)), onAnswer)
    }

    /** The messages by which a call with [access] may cancel the job [id]. */
    private fun cancellationsOf(
        id: String,
        access: JobAccess,
    ): List<InboxMessage> = listOf(JobAccess.ALL, access).map { InboxMessage(id, isCancel = true, it) }

    /** Passes the row to [onRow], null when there is none; answers [onAnswer] when the store cannot be read. */
    private fun read(
        table: Table,
        id: String,
        onAnswer: (CallerAnswer) -> Unit,
        onRow: (StoredRow?) -> Unit,
    ) = tables.read(RowKey(table, id)) { pass(it, onAnswer, onRow) }

    /** A job may be accepted at any time; one without progress is queued. */
    private fun SharedReads.read(
        key: RowKey,
        onAnswer: (CallerAnswer) -> Unit,
        onRow: (StoredRow?) -> Unit,
    ) = read(key, sharesAbsence = key.table != Table.JOBS) { pass(it, onAnswer, onRow) }

    private fun pass(
        result: ReadResult,
        onAnswer: (CallerAnswer) -> Unit,
        onRow: (StoredRow?) -> Unit,
    ) = when (result) {
        is ReadResult.Rows -> onRow(result.rows.firstOrNull())
        is ReadResult.Failed ->
            onAnswer(CallerAnswer.NotApplied("the store cannot be read; retry later", RETRY_AFTER_MS, result.refusal))
    }

    private companion object {
        /** The job exists, in a form that a later version has stored. */
        val UNREADABLE = CallerAnswer.NotApplied("this version cannot read the stored job; retry at another entry", RETRY_AFTER_MS)

        const val STILL_OPEN = "an earlier write without an answer may still be applied"

        /** Within this time a request that cannot be served is refused; a read usually takes 4 ms. */
        const val READ_WAIT_MS = 150L

        /** Retry delay for a job that the store cannot hold: sent again as it is, it is refused again. */
        const val UNSTORABLE_RETRY_MS = 60_000L

        /** Retry delay for callers; outages of the store and takeovers last some seconds. */
        const val RETRY_AFTER_MS = 1_000L
    }
}
