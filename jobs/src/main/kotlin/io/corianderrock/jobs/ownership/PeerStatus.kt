/*
 * What entries tell each other about the ownership and the configuration. Peers answer while the store is out of reach of one of
 * them, so that an entry without the store still finds the owner and the newest configuration, and a failed owner is noticed
 * before its row has been silent for long.
 */
package io.corianderrock.jobs.ownership

/** An owner that an entry has read from the store or was told about. [epoch] orders sightings: the highest is the latest. */
public data class OwnerSighting(
    val address: String,
    val epoch: Long,
)

/** The configuration that an entry has in force. */
public data class ConfigurationSighting(
    val version: Long,
    /** Time since the store confirmed to the entry, directly or through peers, that there is no newer version; null if it never did. */
    val confirmedAgoMs: Long? = null,
)

/** The answer of a peer. */
public data class PeerStatus(
    /** The latest owner that the peer knows of, null if none. */
    val owner: OwnerSighting?,
    /** True if the peer itself is that owner. */
    val isOwner: Boolean,
    /** False if the peer is the owner and its writes have not been answered for some time. */
    val canWrite: Boolean,
    /** The epoch that the peer claims or waits to claim, null if none; a claim of it may have been applied without its knowledge. */
    val claimedEpoch: Long? = null,
    /** The configuration that the peer has in force; null if it has none yet. */
    val configuration: ConfigurationSighting? = null,
    /** The data centre of the peer; null if it does not tell. */
    val dataCentre: String? = null,
)

/** The result of asking a peer. */
public sealed interface PeerStatusResult {
    /** The peer has answered with [status]. */
    public data class Answered(
        val status: PeerStatus,
    ) : PeerStatusResult

    /** The peer gave no usable answer in time. */
    public data class Unreachable(
        val reason: String,
    ) : PeerStatusResult
}

/** Asks peers for their [PeerStatus]. Results are delivered on the event loop. */
public fun interface PeerStatusClient {
    /** Sends the question to [address]; [onResult] is called once, after the client's timeout at the latest. */
    public fun ask(
        address: String,
        onResult: (PeerStatusResult) -> Unit,
    )
}
