/*
 * Asks peers for what this entry cannot read from the store itself: the owner, or the newest configuration.
 */
package io.corianderrock.jobs.ownership

import io.corianderrock.jobs.ports.EventLoop

/** Confined to [loop]. [onAnswer] gets what each peer answers. */
internal class PeerInquiry(
    private val loop: EventLoop,
    private val client: PeerStatusClient,
    private val directory: PeerDirectory,
    private val isNeeded: () -> Boolean,
    private val onAnswer: (PeerStatus) -> Unit,
) {
    private var askedAtMs = Long.MIN_VALUE / 2

    /** Asks [PEERS_PER_ROUND] peers every [INTERVAL_MS] while [isNeeded], the first ones within [CHECK_INTERVAL_MS]. */
    fun start() {
        if (loop.nowMs - askedAtMs >= INTERVAL_MS && isNeeded()) {
            askedAtMs = loop.nowMs
            for (address in directory.next(PEERS_PER_ROUND)) ask(address)
        }
        loop.after(CHECK_INTERVAL_MS) { start() }
    }

    private fun ask(address: String) =
        client.ask(address) { result ->
            if (result is PeerStatusResult.Answered) onAnswer(result.status)
        }

    private companion object {
        /** Half of the time that a peer needs to notice a failed owner. */
        const val INTERVAL_MS = 300L

        /** Short against the 500 ms after which a store without an answer counts as lost. */
        const val CHECK_INTERVAL_MS = 50L

        /** More than one, as a peer may be out of reach of the store too. */
        const val PEERS_PER_ROUND = 2
    }
}
