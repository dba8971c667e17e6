/*
 * Faults that can be injected into simulated upstream workers through their control endpoint.
 */
package io.corianderrock.standins.upstream

import kotlinx.serialization.Serializable

/** How a worker handles requests while the fault is active. The entry names are the values of the control API. */
@Serializable
public enum class FaultKind {
    /** No fault: requests are served normally. */
    NONE,

    /** Runs requests but never responds, and keeps the connection open. */
    FREEZE,

    /** Closes the connection without a response after the request has run. */
    CLOSE,

    /** Responds [UpstreamFault.delayMs] later than the run time of the request. */
    LATE,

    /** Responds with a wrong request id header and a wrong work id, like a response to a different request. */
    CROSSED,

    /** Sends half of the response body, then closes the connection. */
    CUT,

    /** Sends half of the response body, then nothing more, with the connection left open. */
    STALL,

    /** Rejects every request with status 503 and outcome `not-run` before it starts. */
    REFUSE,

    /** Ends every request with status 500 and no run time. */
    FAIL_FAST,

    /** Sends a response body of 4 MiB, which is more than entries accept. */
    OVERSIZE,

    /** Rejects every request like [REFUSE] and adds the header that announces that the worker is leaving. */
    LEAVE,
}

/** A fault on the workers with the ids [workers], or on all workers when empty. [delayMs] is used by [FaultKind.LATE] only. */
@Serializable
public data class UpstreamFault(
    val kind: FaultKind,
    val workers: List<String> = emptyList(),
    val delayMs: Long = 0,
)
