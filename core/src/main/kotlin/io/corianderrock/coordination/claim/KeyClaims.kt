/*
 * Claims on idempotency keys: a keyed, non-idempotent request is dispatched only by the holder of its key's claim.
 */
package io.corianderrock.coordination.claim

import io.corianderrock.coordination.request.Reason
import io.corianderrock.coordination.request.UpstreamResponse

/** The result of claiming a key, as the request path sees it. */
public sealed interface ClaimResult {
    /** The request holds the claim and may be dispatched once. */
    public data object Granted : ClaimResult

    /** The key's request ran before; [response] is its complete response. */
    public data class Completed(
        val response: UpstreamResponse,
    ) : ClaimResult

    /** An earlier request holds the claim and may have run. */
    public data class Held(
        val reason: Reason,
        val peer: String,
    ) : ClaimResult

    /** The claim could not be obtained; the request must not be dispatched. */
    public data class Unavailable(
        val reason: Reason,
        val peer: String,
        val retryAfterMs: Long,
    ) : ClaimResult
}

/** Grants claims. An attempt is the id of one request; repeating its claim is idempotent. */
public interface KeyClaims {
    /** Claims the key of [request] for its attempt. Called before the dispatch, on the thread of the request. */
    public fun claim(request: ClaimRequest): ClaimResult

    /** Releases the claim of [attempt], which was certainly not dispatched. */
    public fun release(
        key: String,
        attempt: String,
    )

    /** Records the complete [response] of [attempt], which is returned to resends while it is kept. */
    public fun complete(
        key: String,
        attempt: String,
        response: UpstreamResponse,
    )
}
