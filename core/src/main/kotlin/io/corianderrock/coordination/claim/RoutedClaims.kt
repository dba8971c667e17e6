/*
 * Routes claims to the owner of a key's range, in this process or at a peer.
 */
package io.corianderrock.coordination.claim

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.monotonicMs
import io.corianderrock.coordination.request.Reason
import io.corianderrock.coordination.request.UpstreamResponse
import java.util.concurrent.Executor

/** Calls to owners in other processes, over the network. */
public interface PeerClaims {
    /**
     * Asks the owner at [instance] for a claim. Returns null if no reply arrived within [timeoutMs], or once it is certain that none
     * will; the claim may have been granted.
     */
    public fun claim(
        instance: String,
        request: ClaimRequest,
        timeoutMs: Long,
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

/** Why no decision on a claim was obtained. All of these are reported to the caller as [Reason.KEY_OWNER_UNREACHABLE]. */
public enum class ClaimFailure {
    /** The last scan of the ranges showed no owner: the range is moving, or its owner has stopped. */
    NO_OWNER,

    /** No call to the owner was answered. */
    NO_REPLY,

    /** The process at the range's owner by the last scan does not own it any more, or not yet. */
    NOT_OWNER,

    /** The owner did not commit the claim in time. */
    NOT_DURABLE,
}

/** Notified of each claim that failed. Called on the thread of the request. */
public fun interface ClaimFailureObserver {
    /** The claim on a key of [range] failed at [peer], an empty text if no owner is known, after [tookMs]. */
    public fun onFailed(
        failure: ClaimFailure,
        range: Int,
        peer: String,
        tookMs: Long,
    )
}

/** Routes claims to the local [owner] or to [peers]. Releases and completions at peers run on [background]. */
public class RoutedClaims(
    private val owner: ClaimOwner,
    private val selfInstance: String,
    private val peers: PeerClaims,
    private val background: Executor,
    private val clock: Clock = Clock.SYSTEM,
    private val failures: ClaimFailureObserver = ClaimFailureObserver { _, _, _, _ -> },
) : KeyClaims {
    override fun claim(request: ClaimRequest): ClaimResult {
        val startedMs = clock.monotonicMs()
        val range = rangeOf(request.key)
        // Read once: the range may pass on to another entry meanwhile.
        val isOwn = range in owner.ownedRanges
        val instance = if (isOwn) selfInstance else ownerOf(request.key).orEmpty()
        val decision = if (isOwn) owner.claim(request) else claimAtPeer(instance, request)
        val failure = failureOf(decision, instance) ?: return resultOf(checkNotNull(decision), instance)
        failures.onFailed(failure, range, instance, clock.monotonicMs() - startedMs)
        return ClaimResult.Unavailable(Reason.KEY_OWNER_UNREACHABLE, peerName(failure, instance, range), RETRY_AFTER_MS)
    }

    /**
     * Null if no owner is known, as [instance] is empty, or if none of the calls was answered. A call ends before its time only with
     * its connection; another one on an open connection would reach the owner no sooner than the first.
     */
    private fun claimAtPeer(
        instance: String,
        request: ClaimRequest,
    ): ClaimDecision? {
        if (instance.isEmpty()) return null
        val startedMs = clock.monotonicMs()
        repeat(MAX_CLAIM_CALLS) {
            val remainingMs = CLAIM_TIMEOUT_MS - (clock.monotonicMs() - startedMs)
            if (remainingMs > 0) peers.claim(instance, request, remainingMs)?.let { return it }
        }
        releaseUnacknowledged(instance, request)
        return null
    }

    /** Null if [decision] answers the claim. */
    private fun failureOf(
        decision: ClaimDecision?,
        instance: String,
    ): ClaimFailure? =
        when {
            decision is ClaimDecision.NotOwner -> ClaimFailure.NOT_OWNER
            decision is ClaimDecision.NotDurable -> ClaimFailure.NOT_DURABLE
            decision != null -> null
            instance.isEmpty() -> ClaimFailure.NO_OWNER
            else -> ClaimFailure.NO_REPLY
        }

    private fun peerName(
        failure: ClaimFailure,
        instance: String,
        range: Int,
    ): String =
        when (failure) {
            ClaimFailure.NO_OWNER -> "range-$range"
            ClaimFailure.NO_REPLY -> instance
            ClaimFailure.NOT_OWNER, ClaimFailure.NOT_DURABLE -> "$instance/range-$range"
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
        peer: String,
    ): ClaimResult =
        when (decision) {
            is ClaimDecision.Granted -> ClaimResult.Granted
            is ClaimDecision.Completed -> ClaimResult.Completed(decision.response)
            is ClaimDecision.Held -> heldResult(decision, peer)
            is ClaimDecision.HistoryIncomplete -> ClaimResult.Unavailable(Reason.KEY_HISTORY_INCOMPLETE, peer, RETRY_AFTER_MS)
            is ClaimDecision.NotOwner, is ClaimDecision.NotDurable -> error("a failed claim has no result: $decision")
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

    private companion object {
        const val MAX_CLAIM_CALLS = 2

        /** Longest wait for the owner's decision over all calls: what the owner may wait for its log, and 200 ms for the way. */
        const val CLAIM_TIMEOUT_MS = 1_200L
        const val MAX_RELEASE_CALLS = 5
        const val RETRY_AFTER_MS = 500L
    }
}
