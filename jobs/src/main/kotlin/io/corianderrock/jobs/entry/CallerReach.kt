/*
 * Tells whether this entry can serve callers at present. An entry that reaches neither the store nor a peer outside a data centre
 * that may be partitioned leaves the rotation, so that callers are directed to entries that can.
 */
package io.corianderrock.jobs.entry

import io.corianderrock.jobs.ownership.PeerStatus
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop

/**
 * [isLost] tells whether the store answers this entry, [isSlow] whether it takes long, [silentMs] for how long it has not answered.
 * Peers of [dataCentre] do not count once a peer of another one has answered: they answer in a partition too, where nobody is
 * served. Readable from any thread.
 */
public class CallerReach(
    private val loop: EventLoop,
    private val isSlow: () -> Boolean,
    private val silentMs: () -> Long = { 0 },
    private val dataCentre: String? = null,
    private val isLost: () -> Boolean,
) : EntryReach {
    private val startedAtMs = loop.nowMs

    @Volatile
    private var peerAnsweredAtMs = Long.MIN_VALUE / 2

    @Volatile
    private var hasSeenOtherDataCentre = false

    override val isStoreLost: Boolean get() = isLost()

    override val isStoreSlow: Boolean get() = isSlow()

    override val storeSilentMs: Long get() = silentMs()

    /** A store that has just failed proves nothing yet: peers are asked first. */
    override val isCutOff: Boolean
        get() = isStoreLost && storeSilentMs >= MIN_SILENCE_MS && loop.nowMs - peerAnsweredAtMs > PEER_ANSWER_MS

    /** True while peers are asked in order to learn whether there are other data centres. */
    public val isSeekingPeers: Boolean
        get() = dataCentre != null && !hasSeenOtherDataCentre && loop.nowMs - startedAtMs < SEEK_MS

    /** Writes to [log] from now on when this entry becomes cut off and when that ends. */
    public fun watch(log: DecisionLog): Unit = watch(log, cutOffSinceMs = null)

    private fun watch(
        log: DecisionLog,
        cutOffSinceMs: Long?,
    ) {
        val sinceMs = if (isCutOff) cutOffSinceMs ?: loop.nowMs else null
        if (sinceMs != null && cutOffSinceMs == null) log.write("entry_cut_off", "storeSilentMs", storeSilentMs)
        if (sinceMs == null && cutOffSinceMs != null) log.write("entry_regained", "afterMs", loop.nowMs - cutOffSinceMs)
        loop.after(WATCH_INTERVAL_MS) { watch(log, sinceMs) }
    }

    /** Records that the owner has answered a request. */
    public fun onOwnerAnswered() {
        peerAnsweredAtMs = loop.nowMs
    }

    /** Records that a peer has answered with [status]. */
    public fun onPeerAnswered(status: PeerStatus) {
        val isElsewhere = dataCentre == null || status.dataCentre == null || status.dataCentre != dataCentre
        if (dataCentre != null && status.dataCentre != null && isElsewhere) hasSeenOtherDataCentre = true
        if (isElsewhere || !hasSeenOtherDataCentre || status.isOwner && status.canWrite) peerAnsweredAtMs = loop.nowMs
    }

    private companion object {
        /** Peers are asked every 300 ms, two at a time: three rounds without one from another data centre are rare. */
        const val PEER_ANSWER_MS = 800L

        /** Reads are overdue from 150 ms on, when peers are asked: two rounds of questions. */
        const val MIN_SILENCE_MS = 500L

        /** A tenth of the interval at which readiness is checked. */
        const val WATCH_INTERVAL_MS = 100L

        /** Ten rounds of questions. */
        const val SEEK_MS = 3_000L
    }
}
