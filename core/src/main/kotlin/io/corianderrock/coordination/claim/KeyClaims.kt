/*
 * Claims on idempotency keys: a keyed, non-idempotent request is dispatched only by the holder of its key's claim.
 */
package io.corianderrock.coordination.claim

import io.corianderrock.coordination.request.Reason
import io.corianderrock.coordination.request.UpstreamResponse

/** The result of claiming a key. */
public sealed interface ClaimResult {
    /** The key is claimed for this request; it may be dispatched once. */
    public data object Granted : ClaimResult

    /** The key's request ran before and [answer] is its whole answer. */
    public data class Completed(
        val answer: UpstreamResponse,
    ) : ClaimResult

    /** The key is claimed by an earlier request that may have run. */
    public data class Taken(
        val reason: Reason,
        val peer: String,
    ) : ClaimResult

    /** The claim could not be made; this request is certainly not claimed for dispatch. */
    public data class Unavailable(
        val reason: Reason,
        val peer: String,
        val retryAfterMs: Long,
    ) : ClaimResult
}

/** Grants claims. [attempt] names the one request that asks, so that a repeated call is granted once. */
public interface KeyClaims {
    /** Claims the key of [call] for its attempt, before its dispatch. */
    public fun claim(call: ClaimCall): ClaimResult

    /** Gives the claim back after [attempt] was certainly not dispatched. */
    public fun release(
        key: String,
        attempt: String,
    )

    /** Records the whole [answer] of [attempt], to be given again to resends for a while. */
    public fun complete(
        key: String,
        attempt: String,
        answer: UpstreamResponse,
    )
}
