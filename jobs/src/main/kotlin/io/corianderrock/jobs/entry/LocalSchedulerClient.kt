/*
 * Sends requests to the scheduler of this process.
 */
package io.corianderrock.jobs.entry

import io.corianderrock.jobs.runs.CancelResult
import io.corianderrock.jobs.runs.Scheduler
import io.corianderrock.jobs.runs.SubmitResult

/** Calls the [Scheduler] that [scheduler] returns, which is null while this entry is not the owner. Runs on the event loop. */
public class LocalSchedulerClient(
    private val advice: RetryAdvice? = null,
    private val scheduler: () -> Scheduler?,
) : SchedulerClient {
    override fun ask(
        request: JobRequest,
        onReply: (SchedulerReply) -> Unit,
    ) {
        val current = scheduler()
        if (current == null) {
            onReply(SchedulerReply.NotHandled("this entry is not the owner", isNotOwner = true))
            return
        }
        when (request) {
            is JobRequest.Submit -> current.submit(request.submission) { onReply(replyTo(it, request.submission.id)) }
            is JobRequest.State -> onReply(state(current, request))
            is JobRequest.Cancel -> current.cancel(request.id, request.access) { onReply(replyToCancel(it, current)) }
            is JobRequest.Pending -> onReply(current.pending(request.queueName)?.let { answer(CallerAnswer.Pending(it)) } ?: NOT_HANDLED)
        }
    }

    private fun replyTo(
        result: SubmitResult,
        id: String,
    ): SchedulerReply =
        when (result) {
            is SubmitResult.Accepted -> answer(CallerAnswer.Applied)
            is SubmitResult.Rejected -> answer(CallerAnswer.NotApplied(result.reason, result.retryAfterMs))
            is SubmitResult.Unavailable -> NOT_HANDLED.copy(attempt = advice?.countRefusal(id))
            is SubmitResult.Unknown -> SchedulerReply.Unanswered("the ownership ended while the job was being stored")
        }

    private fun replyToCancel(
        result: CancelResult,
        scheduler: Scheduler,
    ): SchedulerReply =
        when (result) {
            CancelResult.STORED -> answer(CallerAnswer.Applied)
            CancelResult.NOT_KNOWN -> answer(CallerAnswer.NotFound)
            CancelResult.TOO_MANY -> answer(tooManyUnknown(scheduler))
            CancelResult.UNAVAILABLE -> NOT_HANDLED
            CancelResult.UNKNOWN -> SchedulerReply.Unanswered("the ownership ended while the cancellation was being stored")
        }

    private fun state(
        scheduler: Scheduler,
        request: JobRequest.State,
    ): SchedulerReply {
        val found = scheduler.state(request.id)
        val state = found.state
        return when {
            !found.isAvailable || state == null -> NOT_HANDLED
            found.queueName != request.queueName || !request.access.permits(found.account) -> answer(CallerAnswer.NotFound)
            else -> answer(CallerAnswer.State(state))
        }
    }

    private fun tooManyUnknown(scheduler: Scheduler): CallerAnswer =
        CallerAnswer.NotApplied(UnknownCancelQuota.EXCEEDED, maxOf(MIN_RETRY_MS, scheduler.cancellationRoomInMs))

    private fun answer(answer: CallerAnswer): SchedulerReply = SchedulerReply.Answer(answer)

    private companion object {
        const val MIN_RETRY_MS = 1_000L
        val NOT_HANDLED = SchedulerReply.NotHandled("the scheduler has not loaded the jobs, cannot write or cannot read this job")
    }
}
