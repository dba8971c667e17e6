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
    /** Asks [PEERS_PER_ROUND] peers every [INTERVAL_MS] while [isNeeded]. */
    fun start() {
        if (isNeeded()) for (address in directory.next(PEERS_PER_ROUND)) ask(address)
        loop.after(INTERVAL_MS) { start() }
    }

    private fun ask(address: String) =
        client.ask(address) { result ->
            if (result is PeerStatusResult.Answered) onAnswer(result.status)
        }

    private companion object {
        /** Half of the time that a peer needs to notice a failed owner. */
        const val INTERVAL_MS = 300L

        /** More than one, as a peer may be out of reach of the store too. */
        const val PEERS_PER_ROUND = 2
    }
}
