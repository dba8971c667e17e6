/*
 * The callers' contract on the wire: header names, outcome words and status codes.
 */
package io.corianderrock.protocol.contract

import io.corianderrock.coordination.request.EntryResult
import io.corianderrock.coordination.request.Reason
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Names of the headers that callers, entries and upstreams exchange. */
public object ContractHeaders {
    /** What is known of the request: `ran`, `not-run` or `unknown`. */
    public const val OUTCOME: String = "Outcome"

    /** The wire name of the [Reason] behind an outcome other than `ran`. */
    public const val REASON: String = "Outcome-Reason"

    /** The id of a request, echoed by upstreams in their answers. */
    public const val REQUEST_ID: String = "Request-Id"

    /** The caller's key for a request that must run at most once over all its resends. */
    public const val IDEMPOTENCY_KEY: String = "Idempotency-Key"

    /** The number of this send of a keyed request; 1 promises that it was never sent before. */
    public const val REQUEST_ATTEMPT: String = "Request-Attempt"

    /** The caller's time limit in milliseconds. */
    public const val DEADLINE_MS: String = "Request-Deadline-Ms"

    /** The calling team. */
    public const val TEAM: String = "Caller-Team"

    /** The number of entries that a request has passed. */
    public const val HOPS: String = "Entry-Hops"

    /** The secret that entries of one deployment share; without it [HOPS] is ignored. */
    public const val PEER_TOKEN: String = "Entry-Token"

    /** When to try again, in milliseconds. */
    public const val RETRY_AFTER_MS: String = "Retry-After-Ms"

    /** The number of dispatches to upstreams. */
    public const val ATTEMPTS: String = "Outcome-Attempts"

    /** Set by an upstream that is about to leave. */
    public const val LEAVING: String = "Worker-Leaving"
}

/** The words of the outcome header. */
public enum class OutcomeWord(
    public val wireName: String,
) {
    RAN("ran"),
    NOT_RUN("not-run"),
    UNKNOWN("unknown"),
    ;

    public companion object {
        /** Returns the word for [wireName], or null when it is none. */
        public fun parse(wireName: String?): OutcomeWord? = entries.firstOrNull { it.wireName == wireName }
    }
}

/** The JSON body of a response whose outcome is not `ran`. */
@Serializable
public data class OutcomeBody(
    val outcome: String,
    val reason: String,
    val step: String,
    val peer: String,
    @SerialName("requestId") val requestId: String,
    val retryAfterMs: Long? = null,
)

/** The HTTP status of a response that reports [result] other than `ran`. */
public fun statusOf(result: EntryResult): Int =
    when (result) {
        is EntryResult.Ran -> result.response.status
        is EntryResult.NotRun -> notRunStatus(result.reason)
        is EntryResult.Unknown -> unknownStatus(result.reason)
    }

private fun notRunStatus(reason: Reason): Int =
    when (reason) {
        Reason.NO_SERVICE -> 404
        Reason.QUOTA_EXCEEDED -> 429
        Reason.BODY_TOO_LARGE -> 413
        Reason.MALFORMED -> 400
        else -> 503
    }

private fun unknownStatus(reason: Reason): Int =
    when (reason) {
        Reason.KEY_IN_PROGRESS, Reason.KEY_ALREADY_CLAIMED -> 409
        Reason.DEADLINE_PASSED -> 504
        else -> 502
    }
