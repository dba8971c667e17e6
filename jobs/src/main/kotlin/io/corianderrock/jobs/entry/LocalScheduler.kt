/*
 * Asks the scheduler of this process.
 */
package io.corianderrock.jobs.entry

import io.corianderrock.jobs.runs.Scheduler
import io.corianderrock.jobs.runs.SubmitResult

/** Turns the methods of [Scheduler] into replies; [scheduler] returns null while this entry is not the owner. */
public class LocalScheduler(
    private val scheduler: () -> Scheduler?,
) : SchedulerRoute {
    override fun ask(
        request: JobRequest,
        onReply: (SchedulerReply) -> Unit,
    ) {
        val present = scheduler()
        if (present == null) {
            onReply(NOT_OWNER)
            return
        }
        when (request) {
            is JobRequest.Submit -> present.submit(request.submission) { onReply(replyTo(it)) }
            is JobRequest.State -> onReply(state(present, request))
            is JobRequest.Cancel -> present.cancel(request.id) { onReply(replyToCancel(it)) }
            is JobRequest.Pending -> onReply(present.pending(request.queueName)?.let { answer(CallerAnswer.Pending(it)) } ?: NOT_OWNER)
        }
    }

    private fun replyTo(result: SubmitResult): SchedulerReply =
        when (result) {
            is SubmitResult.Accepted -> answer(CallerAnswer.Done)
            is SubmitResult.Rejected -> answer(CallerAnswer.NotDone(result.reason, result.retryAfterMs))
            is SubmitResult.Unavailable -> NOT_OWNER
        }

    private fun replyToCancel(isKnown: Boolean?): SchedulerReply =
        when (isKnown) {
            true -> answer(CallerAnswer.Done)
            // A job that another entry has just stored is not known yet: the store decides.
            false, null -> NOT_OWNER
        }

    private fun state(
        scheduler: Scheduler,
        request: JobRequest.State,
    ): SchedulerReply {
        val found = scheduler.state(request.id)
        val state = found.state
        return when {
            !found.isAvailable || state == null -> NOT_OWNER
            found.queueName != request.queueName -> answer(CallerAnswer.Unknown)
            else -> answer(CallerAnswer.State(state))
        }
    }

    private fun answer(answer: CallerAnswer): SchedulerReply = SchedulerReply.Answer(answer)

    private companion object {
        val NOT_OWNER = SchedulerReply.NotTaken("not the owner, or not loaded, or not known here", isProcessGone = false)
    }
}
