/*
 * Answers callers at any entry: through the scheduler while it can be reached, otherwise from the store. Submissions are
 * idempotent by the job's id, so one whose reply was lost is retried against the store without creating a second job.
 */
package io.corianderrock.jobs.entry

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.state.JobSubmission

/** A request to the scheduler. */
public sealed interface JobRequest {
    /** Stores a job and schedules it. */
    public data class Submit(
        val submission: JobSubmission,
    ) : JobRequest

    /** Asks for the state of job [id], which must belong to the queue [queueName]. */
    public data class State(
        val id: String,
        val queueName: String,
    ) : JobRequest

    /** Cancels job [id]. */
    public data class Cancel(
        val id: String,
        val queueName: String,
    ) : JobRequest

    /** Asks how many jobs of the queue [queueName] have not started. */
    public data class Pending(
        val queueName: String,
    ) : JobRequest
}

/** The outcome of a request to the scheduler. */
public sealed interface SchedulerReply {
    /** The scheduler handled the request. */
    public data class Answer(
        val answer: CallerAnswer,
    ) : SchedulerReply

    /** The scheduler did not handle the request; nothing was done. */
    public data class NotHandled(
        val reason: String,
        /** True when the owner's address refuses connections. */
        val isConnectionRefused: Boolean = false,
        /** True when the process that was asked is not the owner. */
        val isNotOwner: Boolean = false,
    ) : SchedulerReply

    /** No usable reply; the request may have been carried out. */
    public data class Unanswered(
        val reason: String,
    ) : SchedulerReply
}

/** Sends requests to the scheduler, in this process or at a peer. */
public fun interface SchedulerClient {
    /** Sends [request]; [onReply] is called once, on the event loop. */
    public fun ask(
        request: JobRequest,
        onReply: (SchedulerReply) -> Unit,
    )
}

/** Routes the requests of this entry's callers to [scheduler], and to [store] when the scheduler gives no answer. */
public class JobRequestRouter(
    private val scheduler: SchedulerClient,
    private val store: StoredJobService,
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
                is SchedulerReply.NotHandled -> answerFromStore(request, reply.reason, isUncertain = false, onAnswer)
                is SchedulerReply.Unanswered -> answerFromStore(request, reply.reason, isUncertain = request is JobRequest.Submit, onAnswer)
            }
        }
    }

    private fun answerFromStore(
        request: JobRequest,
        reason: String,
        isUncertain: Boolean,
        onAnswer: (CallerAnswer) -> Unit,
    ) {
        val answer: (CallerAnswer) -> Unit = { fromStore ->
            val final = if (isUncertain && fromStore is CallerAnswer.NotApplied) CallerAnswer.Uncertain(fromStore.reason) else fromStore
            log.write("answered_from_store", "request", idOf(request), "reason", reason, "answer", final)
            onAnswer(final)
        }
        when (request) {
            is JobRequest.Submit -> store.submit(request.submission, answer)
            is JobRequest.State -> store.state(request.id, request.queueName, answer)
            is JobRequest.Cancel -> store.cancel(request.id, answer)
            is JobRequest.Pending -> answer(CallerAnswer.NotApplied("the scheduler cannot be reached; retry later", PENDING_RETRY_MS))
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
        /** Retry delay for callers, about the duration of a takeover. */
        const val PENDING_RETRY_MS = 1_000L
    }
}
