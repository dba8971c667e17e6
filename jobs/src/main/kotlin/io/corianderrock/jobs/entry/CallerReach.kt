/*
 * Tells whether this entry can serve callers at present. An entry that reaches neither the store nor a peer leaves the
 * rotation, so that callers are directed to entries that can.
 */
package io.corianderrock.jobs.entry

import io.corianderrock.jobs.ports.EventLoop

/** [isLost] tells whether the store answers this entry, [isSlow] whether it takes long. Readable from any thread. */
public class CallerReach(
    private val loop: EventLoop,
    private val isSlow: () -> Boolean,
    private val silentMs: () -> Long = { 0 },
    private val isLost: () -> Boolean,
) : EntryReach {
    @Volatile
    private var peerAnsweredAtMs = Long.MIN_VALUE / 2

    override val isStoreLost: Boolean get() = isLost()

    override val isStoreSlow: Boolean get() = isSlow()

    override val storeSilentMs: Long get() = silentMs()

    override val isCutOff: Boolean get() = isStoreLost && loop.nowMs - peerAnsweredAtMs > PEER_ANSWER_MS

    /** Records that a peer has answered this entry, as owner or about the owner. */
    public fun onPeerAnswered() {
        peerAnsweredAtMs = loop.nowMs
    }

    private companion object {
        /** Peers are asked every 300 ms while the store is lost, and one that is out of reach takes 500 ms to show it. */
        const val PEER_ANSWER_MS = 1_000L
    }
}
