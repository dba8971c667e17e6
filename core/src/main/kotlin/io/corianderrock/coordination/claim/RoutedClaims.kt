/*
 * Finds the owner of a key's range, in this process or at a peer.
 */
package io.corianderrock.coordination.claim

import io.corianderrock.coordination.request.Reason
import io.corianderrock.coordination.request.UpstreamResponse
import java.util.concurrent.Executor

/** The claims of a peer, over the network. Null results mean that no answer arrived. */
public interface PeerClaims {
    /** Asks the owner at [instance] for a claim. */
    public fun claim(
        instance: String,
        call: ClaimCall,
    ): OwnerAnswer?

    /** Tells the owner at [instance] that the attempt was not dispatched. Returns false when no answer arrived. */
    public fun release(
        instance: String,
        key: String,
        attempt: String,
    ): Boolean

    /** Tells the owner at [instance] that the attempt ran. Returns false when no answer arrived. */
    public fun complete(
        instance: String,
        key: String,
        attempt: String,
        answer: UpstreamResponse,
    ): Boolean
}

/** Routes claims to [owner] or over [peers]. Releases and completions to peers run on [background]. */
public class RoutedClaims(
    private val owner: ClaimOwner,
    private val selfInstance: String,
    private val peers: PeerClaims,
    private val background: Executor,
) : KeyClaims {
    override fun claim(call: ClaimCall): ClaimResult {
        val range = rangeOf(call.key)
        if (range in owner.ownedRanges) return resultOf(owner.claim(call), call, selfInstance)
        val instance = ownerOf(call.key) ?: return unavailable(peer = "range-$range")
        repeat(CLAIM_TRIES) {
            peers.claim(instance, call)?.let { return resultOf(it, call, instance) }
        }
        giveBackUnanswered(instance, call)
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
        answer: UpstreamResponse,
    ) {
        val instance = ownerOf(key) ?: return owner.complete(key, attempt, answer)
        if (instance == selfInstance) {
            owner.complete(key, attempt, answer)
        } else {
            background.execute { peers.complete(instance, key, attempt, answer) }
        }
    }

    private fun ownerOf(key: String): String? {
        val range = rangeOf(key)
        if (range in owner.ownedRanges) return selfInstance
        return owner.knownRanges[range]?.ownerInstance?.takeIf { it.isNotEmpty() }
    }

    private fun resultOf(
        answer: OwnerAnswer,
        call: ClaimCall,
        peer: String,
    ): ClaimResult =
        when (answer) {
            is OwnerAnswer.Granted -> ClaimResult.Granted
            is OwnerAnswer.Completed -> ClaimResult.Completed(answer.answer)
            is OwnerAnswer.Taken -> takenBy(answer, peer)
            is OwnerAnswer.HistoryIncomplete -> ClaimResult.Unavailable(Reason.KEY_HISTORY_INCOMPLETE, peer, RETRY_AFTER_MS)
            is OwnerAnswer.NotOwner, is OwnerAnswer.NotDurable -> unavailable(peer, call)
        }

    private fun takenBy(
        answer: OwnerAnswer.Taken,
        peer: String,
    ): ClaimResult = ClaimResult.Taken(if (answer.isCompleted) Reason.KEY_ALREADY_CLAIMED else Reason.KEY_IN_PROGRESS, peer)

    /** The owner may have granted the claim although its answer was lost; this attempt is never dispatched. */
    private fun giveBackUnanswered(
        instance: String,
        call: ClaimCall,
    ) = releaseAt(instance, call.key, call.attempt)

    private fun releaseAt(
        instance: String,
        key: String,
        attempt: String,
    ) {
        background.execute {
            var tries = 0
            while (tries < RELEASE_TRIES && !peers.release(instance, key, attempt)) tries += 1
        }
    }

    private fun unavailable(
        peer: String,
        call: ClaimCall? = null,
    ): ClaimResult.Unavailable {
        val who = if (call == null) peer else "$peer/range-${rangeOf(call.key)}"
        return ClaimResult.Unavailable(Reason.KEY_OWNER_UNREACHABLE, who, RETRY_AFTER_MS)
    }

    private companion object {
        const val CLAIM_TRIES = 2
        const val RELEASE_TRIES = 5
        const val RETRY_AFTER_MS = 500L
    }
}
