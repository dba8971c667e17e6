/*
 * Asks peers for what this entry cannot read from the store itself: the owner, or the newest configuration.
 */
package io.corianderrock.jobs.ownership

import io.corianderrock.jobs.ports.EventLoop

/** Confined to [loop]. [onResult] gets the address and the result of each question. [first], unless null, is asked in each round. */
internal class PeerInquiry(
    private val loop: EventLoop,
    private val client: PeerStatusClient,
    private val directory: PeerDirectory,
    private val isNeeded: () -> Boolean,
    private val peersPerRound: Int = PEERS_PER_ROUND,
    private val first: () -> String? = { null },
    private val onResult: (address: String, result: PeerStatusResult) -> Unit = { _, _ -> },
) {
    private var askedAtMs = Long.MIN_VALUE / 2

    /** Asks [peersPerRound] peers every [INTERVAL_MS] while [isNeeded], the first ones within [CHECK_INTERVAL_MS]. */
    fun start() {
        if (loop.nowMs - askedAtMs >= INTERVAL_MS && isNeeded()) askNow(peersPerRound)
        loop.after(CHECK_INTERVAL_MS) { start() }
    }

    /** Asks [count] peers at once, whether or not a round is needed. */
    fun askNow(count: Int) {
        askedAtMs = loop.nowMs
        val addresses = directory.next(count).toMutableSet()
        first()?.let(addresses::add)
        addresses.forEach(::ask)
    }

    private fun ask(address: String) = client.ask(address) { onResult(address, it) }

    private companion object {
        /** Half of the time that a peer needs to notice a failed owner. */
        const val INTERVAL_MS = 300L

        /** Short against the 500 ms after which a store without an answer counts as lost. */
        const val CHECK_INTERVAL_MS = 50L

        /** More than one, as a peer may be out of reach of the store too. */
        const val PEERS_PER_ROUND = 2
    }
}
