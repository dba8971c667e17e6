/*
 * Learns the newest configuration from peers while the feed from the store fails or is silent.
 */
package io.corianderrock.jobs.configuration

import io.corianderrock.jobs.ownership.PeerDirectory
import io.corianderrock.jobs.ownership.PeerInquiry
import io.corianderrock.jobs.ownership.PeerStatus
import io.corianderrock.jobs.ownership.PeerStatusClient
import io.corianderrock.jobs.ownership.PeerStatusResult
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.state.JobsConfiguration

/** The result of asking a peer for its configuration. */
public sealed interface PeerConfigurationResult {
    /** The peer has [configuration] in force. */
    public data class Answered(
        val configuration: JobsConfiguration,
    ) : PeerConfigurationResult

    /** The peer gave no usable answer in time. */
    public data class Failed(
        val reason: String,
    ) : PeerConfigurationResult
}

/** Fetches the configuration that a peer has in force. Results are delivered on the event loop. */
public fun interface PeerConfigurationClient {
    /** Sends the question to [address]; [onResult] is called once, after the client's timeout at the latest. */
    public fun fetch(
        address: String,
        onResult: (PeerConfigurationResult) -> Unit,
    )
}

/** Confined to [loop]. */
public class PeerConfigurations(
    private val loop: EventLoop,
    private val active: ActiveConfiguration,
    private val statuses: PeerStatusClient,
    private val configurations: PeerConfigurationClient,
    directory: PeerDirectory,
    private val log: DecisionLog,
    /** True while the owner elector asks peers through [statusClient] anyway. */
    private val isElectorAsking: () -> Boolean = { false },
) {
    private val fetching = HashSet<String>()

    /** Asks peers as the client passed to this class does, and takes note of the configuration that each has in force. */
    public val statusClient: PeerStatusClient =
        PeerStatusClient { address, onResult ->
            val askedAtMs = loop.nowMs
            statuses.ask(address) { result ->
                if (result is PeerStatusResult.Answered) onStatus(address, result.status, askedAtMs)
                onResult(result)
            }
        }

    private val inquiry = PeerInquiry(loop, statusClient, directory, { active.isFeedSilent && !isElectorAsking() })

    /** Starts to ask peers while the feed is silent. */
    public fun start(): Unit = inquiry.start()

    private fun onStatus(
        address: String,
        status: PeerStatus,
        askedAtMs: Long,
    ) {
        val seen = status.configuration ?: return
        active.onPeerSighting(seen, askedAtMs)
        val isNewer = seen.version > (active.version ?: Long.MIN_VALUE)
        if (!isNewer || fetching.size >= MAX_FETCHES || !fetching.add(address)) return
        configurations.fetch(address) { result ->
            fetching.remove(address)
            when (result) {
                is PeerConfigurationResult.Failed -> log.write("peer_configuration_failed", "address", address, "reason", result.reason)
                is PeerConfigurationResult.Answered -> {
                    active.offer(result.configuration, source = address)
                    active.onPeerSighting(seen, askedAtMs)
                }
            }
        }
    }

    private companion object {
        /** Two, so that a peer that answers no more does not delay the version that another one has. */
        const val MAX_FETCHES = 2
    }
}
