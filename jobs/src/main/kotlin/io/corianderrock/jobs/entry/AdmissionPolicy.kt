/*
 * Decides whether a job is accepted.
 */
package io.corianderrock.jobs.entry

import io.corianderrock.jobs.state.JobSubmission

/** Why a job is not accepted: [reason] names the cause and the remedy, [retryAfterMs] when a new attempt may succeed. */
public data class Refusal(
    val reason: String,
    val retryAfterMs: Long,
)

/** A rule by which the owner refuses jobs. */
public fun interface AdmissionPolicy {
    /** Returns why [submission], which is not stored, is refused now; null if this policy has no objection. */
    public fun refusalOf(submission: JobSubmission): Refusal?
}
