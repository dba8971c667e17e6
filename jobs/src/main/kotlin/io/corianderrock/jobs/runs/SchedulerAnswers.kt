/*
 * Answers of a scheduler to callers' requests.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.state.JobState

/** Result of a job submission. */
public sealed interface SubmitResult {
    /** The job is stored. */
    public data object Accepted : SubmitResult

    /** The job is not stored and never runs. */
    public data class Rejected(
        val reason: String,
        val retryAfterMs: Long,
    ) : SubmitResult

    /** Nothing was stored: this scheduler is not loaded, no longer the owner, or cannot write. */
    public data object Unavailable : SubmitResult

    /** The ownership ended while the job was being stored; the same submission can be sent again to the next owner. */
    public data object Unknown : SubmitResult
}

/** Result of a cancellation. */
public enum class CancelResult {
    /** The cancellation is stored. */
    STORED,

    /** There is no such job within the caller's rights; one whose submission is still on its way is cancelled when it becomes known. */
    NOT_KNOWN,

    /** Nothing was done: too many cancellations of jobs that are not known are held, see [Scheduler.cancellationRoomInMs]. */
    TOO_MANY,

    /** Nothing was done: this scheduler is not loaded, no longer the owner, or cannot write. */
    UNAVAILABLE,

    /** The ownership ended while the cancellation was being stored: it may be stored or not. */
    UNKNOWN,
}

/**
 * Answer to a state query. [state] is null if the job is not known. With [isAvailable] false this scheduler cannot tell,
 * and the caller has to read the store.
 */
public data class JobAnswer(
    val isAvailable: Boolean,
    val state: JobState? = null,
    val queueName: String? = null,
    /** The client account that the job belongs to; null if it belongs to none. */
    val account: String? = null,
)
