/*
 * Serves callers from the store while the scheduler cannot be reached: acceptance, states and cancellations go on, and
 * the scheduler learns of them through the inbox.
 */
package io.corianderrock.jobs.entry

import io.corianderrock.jobs.ports.ChangeResult
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.ReadResult
import io.corianderrock.jobs.ports.RowChange
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoredRow
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.runs.InboxMessage
import io.corianderrock.jobs.runs.decodeStored
import io.corianderrock.jobs.runs.storedJson
import io.corianderrock.jobs.state.JobProgress
import io.corianderrock.jobs.state.JobState
import io.corianderrock.jobs.state.JobSubmission

/** What an entry answers a caller. */
public sealed interface CallerAnswer {
    /** Accepted, or cancelled. */
    public data object Done : CallerAnswer

    /** The present state of a job. */
    public data class State(
        val state: JobState,
    ) : CallerAnswer

    /** The number of jobs of a queue that have not begun. */
    public data class Pending(
        val count: Int,
    ) : CallerAnswer

    /** No such job. */
    public data object Unknown : CallerAnswer

    /** Not done, and it will not be; worth another try after [retryAfterMs]. */
    public data class NotDone(
        val reason: String,
        val retryAfterMs: Long,
    ) : CallerAnswer

    /** It may have been done. */
    public data class Uncertain(
        val reason: String,
    ) : CallerAnswer
}

/** Answers callers out of [tables]. Results are delivered on the event loop. */
public class StoredJobReader(
    private val tables: JobTables,
) {
    /** Stores [submission] with a note to the scheduler. */
    public fun submit(
        submission: JobSubmission,
        onAnswer: (CallerAnswer) -> Unit,
    ) {
        val key = RowKey(Table.JOBS, submission.id)
        val change =
            RowChange(
                expected = mapOf(key to 0L),
                puts =
                    mapOf(
                        key to storedJson.encodeToString(JobSubmission.serializer(), submission),
                        InboxMessage(submission.id, isCancel = false).key to NOTE,
                    ),
            )
        tables.commit(change) { onAnswer(answerTo(it)) }
    }

    private fun answerTo(result: ChangeResult): CallerAnswer =
        when (result) {
            is ChangeResult.Committed, is ChangeResult.Conflict -> CallerAnswer.Done
            is ChangeResult.Failed ->
                if (result.mayHaveApplied) {
                    CallerAnswer.Uncertain(result.reason)
                } else {
                    CallerAnswer.NotDone(result.reason, RETRY_AFTER_MS)
                }
        }

    /** Reads the state of job [id] of the queue [queueName]. */
    public fun state(
        id: String,
        queueName: String,
        onAnswer: (CallerAnswer) -> Unit,
    ): Unit =
        read(Table.JOBS, id, onAnswer) { job ->
            val submission = job?.let { decodeStored(JobSubmission.serializer(), it.value) }
            if (submission == null || submission.queue.name != queueName) onAnswer(CallerAnswer.Unknown) else readProgress(id, onAnswer)
        }

    private fun readProgress(
        id: String,
        onAnswer: (CallerAnswer) -> Unit,
    ) = read(Table.PROGRESS, id, onAnswer) { row ->
        val progress = row?.let { decodeStored(JobProgress.serializer(), it.value) }
        onAnswer(CallerAnswer.State(progress?.state ?: JobState.QUEUED))
    }

    /** Stores a note that job [id] is cancelled. */
    public fun cancel(
        id: String,
        onAnswer: (CallerAnswer) -> Unit,
    ): Unit =
        read(Table.JOBS, id, onAnswer) { job ->
            if (job == null) {
                onAnswer(CallerAnswer.Unknown)
            } else {
                tables.commit(RowChange(puts = mapOf(InboxMessage(id, isCancel = true).key to NOTE))) { onAnswer(answerTo(it)) }
            }
        }

    /** Hands the row over, null when there is none; answers itself when the store cannot be read. */
    private fun read(
        table: Table,
        id: String,
        onAnswer: (CallerAnswer) -> Unit,
        onRow: (StoredRow?) -> Unit,
    ) = tables.read(RowKey(table, id)) { result ->
        when (result) {
            is ReadResult.Rows -> onRow(result.rows.firstOrNull())
            is ReadResult.Failed -> onAnswer(CallerAnswer.NotDone("the store cannot be read", RETRY_AFTER_MS))
        }
    }

    private companion object {
        /** Value of inbox rows, which tell by their keys. */
        const val NOTE = "1"

        /** A store outage or a takeover lasts some seconds. */
        const val RETRY_AFTER_MS = 1_000L
    }
}
