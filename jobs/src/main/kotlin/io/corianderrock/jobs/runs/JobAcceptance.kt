/*
 * How the owner accepts jobs: a job that is not known is refused if the store cannot hold it or a policy does not admit it, and stored
 * otherwise.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.entry.AdmissionPolicy
import io.corianderrock.jobs.entry.Refusal
import io.corianderrock.jobs.ports.StoreLimits
import io.corianderrock.jobs.state.JobSubmission

/** Accepts jobs into [registry] while its owner can write. Used on the event loop only. */
internal class JobAcceptance(
    private val registry: JobRegistry,
    private val inbox: JobInbox,
    private val policies: List<AdmissionPolicy>,
    private val limits: StoreLimits,
) {
    /** Stores [submission]; [onResult] is called once that is known, or at once if the job is refused. */
    fun submit(
        submission: JobSubmission,
        onResult: (SubmitResult) -> Unit,
    ) {
        if (registry.isOnlyStored(submission.id)) {
            onResult(SubmitResult.Accepted)
            return
        }
        val isKnown = registry.find(submission.id) != null
        val refusal = if (isKnown) null else refusalOf(submission)
        if (refusal != null) {
            refuseIfAbsent(submission.id, refusal, onResult)
            return
        }
        registry.submit(
            submission,
            onDropped = { onResult(SubmitResult.Unknown) },
            onWithdrawn = { onResult(SubmitResult.Unavailable) },
            onRefused = { onResult(SubmitResult.Rejected("the store does not accept the job: ${it.reason}", UNSTORABLE_RETRY_MS)) },
        ) { onResult(SubmitResult.Accepted) }
    }

    private fun refusalOf(submission: JobSubmission): Refusal? =
        unstorableReason(submission, limits)?.let { Refusal(it, UNSTORABLE_RETRY_MS) }
            ?: policies.firstNotNullOfOrNull { it.refusalOf(submission) }

    /** Another entry may have stored the job since the inbox was last read, so that a refusal would not be true. */
    private fun refuseIfAbsent(
        id: String,
        refusal: Refusal,
        onResult: (SubmitResult) -> Unit,
    ) = inbox.find(id) { found ->
        onResult(
            when (found) {
                is JobInbox.Lookup.Found, is JobInbox.Lookup.Unreadable -> SubmitResult.Accepted
                is JobInbox.Lookup.Absent -> SubmitResult.Rejected(refusal.reason, refusal.retryAfterMs)
                is JobInbox.Lookup.Unknown -> SubmitResult.Unavailable
            },
        )
    }

    private companion object {
        /** Retry delay for a job that the store does not accept: sent again as it is, it is refused again. */
        const val UNSTORABLE_RETRY_MS = 60_000L
    }
}
