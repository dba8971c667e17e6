/*
 * A caller's request and what the caller is told about it.
 */
package io.corianderrock.coordination.request

/** One HTTP header. */
public data class Header(
    val name: String,
    val value: String,
)

/** A request as received from a caller. [deadlineNs] is in the monotonic time of the entry's clock. */
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

/** The caller's side of a request, polled while the request waits. */
public fun interface CallerConnection {
    /** True when the caller has closed its connection. */
    public fun isGone(): Boolean

    public companion object {
        /** A caller that never goes away. */
        public val PRESENT: CallerConnection = CallerConnection { false }
    }
}

/** A whole answer. */
public class Answer(
    public val status: Int,
    public val headers: List<Header>,
    public val body: ByteArray,
)

/** Why a request was not run, or why its outcome is not known. The wire names are part of the callers' contract. */
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

/** What is known of a request once the entry has finished with it. */
public sealed interface EntryResult {
    /** The request ran and [answer] is its whole answer. [attempts] counts dispatches to upstreams. */
    public data class Ran(
        val answer: Answer,
        val attempts: Int,
    ) : EntryResult

    /** The request did not run and never will on behalf of this call. [retryAfterMs] hints when to try again. */
    public data class NotRun(
        val reason: Reason,
        val retryAfterMs: Long,
        val step: String,
        val peer: String = "",
    ) : EntryResult

    /** The request may have run. */
    public data class Unknown(
        val reason: Reason,
        val step: String,
        val peer: String = "",
    ) : EntryResult
}

/** The result of one dispatch to an upstream. */
public sealed interface AttemptResult {
    /** A whole answer with the request's own id arrived. */
    public data class Answered(
        val answer: Answer,
    ) : AttemptResult

    /** The upstream certainly did not start the request: no byte was sent, or it said so itself. */
    public data class NotStarted(
        val reason: Reason,
        val step: String,
        val peer: String,
    ) : AttemptResult

    /** Bytes were sent and no whole answer arrived; the request may have run. */
    public data class Indeterminate(
        val reason: Reason,
        val step: String,
        val peer: String,
    ) : AttemptResult
}

/** Sends one request to one upstream. Implementations never resend on their own. */
public interface UpstreamClient {
    /** Sends [request] to [host]:[port] and waits at most [timeoutMs] for the whole answer. */
    public fun send(
        host: String,
        port: Int,
        request: EntryRequest,
        timeoutMs: Long,
        maxAnswerBytes: Int,
    ): AttemptResult
}

private val IDEMPOTENT_METHODS = setOf("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE")

/** True when HTTP defines [method] as idempotent. */
public fun isIdempotentMethod(method: String): Boolean = method in IDEMPOTENT_METHODS
