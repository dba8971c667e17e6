/*
 * Lets one entry at a time repeat a claim that the store refused. All entries notice a free ownership within half a second; if each of
 * them repeated its claim as soon as it was refused, the claims would use up what the store still carries.
 */
package io.corianderrock.jobs.ownership

import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.storerate.RetryBackoff
import kotlin.random.Random

/**
 * Turns of the entry at [ownAddress] in claiming an epoch. An entry is a candidate once its claim was refused or it has waited for another
 * candidate; peers learn so from its status.
 * Of the candidates that know each other, the first one in an order that all of them compute repeats its claim after delays of
 * [RetryBackoff]; the others wait until it owns, gives no sign of life or, refused [ATTEMPTS_IN_FRONT] times, stands back for them.
 * Candidates that do not reach each other are bound by their own delays alone.
 *
 * Confined to [loop], except where noted.
 */
internal class ClaimTurn(
    private val loop: EventLoop,
    private val ownAddress: String,
    random: Random,
) {
    private class Candidate(
        val epoch: Long,
        val seenAtMs: Long,
    )

    private val backoff = RetryBackoff(FIRST_WINDOW_MS, LONGEST_WINDOW_MS, MIN_INTERVAL_MS, random)
    private val peers = HashMap<String, Candidate>()
    private var refusalsInFront = 0

    @Volatile
    private var claimedEpoch: Long? = null

    @Volatile
    private var standsBackUntilMs = Long.MIN_VALUE / 2

    /** True until the epoch is settled, also while this entry stands back. */
    val isCandidate: Boolean get() = claimedEpoch != null

    /** The epoch for which this entry is a candidate, null if it is none or stands back. Callable from any thread. */
    val candidateEpoch: Long? get() = claimedEpoch?.takeIf { loop.nowMs >= standsBackUntilMs }

    /** The candidate that this entry lets claim [epoch], null if there is none. Before its first claim it waits for any candidate. */
    fun frontOf(epoch: Long): String? {
        val isCandidate = claimedEpoch == epoch
        return candidatesFor(epoch)
            .filter { !isCandidate || orderOf(it, epoch) < orderOf(ownAddress, epoch) }
            .minByOrNull { orderOf(it, epoch) }
    }

    private fun candidatesFor(epoch: Long): Set<String> =
        peers.filterValues { it.epoch == epoch && loop.nowMs - it.seenAtMs < CANDIDATE_TTL_MS }.keys

    /** Makes this entry a candidate for [epoch] without a claim; returns the delay before one, in which candidates find each other. */
    fun join(epoch: Long): Long {
        claimedEpoch = epoch
        return backoff.nextDelayMs()
    }

    /** Records that the store has refused, or not answered, a claim of [epoch]; returns the delay before it may be repeated. */
    fun onRefused(epoch: Long): Long {
        claimedEpoch = epoch
        val delayMs = backoff.nextDelayMs()
        if (++refusalsInFront < ATTEMPTS_IN_FRONT || candidatesFor(epoch).isEmpty()) return delayMs
        refusalsInFront = 0
        standsBackUntilMs = loop.nowMs + STAND_BACK_MS
        return STAND_BACK_MS + delayMs
    }

    /** Ends the candidacy: the row has changed, or this entry owns or stops. */
    fun settle() {
        claimedEpoch = null
        refusalsInFront = 0
        standsBackUntilMs = Long.MIN_VALUE / 2
        backoff.reset()
        peers.clear()
    }

    /** Records the epoch that the peer at [address] claims, null if it claims none or gives no answer. */
    fun onPeer(
        address: String,
        epoch: Long?,
    ) {
        if (epoch == null) peers.remove(address) else peers[address] = Candidate(epoch, loop.nowMs)
    }

    /** Varies with the epoch, so that an entry which the store turns away is not the first of every time. */
    private fun orderOf(
        address: String,
        epoch: Long,
    ): Int = "$address/$epoch".hashCode()

    private companion object {
        /** Three claims a second of one candidate at most, which leaves two for those that do not know of it yet. */
        const val MIN_INTERVAL_MS = 400L
        const val FIRST_WINDOW_MS = 100L

        /** With the minimum, a claim every 850 ms at worst: a store that has recovered is claimed within that time. */
        const val LONGEST_WINDOW_MS = 450L

        /** The store may refuse single entries for long, so the turn passes on. */
        const val ATTEMPTS_IN_FRONT = 3
        const val STAND_BACK_MS = 1_500L

        /** Two rounds of questions to the candidate in front, and the time of an answer. */
        const val CANDIDATE_TTL_MS = 700L
    }
}
