/*
 * The HTTP contract with callers and upstreams: header names, outcomes and status codes.
 */
package io.corianderrock.protocol.contract

import io.corianderrock.coordination.request.EntryResult
import io.corianderrock.coordination.request.Reason
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Names of the HTTP headers that callers, entries and upstreams exchange. */
public object ContractHeaders {
    /** Whether the request was executed: `ran`, `not-run` or `unknown`; see [RequestOutcome]. */
    public const val OUTCOME: String = "Outcome"

    /** The wire name of the [Reason] behind an outcome other than `ran`. */
    public const val REASON: String = "Outcome-Reason"

    /** The id of a request, echoed by upstreams in their responses. */
    public const val REQUEST_ID: String = "Request-Id"

    /** The caller's idempotency key of a request that must be executed at most once, however often it is resent. */
    public const val IDEMPOTENCY_KEY: String = "Idempotency-Key"

    /** The ordinal of this send of a keyed request, from 1; 1 asserts that it was never sent before. */
    public const val REQUEST_ATTEMPT: String = "Request-Attempt"

    /** The caller's timeout in milliseconds. */
    public const val DEADLINE_MS: String = "Request-Deadline-Ms"

    /** The name of the caller team. */
    public const val TEAM: String = "Caller-Team"

    /** The number of entries that have forwarded the request. */
    public const val HOPS: String = "Entry-Hops"

    /** The shared secret of the entries of a deployment. [HOPS] is ignored without it. */
    public const val PEER_TOKEN: String = "Entry-Token"

    /** The delay before a retry, in milliseconds. */
    public const val RETRY_AFTER_MS: String = "Retry-After-Ms"

    /** The number of attempts that were dispatched to upstreams. */
    public const val ATTEMPTS: String = "Outcome-Attempts"

    /** Set by a worker that is about to leave the fleet. */
    public const val LEAVING: String = "Worker-Leaving"
}

/** The outcome of a request. [wireName] is its value in the header [ContractHeaders.OUTCOME]. */
public enum class RequestOutcome(
    public val wireName: String,
) {
    /** The request was executed. */
    RAN("ran"),

    /** The request was not executed; a retry is safe. */
    NOT_RUN("not-run"),

    /** The request may have been executed. */
    UNKNOWN("unknown"),
    ;

    public companion object {
        /** Returns the outcome with the given [wireName], or null if there is none. */
        public fun parse(wireName: String?): RequestOutcome? = entries.firstOrNull { it.wireName == wireName }
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

/** Returns the HTTP status that reports [result] to the caller: that of the upstream's response if the request ran. */
public fun httpStatusOf(result: EntryResult): Int =
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
