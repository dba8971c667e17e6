/*
 * Requests of callers, and the results that callers and the retry policy see.
 */
package io.corianderrock.coordination.request

public data class Header(
    val name: String,
    val value: String,
)

/**
 * A request as received from a caller. [receivedNs] is in monotonic time. [hops] counts the entries that forwarded it;
 * above 0 it came from an entry of another data centre. [isFirstSend] is the caller's promise that it never sent
 * [idempotencyKey] before.
 */
public class EntryRequest(
    public val id: String,
    public val method: String,
    public val path: String,
    public val headers: List<Header>,
    public val body: ByteArray,
    public val team: String,
    public val idempotencyKey: String?,
    public val isFirstSend: Boolean,
    public val requestedTimeoutMs: Long?,
    public val hops: Int,
    public val receivedNs: Long,
    public val caller: CallerConnection,
)

/** The connection of a caller, polled while its request waits. */
public fun interface CallerConnection {
    /** True when the caller has closed its connection. */
    public fun isGone(): Boolean

    public companion object {
        /** A connection that never closes. */
        public val ALWAYS_OPEN: CallerConnection = CallerConnection { false }
    }
}

/** A complete HTTP response of an upstream. */
public class UpstreamResponse(
    public val status: Int,
    public val headers: List<Header>,
    public val body: ByteArray,
)

/** Why a request was not run, or why its outcome is unknown. Each [wireName] is part of the callers' contract. */
public enum class Reason(
    public val wireName: String,
) {
    NO_SERVICE("no-service"),
    NOT_READY("not-ready"),
    QUOTA_EXCEEDED("quota-exceeded"),
    QUEUE_FULL("queue-full"),
    DEADLINE_TOO_SHORT("deadline-too-short"),
    DEADLINE_PASSED("deadline-passed"),
    NO_WORKER("no-worker"),
    CALLER_GONE("caller-gone"),
    BODY_TOO_LARGE("body-too-large"),
    MALFORMED("malformed-request"),
    STOPPING("stopping"),
    KEY_OWNER_UNREACHABLE("key-owner-unreachable"),
    KEY_HISTORY_INCOMPLETE("key-history-incomplete"),
    KEY_IN_PROGRESS("key-in-progress"),
    KEY_ALREADY_CLAIMED("key-already-claimed"),
    UPSTREAM_REFUSED("upstream-refused"),
    UPSTREAM_FAILED("upstream-failed"),
    ANSWER_INCOMPLETE("answer-incomplete"),
    ANSWER_MISMATCHED("answer-mismatched"),
    ANSWER_TOO_LARGE("answer-too-large"),
    INTERNAL("internal-error"),
}

/** The outcome of a request as reported to the caller. [NotRun.step] and [NotRun.peer] locate the failure. */
public sealed interface EntryResult {
    /** The request ran; [response] is its complete response. [attempts] counts dispatches; 0 for a kept response. */
    public data class Ran(
        val response: UpstreamResponse,
        val attempts: Int,
    ) : EntryResult

    /** The request did not run and will not run on behalf of this call. [retryAfterMs] is a hint for the retry. */
    public data class NotRun(
        val reason: Reason,
        val retryAfterMs: Long,
        val step: String,
        val peer: String = "",
    ) : EntryResult

    /** The request may or may not have run. */
    public data class Unknown(
        val reason: Reason,
        val step: String,
        val peer: String = "",
    ) : EntryResult
}

/** The result of one dispatch to an upstream. */
public sealed interface AttemptResult {
    /** A complete response with the id of the request arrived. */
    public data class Responded(
        val response: UpstreamResponse,
    ) : AttemptResult

    /** The upstream certainly did not start the request: no byte was sent, or the upstream reported `not-run`. */
    public data class NotStarted(
        val reason: Reason,
        val step: String,
        val peer: String,
    ) : AttemptResult

    /** Bytes were sent and no complete response arrived; the request may have run. */
    public data class Indeterminate(
        val reason: Reason,
        val step: String,
        val peer: String,
    ) : AttemptResult
}

/** Sends one request to one upstream. Implementations never retry. */
public interface UpstreamClient {
    /** Sends [request] to [host]:[port] and blocks for at most [timeoutMs] until the complete response arrives. */
    public fun send(
        host: String,
        port: Int,
        request: EntryRequest,
        timeoutMs: Long,
        maxResponseBytes: Int,
    ): AttemptResult
}

private val IDEMPOTENT_METHODS = setOf("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE")

/** True if HTTP (RFC 9110) defines [method] as idempotent. */
public fun isIdempotentMethod(method: String): Boolean = method in IDEMPOTENT_METHODS
