/*
 * Decides whether the owner has failed. A row that its holder no longer renews is the evidence that always counts; asking the
 * holder shortens the wait, since a holder that does not answer at all, or answers that it cannot write, will not renew it.
 */
package io.corianderrock.jobs.ownership

import io.corianderrock.jobs.ports.EventLoop

/** Confined to [loop]. [readRowAfter] is called when the row has to be read again, after a delay, before the owner can be declared failed. */
internal class OwnerFailureDetector(
    private val loop: EventLoop,
    private val peers: PeerStatusClient,
    private val readRowAfter: (delayMs: Long) -> Unit,
) {
    private var silentSinceMs = loop.nowMs
    private var lastReadMs = loop.nowMs
    private var termSeenAtMs = loop.nowMs
    private var storeRegainedAtMs = Long.MIN_VALUE / 2
    private var isProbing = false
    private var suspicion: String? = null

    /** Records that [row] was read in [tookMs], [before] being the row of the read before. */
    fun onRowRead(
        before: OwnerRow?,
        row: OwnerRow?,
        tookMs: Long,
    ) {
        // While this entry could not read, the owner may not have been able to write either: it gets the time to resume.
        val hasMissedReads = loop.nowMs - lastReadMs > MAX_READ_GAP_MS
        lastReadMs = loop.nowMs
        if (hasMissedReads || tookMs >= SLOW_READ_MS) storeRegainedAtMs = loop.nowMs
        if (row?.epoch != before?.epoch) termSeenAtMs = loop.nowMs
        if (row == before && !hasMissedReads) return
        silentSinceMs = loop.nowMs
        suspicion = null
    }

    /** Declares the owner failed for [reason] unless its row has changed at the next read. */
    fun suspect(reason: String) {
        if (suspicion != null) return
        suspicion = reason
        readRowAfter(0)
    }

    /** The reason to take the owner for failed, null while there is none. Asks the holder of a silent [row]. */
    fun failureOf(row: OwnerRow): String? {
        val silentMs = loop.nowMs - silentSinceMs
        val reason = suspicion ?: if (silentMs >= TAKEOVER_AFTER_MS) "silent" else null
        if (reason == null) watch(row, silentMs)
        return reason
    }

    private fun watch(
        row: OwnerRow,
        silentMs: Long,
    ) {
        if (silentMs >= PROBE_AFTER_MS) {
            probe(row)
        } else if (silentMs > 0) {
            readRowAfter(PROBE_AFTER_MS - silentMs)
        }
    }

    private fun probe(row: OwnerRow) {
        if (isProbing) return
        isProbing = true
        val silentSinceAtProbeMs = silentSinceMs
        peers.ask(row.address) { result ->
            isProbing = false
            if (silentSinceMs != silentSinceAtProbeMs) return@ask
            val reason = reasonOf(result, row)
            if (reason != null) suspect(reason) else readRowAfter(PROBE_INTERVAL_MS)
        }
    }

    private fun reasonOf(
        result: PeerStatusResult,
        row: OwnerRow,
    ): String? =
        when (result) {
            is PeerStatusResult.Unreachable -> "unreachable"
            is PeerStatusResult.Answered ->
                when {
                    // The answer to the claim that wrote this row is still on its way.
                    result.status.claimedEpoch == row.epoch -> null
                    !result.status.isOwner || result.status.owner?.epoch != row.epoch -> "not_owner"
                    !result.status.canWrite && mayReplaceForWrites() -> "cannot_write"
                    else -> null
                }
        }

    /**
     * False where a takeover would not help: a store that is slow for everyone is no better for the next owner, and just after
     * an outage the holder's own next attempt is due.
     */
    private fun mayReplaceForWrites(): Boolean = loop.nowMs - termSeenAtMs > MIN_TERM_MS && loop.nowMs - storeRegainedAtMs > RESUME_MS

    companion object {
        /** A holder whose row has been unchanged for this long, seven missed renewals, has failed whatever it answers. */
        private const val TAKEOVER_AFTER_MS = 2_900L

        /** Silence after which the holder is asked: one missed renewal. */
        const val PROBE_AFTER_MS = 650L

        /** Pause before a holder that answers, but whose row stays unchanged, is asked again. */
        private const val PROBE_INTERVAL_MS = 250L

        /** Shortest term after which an owner that cannot write is replaced. */
        private const val MIN_TERM_MS = 4_000L

        /** Time that an owner has to write again once the store answers this entry: the timeout of a write and its retry delay. */
        private const val RESUME_MS = 1_400L

        /** Duration from which a read shows a store that is slow for others than the owner too; reads usually take 5 ms. */
        private const val SLOW_READ_MS = 100L

        /** Longest time between two reads that still prove the silence of the owner rather than that of the store. */
        private const val MAX_READ_GAP_MS = 1_500L
    }
}
