/*
 * Answers callers at any entry: by the scheduler where it can be reached, else from the store. Submissions are keyed by
 * the job's id, so an attempt whose answer was lost may be repeated against the store without a second job.
 */
package io.corianderrock.jobs.entry

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.state.JobSubmission

/** A question to the scheduler. */
public sealed interface JobRequest {
    /** Stores and schedules a job. */
    public data class Submit(
        val submission: JobSubmission,
    ) : JobRequest

    /** Asks for the state of a job of the queue [queueName]. */
    public data class State(
        val id: String,
        val queueName: String,
    ) : JobRequest

    /** Cancels a job. */
    public data class Cancel(
        val id: String,
        val queueName: String,
    ) : JobRequest

    /** Asks how many jobs of a queue have not begun. */
    public data class Pending(
        val queueName: String,
    ) : JobRequest
}

/** What came of a question to the scheduler. */
public sealed interface SchedulerReply {
    /** An answer for the caller. */
    public data class Answer(
        val answer: CallerAnswer,
    ) : SchedulerReply

    /** The scheduler did not take the question; nothing was done. */
    public data class NotTaken(
        val reason: String,
        /** Nothing listens at the address of the owner. */
        val isProcessGone: Boolean = false,
        /** The process there does not own the scheduling any more. */
        val isOwnerGone: Boolean = false,
    ) : SchedulerReply

    /** No answer; the question may have been carried out. */
    public data class Lost(
        val reason: String,
    ) : SchedulerReply
}

/** Reaches the scheduler, in this process or at a peer. */
public fun interface SchedulerRoute {
    /** Asks [request]; [onReply] is called once, on the event loop. */
    public fun ask(
        request: JobRequest,
        onReply: (SchedulerReply) -> Unit,
    )
}

/** Decides how callers of this entry are answered. */
public class JobRequestRouter(
    private val scheduler: SchedulerRoute,
    private val store: StoredJobReader,
    private val log: DecisionLog,
) {
    /** Answers [request]; [onAnswer] is called once, on the event loop. */
    public fun handle(
        request: JobRequest,
        onAnswer: (CallerAnswer) -> Unit,
    ) {
        scheduler.ask(request) { reply ->
            when (reply) {
                is SchedulerReply.Answer -> onAnswer(reply.answer)
                is SchedulerReply.NotTaken -> fallBack(request, reply.reason, isUncertain = false, onAnswer)
                is SchedulerReply.Lost -> fallBack(request, reply.reason, isUncertain = request is JobRequest.Submit, onAnswer)
            }
        }
    }

    private fun fallBack(
        request: JobRequest,
        reason: String,
        isUncertain: Boolean,
        onAnswer: (CallerAnswer) -> Unit,
    ) {
        val answer: (CallerAnswer) -> Unit = { fromStore ->
            val final = if (isUncertain && fromStore is CallerAnswer.NotDone) CallerAnswer.Uncertain(fromStore.reason) else fromStore
            log.write("answered_from_store", "request", idOf(request), "because", reason, "answer", final)
            onAnswer(final)
        }
        when (request) {
            is JobRequest.Submit -> store.submit(request.submission, answer)
            is JobRequest.State -> store.state(request.id, request.queueName, answer)
            is JobRequest.Cancel -> store.cancel(request.id, answer)
            is JobRequest.Pending -> answer(CallerAnswer.NotDone("the scheduler cannot be reached", PENDING_RETRY_MS))
        }
    }

    private fun idOf(request: JobRequest): String =
        when (request) {
            is JobRequest.Submit -> request.submission.id
            is JobRequest.State -> request.id
            is JobRequest.Cancel -> request.id
            is JobRequest.Pending -> request.queueName
        }

    private companion object {
        /** A takeover takes about this long. */
        const val PENDING_RETRY_MS = 1_000L
    }
}
