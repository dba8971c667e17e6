/*
 * Routes claims to the owner of a key's range, in this process or at a peer.
 */
package io.corianderrock.coordination.claim

import io.corianderrock.coordination.request.Reason
import io.corianderrock.coordination.request.UpstreamResponse
import java.util.concurrent.Executor

/** Calls to owners in other processes, over the network. */
public interface PeerClaims {
    /** Asks the owner at [instance] for a claim. Returns null if no reply arrived; the claim may have been granted. */
    public fun claim(
        instance: String,
        request: ClaimRequest,
    ): ClaimDecision?

    /** Tells the owner at [instance] that [attempt] was not dispatched. Returns false if no reply arrived. */
    public fun release(
        instance: String,
        key: String,
        attempt: String,
    ): Boolean

    /** Tells the owner at [instance] that [attempt] ran. Returns false if no reply arrived. */
    public fun complete(
        instance: String,
        key: String,
        attempt: String,
        response: UpstreamResponse,
    ): Boolean
}

/** Routes claims to the local [owner] or to [peers]. Releases and completions at peers run on [background]. */
public class RoutedClaims(
    private val owner: ClaimOwner,
    private val selfInstance: String,
    private val peers: PeerClaims,
    private val background: Executor,
) : KeyClaims {
    override fun claim(request: ClaimRequest): ClaimResult {
        val range = rangeOf(request.key)
        if (range in owner.ownedRanges) return resultOf(owner.claim(request), request, selfInstance)
        val instance = ownerOf(request.key) ?: return unavailable(peer = "range-$range")
        repeat(MAX_CLAIM_CALLS) {
            peers.claim(instance, request)?.let { return resultOf(it, request, instance) }
        }
        releaseUnacknowledged(instance, request)
        return unavailable(instance)
    }

    override fun release(
        key: String,
        attempt: String,
    ) {
        val instance = ownerOf(key) ?: return owner.release(key, attempt)
        if (instance == selfInstance) owner.release(key, attempt) else releaseAt(instance, key, attempt)
    }

    override fun complete(
        key: String,
        attempt: String,
        response: UpstreamResponse,
    ) {
        val instance = ownerOf(key) ?: return owner.complete(key, attempt, response)
        if (instance == selfInstance) {
            owner.complete(key, attempt, response)
        } else {
            background.execute { peers.complete(instance, key, attempt, response) }
        }
    }

    private fun ownerOf(key: String): String? {
        val range = rangeOf(key)
        if (range in owner.ownedRanges) return selfInstance
        return owner.lastScannedRanges[range]?.ownerInstance?.takeIf { it.isNotEmpty() }
    }

    private fun resultOf(
        decision: ClaimDecision,
        request: ClaimRequest,
        peer: String,
    ): ClaimResult =
        when (decision) {
            is ClaimDecision.Granted -> ClaimResult.Granted
            is ClaimDecision.Completed -> ClaimResult.Completed(decision.response)
            is ClaimDecision.Held -> heldResult(decision, peer)
            is ClaimDecision.HistoryIncomplete -> ClaimResult.Unavailable(Reason.KEY_HISTORY_INCOMPLETE, peer, RETRY_AFTER_MS)
            is ClaimDecision.NotOwner, is ClaimDecision.NotDurable -> unavailable(peer, request)
        }

    private fun heldResult(
        decision: ClaimDecision.Held,
        peer: String,
    ): ClaimResult = ClaimResult.Held(if (decision.isCompleted) Reason.KEY_ALREADY_CLAIMED else Reason.KEY_IN_PROGRESS, peer)

    /** The owner may have granted the claim although its reply was lost; this attempt is never dispatched. */
    private fun releaseUnacknowledged(
        instance: String,
        request: ClaimRequest,
    ) = releaseAt(instance, request.key, request.attempt)

    private fun releaseAt(
        instance: String,
        key: String,
        attempt: String,
    ) {
        background.execute {
            var calls = 0
            while (calls < MAX_RELEASE_CALLS && !peers.release(instance, key, attempt)) calls += 1
        }
    }

    private fun unavailable(
        peer: String,
        request: ClaimRequest? = null,
    ): ClaimResult.Unavailable {
        val peerName = if (request == null) peer else "$peer/range-${rangeOf(request.key)}"
        return ClaimResult.Unavailable(Reason.KEY_OWNER_UNREACHABLE, peerName, RETRY_AFTER_MS)
    }

    private companion object {
        const val MAX_CLAIM_CALLS = 2
        const val MAX_RELEASE_CALLS = 5
        const val RETRY_AFTER_MS = 500L
    }
}
