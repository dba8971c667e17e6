/*
 * Addresses of other entries, learned from the settings, from owner rows and from the requests of peers. Bounded, since
 * entries come and go at new addresses.
 */
package io.corianderrock.jobs.ownership

/** Holds up to [MAX_PEERS] addresses; callable from any thread. [ownAddress] is never among them. */
public class PeerDirectory(
    private val ownAddress: String,
    seeds: List<String> = emptyList(),
) {
    private val addresses = LinkedHashSet<String>()

    init {
        seeds.forEach(::add)
    }

    /** Adds [address]; the address added or returned longest ago is dropped when there are too many. */
    @Synchronized
    public fun add(address: String) {
        if (address.isEmpty() || address == ownAddress || !addresses.add(address)) return
        if (addresses.size > MAX_PEERS) addresses.remove(addresses.first())
    }

    /** Returns up to [count] addresses, those returned longest ago first. */
    @Synchronized
    public fun next(count: Int): List<String> {
        val chosen = addresses.take(count)
        addresses.removeAll(chosen.toSet())
        addresses.addAll(chosen)
        return chosen
    }

    private companion object {
        /** Enough to hold entries outside a data centre that has failed. */
        const val MAX_PEERS = 64
    }
}
