/*
 * Answers callers at any entry: through the scheduler while it can be reached, otherwise from the store. Submissions are
 * idempotent by the job's id, so one whose reply was lost is retried against the store without creating a second job.
 */
package io.corianderrock.jobs.entry

import io.corianderrock.jobs.accounts.JobAccess
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.StoreRefusal
import io.corianderrock.jobs.state.JobSubmission

/** A request to the scheduler. */
public sealed interface JobRequest {
    /** Stores a job and schedules it. */
    public data class Submit(
        val submission: JobSubmission,
    ) : JobRequest

    /** Asks for the state of job [id], which must belong to the queue [queueName] and be within [access]. */
    public data class State(
        val id: String,
        val queueName: String,
        val access: JobAccess = JobAccess.ALL,
    ) : JobRequest

    /** Cancels job [id], which must be within [access]. */
    public data class Cancel(
        val id: String,
        val queueName: String,
        val access: JobAccess = JobAccess.ALL,
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
        /** True when the process that was asked is not the owner, or when none could be asked as no owner is known yet. */
        val isNotOwner: Boolean = false,
        /** How often the owner has now left this job to other entries; null if it does not know. */
        val attempt: Int? = null,
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

/** What an entry can reach at present. */
public interface EntryReach {
    /** True while the store does not answer this entry. */
    public val isStoreLost: Boolean

    /** True while the store answers this entry, but takes many times as long as usual. */
    public val isStoreSlow: Boolean

    /** True while neither the store nor the owner nor a peer of another data centre answers this entry. */
    public val isCutOff: Boolean

    /** How long the store has not answered this entry, in milliseconds; 0 while it does. */
    public val storeSilentMs: Long get() = 0
}

/**
 * Routes the requests of this entry's callers to [scheduler], and to [store] when the scheduler gives no answer. While neither
 * can be reached, a request of which nothing was sent is refused at once, so that the caller can try another entry; one that
 * may have been carried out is asked again until its outcome is known, since all requests are idempotent by the job's id.
 *
 * While the store is slow, no job is stored around the scheduler, which stores many in one transaction: one for each job, from
 * all entries, would leave the scheduler no share of the few transactions that the store still carries.
 */
public class JobRequestRouter(
    private val loop: EventLoop,
    private val scheduler: SchedulerClient,
    private val store: StoredJobService,
    private val reach: EntryReach,
    private val advice: RetryAdvice = RetryAdvice(loop),
    /** True while an owner that does not answer is bypassed: the setting is on and this entry is not the owner itself. */
    private val mayBypassOwner: () -> Boolean = { false },
    private val log: DecisionLog,
) {
    private val silence = OwnerSilence(loop)

    /** Why a job can never be accepted although it is valid: the store cannot hold it. Null if it can; may be called from any thread. */
    public fun unstorableReason(submission: JobSubmission): String? = store.unstorableReason(submission)

    /** Answers [request]; [onAnswer] is called once, on the event loop. */
    public fun handle(
        request: JobRequest,
        onAnswer: (CallerAnswer) -> Unit,
    ) {
        val attempt = Attempt(request, onAnswer)
        if (reach.isCutOff) attempt.refuse(UNREACHABLE, "cut off") else attempt.begin()
    }

    private inner class Attempt(
        private val request: JobRequest,
        private val onAnswer: (CallerAnswer) -> Unit,
    ) {
        private val startedAtMs = loop.nowMs

        /** True once the request may have been carried out without this entry knowing. */
        private var isUncertain = false

        /** Which attempt of its caller this is by the owner's count of refusals, null if that is not known. */
        private var attemptNumber: Int? = null

        private val isWrite = request is JobRequest.Submit || request is JobRequest.Cancel

        /** Writes to the store that were sent beside the request to the owner and are open. */
        private var openBypassCount = 0
        private var isFinished = false
        private val backoff by lazy(LazyThreadSafetyMode.NONE) { advice.newBackoff() }

        /** True while a refusal would not prove that nothing is carried out. */
        private val isOutcomeOpen: Boolean get() = isUncertain || openBypassCount > 0 || store.mayStillApply(request)

        /** A job that is not sent to a silent owner can be refused truthfully, or is stored without waiting for a timeout. */
        fun begin() {
            if (isWrite && mayBypassOwner() && silence.isSilent) askStore(OWNER_SILENT) else askScheduler()
        }

        private fun askScheduler() {
            var isReplied = false
            val sentAtMs = silence.onSent()
            scheduler.ask(request) { reply ->
                isReplied = true
                if (reply !is SchedulerReply.Unanswered) silence.onReply(sentAtMs, isAnswer = reply is SchedulerReply.Answer)
                if (!isFinished) onReply(reply)
            }
            if (isReplied || !mayBypassOwner()) return
            val isWaiting = { !isReplied && !isFinished }
            if (isWrite) {
                unlessOwnerReplies(SILENT_WRITE_MS, isWaiting, ::askStoreBesideOwner)
            } else {
                unlessOwnerReplies(SILENT_QUERY_MS, isWaiting, ::askStoreBesideOwner)
                unlessOwnerReplies(QUERY_WAIT_MS, isWaiting) { refuse(NO_SCHEDULER, OWNER_SILENT) }
            }
        }

        /** Runs [action] while [isWaiting], once the owner has replied to no request of this entry for [delayMs]. */
        private fun unlessOwnerReplies(
            delayMs: Long,
            isWaiting: () -> Boolean,
            action: () -> Unit,
        ) {
            val sinceMs = loop.nowMs
            loop.after(delayMs) {
                when {
                    !isWaiting() -> Unit
                    silence.hasRepliedSince(sinceMs) -> unlessOwnerReplies(delayMs, isWaiting, action)
                    else -> action()
                }
            }
        }

        private fun onReply(reply: SchedulerReply) =
            when (reply) {
                is SchedulerReply.Answer -> {
                    store.onTold(idOf(request))
                    answer(settled(reply.answer))
                }
                is SchedulerReply.NotHandled -> {
                    attemptNumber = reply.attempt
                    val mayFindOwner = reply.isNotOwner && loop.nowMs - startedAtMs < HANDOVER_WAIT_MS
                    if (mayFindOwner) loop.after(HANDOVER_RETRY_MS) { if (!isFinished) askScheduler() } else askStore(reply.reason)
                }
                is SchedulerReply.Unanswered -> {
                    isUncertain = isUncertain || isWrite
                    askStore(reply.reason)
                }
            }

        /**
         * Called when the owner has replied to nothing since this request was sent. Only an answer of the store that settles the
         * request ends it; otherwise the owner's reply is still awaited.
         */
        private fun askStoreBesideOwner() {
            if (request is JobRequest.Pending || reach.isStoreLost || isWrite && reach.isStoreSlow || !mayBypassOwner()) return
            if (isWrite) openBypassCount++
            store.answer(request, ::onBypassAnswer)
        }

        private fun onBypassAnswer(fromStore: CallerAnswer) {
            if (isWrite) openBypassCount--
            when (fromStore) {
                is CallerAnswer.NotApplied -> Unit
                is CallerAnswer.Uncertain -> isUncertain = true
                else -> if (!isFinished) answerFromStore(fromStore, OWNER_SILENT)
            }
        }

        private fun askStore(reason: String) {
            when {
                request is JobRequest.Pending -> refuse(NO_SCHEDULER, reason)
                reach.isStoreLost -> retryOrRefuse(reason)
                reach.isStoreSlow && request is JobRequest.Submit -> retryWhileTimeRemains(reason)
                else -> store.answer(request) { onStoreAnswer(reason, it) }
            }
        }

        private fun onStoreAnswer(
            reason: String,
            fromStore: CallerAnswer,
        ) {
            if (fromStore is CallerAnswer.Uncertain) isUncertain = true
            val isOpen = fromStore is CallerAnswer.Uncertain || isOutcomeOpen && fromStore is CallerAnswer.NotApplied
            when {
                isFinished -> return
                isOpen -> retryOrRefuse(reason)
                fromStore is CallerAnswer.NotApplied -> refuse(fromStore.reason, reason, fromStore.refusal)
                else -> answerFromStore(fromStore, reason)
            }
        }

        private fun answerFromStore(
            fromStore: CallerAnswer,
            reason: String,
        ) {
            log.write("answered_from_store", "request", idOf(request), "reason", reason, "answer", fromStore)
            if (isWrite) store.onTold(idOf(request))
            answer(fromStore)
        }

        private fun retryOrRefuse(reason: String) {
            if (isOutcomeOpen) retryWhileTimeRemains(reason) else refuse(UNREACHABLE, reason)
        }

        private fun retryWhileTimeRemains(reason: String) {
            val leftMs = startedAtMs + RESOLVE_MS - loop.nowMs
            when {
                leftMs > 0 -> loop.after(minOf(leftMs, backoff.nextDelayMs())) { if (!isFinished) askScheduler() }
                isOutcomeOpen -> finish(CallerAnswer.Uncertain(reason), reason)
                else -> refuse("the scheduler cannot be reached and the store is slow; retry later", reason)
            }
        }

        fun refuse(
            text: String,
            reason: String,
            refusal: StoreRefusal? = null,
        ) = finish(settled(CallerAnswer.NotApplied(text, maxOf(retryAfterMs(), advice.retryAfterMs(refusal)), refusal)), reason)

        private fun retryAfterMs(): Long {
            if (request !is JobRequest.Submit) return RETRY_QUERY_MS
            // A job that this entry has refused before is known to come again; others may come from another entry.
            val known = attemptNumber ?: advice.countRefusal(request.submission.id).takeIf { it > 1 }
            return advice.retryAfterMs(known, reach.storeSilentMs)
        }

        private fun finish(
            answer: CallerAnswer,
            reason: String,
        ) {
            if (request is JobRequest.Submit && answer is CallerAnswer.NotApplied) {
                log.write(
                    "job_refused",
                    "job",
                    request.submission.id,
                    "account",
                    request.submission.account,
                    "reason",
                    reason,
                    "retryAfterMs",
                    answer.retryAfterMs,
                )
            } else {
                log.write("request_unserved", "request", idOf(request), "reason", reason, "answer", answer)
            }
            answer(answer)
        }

        private fun answer(answer: CallerAnswer) {
            isFinished = true
            onAnswer(answer)
        }

        /** A refusal after an attempt whose outcome is open does not prove that the request was not carried out. */
        private fun settled(answer: CallerAnswer): CallerAnswer =
            if (isOutcomeOpen && answer is CallerAnswer.NotApplied) CallerAnswer.Uncertain(answer.reason) else answer
    }

    private fun idOf(request: JobRequest): String =
        when (request) {
            is JobRequest.Submit -> request.submission.id
            is JobRequest.State -> request.id
            is JobRequest.Cancel -> request.id
            is JobRequest.Pending -> request.queueName
        }

    private companion object {
        const val UNREACHABLE = "this entry reaches neither the scheduler nor the store; retry, at another entry if possible"

        const val OWNER_SILENT = "the owner does not answer"

        /** Told by a former owner that it is none, an entry reads the owner row, which takes some milliseconds. */
        const val HANDOVER_RETRY_MS = 40L

        /** For this long a request is sent again when it has reached an entry that is no longer the owner. */
        const val HANDOVER_WAIT_MS = 100L

        const val NO_SCHEDULER = "the scheduler cannot be reached; retry later"

        /** Wait for the owner after which a state is looked up in the store, which takes 4 ms. */
        const val SILENT_QUERY_MS = 100L

        /** A query that nobody has answered by then is refused. */
        const val QUERY_WAIT_MS = 150L

        /**
         * A job or cancellation waits this long for the owner. The owner reads what was stored around it once a second, so a job is
         * served sooner by an owner that is merely slow.
         */
        const val SILENT_WRITE_MS = 250L

        /** Retry delay for queries and cancellations, about the duration of a takeover. */
        const val RETRY_QUERY_MS = 1_000L

        /** How long an open outcome is looked for; callers wait 3 s. */
        const val RESOLVE_MS = 2_700L
    }
}
