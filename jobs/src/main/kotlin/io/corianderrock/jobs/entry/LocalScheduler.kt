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
            onReply(SchedulerReply.NotTaken("not the owner", isOwnerGone = true))
            return
        }
        when (request) {
            is JobRequest.Submit -> present.submit(request.submission) { onReply(replyTo(it)) }
            is JobRequest.State -> onReply(state(present, request))
            is JobRequest.Cancel -> present.cancel(request.id) { onReply(replyToCancel(it)) }
            is JobRequest.Pending -> onReply(present.pending(request.queueName)?.let { answer(CallerAnswer.Pending(it)) } ?: NOT_TAKEN)
        }
    }

    private fun replyTo(result: SubmitResult): SchedulerReply =
        when (result) {
            is SubmitResult.Accepted -> answer(CallerAnswer.Done)
            is SubmitResult.Rejected -> answer(CallerAnswer.NotDone(result.reason, result.retryAfterMs))
            is SubmitResult.Unavailable -> NOT_TAKEN
        }

    private fun replyToCancel(isKnown: Boolean?): SchedulerReply =
        when (isKnown) {
            true -> answer(CallerAnswer.Done)
            // A job that another entry has just stored is not known yet: the store decides.
            false, null -> NOT_TAKEN
        }

    private fun state(
        scheduler: Scheduler,
        request: JobRequest.State,
    ): SchedulerReply {
        val found = scheduler.state(request.id)
        val state = found.state
        return when {
            !found.isAvailable || state == null -> NOT_TAKEN
            found.queueName != request.queueName -> answer(CallerAnswer.Unknown)
            else -> answer(CallerAnswer.State(state))
        }
    }

    private fun answer(answer: CallerAnswer): SchedulerReply = SchedulerReply.Answer(answer)

    private companion object {
        val NOT_TAKEN = SchedulerReply.NotTaken("not loaded yet, or not known here")
    }
}
