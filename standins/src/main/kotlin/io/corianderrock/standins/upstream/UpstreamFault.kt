/*
 * Faults of upstream workers, set through a control endpoint.
 */
package io.corianderrock.standins.upstream

import kotlinx.serialization.Serializable

/** What a worker does with requests. */
@Serializable
public enum class FaultKind {
    /** Serves requests. */
    NONE,

    /** Accepts requests and never answers; they run all the same. */
    FREEZE,

    /** Closes the connection without an answer, after the request ran. */
    CLOSE,

    /** Answers after the fault's delay on top of the run time. */
    LATE,

    /** Answers with the id of another request. */
    CROSSED,

    /** Sends half of the answer and closes the connection. */
    CUT,

    /** Sends half of the answer and then nothing. */
    STALL,

    /** Refuses every request before it starts. */
    REFUSE,

    /** Fails every request at once with status 500. */
    FAIL_FAST,

    /** Sends an answer that is far too large. */
    OVERSIZE,

    /** Refuses new work and announces that it leaves. */
    LEAVE,
}

/** A fault on the workers called [workers], or on all when empty. [delayMs] applies to [FaultKind.LATE]. */
@Serializable
public data class UpstreamFault(
    val kind: FaultKind,
    val workers: List<String> = emptyList(),
    val delayMs: Long = 0,
)
