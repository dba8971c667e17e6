/*
 * Broadcasts configurations and observations to the entries of this data centre, and sends overflow requests to entries of others.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.fleet.EntryRow
import io.corianderrock.coordination.monotonicMs
import io.corianderrock.coordination.request.AttemptResult
import io.corianderrock.coordination.request.EntryRequest
import io.corianderrock.coordination.request.Overflow
import io.corianderrock.coordination.request.UpstreamClient
import io.corianderrock.protocol.ObservationsMessage
import io.corianderrock.protocol.SnapshotRequest
import io.corianderrock.state.Configuration
import io.corianderrock.state.WorkerObservation
import io.corianderrock.transport.EventLog
import io.corianderrock.transport.PeerClient
import io.corianderrock.transport.eq
import kotlinx.serialization.json.Json
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executor
import java.util.concurrent.ThreadLocalRandom

/** Connects this entry to its peers. Broadcasts are sent on [background] and not retried; overflow is sent on the calling thread. */
public class PeerNetwork(
    private val selfInstance: String,
    private val dataCentre: String,
    private val entries: () -> Collection<EntryRow>,
    private val client: PeerClient,
    private val upstream: UpstreamClient,
    private val clock: Clock,
    private val background: Executor,
) : Overflow {
    private val log = EventLog("peers")
    private val backoffUntilMs = ConcurrentHashMap<String, Long>()

    /** Sends [configuration] to the other entries of this data centre. */
    public fun broadcast(configuration: Configuration) {
        val message = configuration.asMessage()
        localPeers().forEach { peer -> background.execute { client.configure(peer.id, message) } }
    }

    /** Sends [observation] to the other entries of this data centre. */
    public fun broadcast(observation: WorkerObservation) {
        val message = ObservationsMessage(listOf(observation))
        localPeers().forEach { peer -> background.execute { client.observe(peer.id, message) } }
    }

    /** Fetches the configuration with the highest version from the other entries; null if none returns one. */
    public fun fetchLatestConfiguration(): Configuration? =
        entries()
            .filter { it.id != selfInstance }
            .mapNotNull { client.snapshot(it.id, SnapshotRequest(selfInstance)) }
            .filter { it.configurationJson.isNotEmpty() }
            .map { Json.decodeFromString(Configuration.serializer(), it.configurationJson) }
            .maxByOrNull { it.version }

    override fun send(
        request: EntryRequest,
        timeoutMs: Long,
        maxResponseBytes: Int,
    ): AttemptResult? {
        val nowMs = clock.monotonicMs()
        val candidates = entries().filter { it.dataCentre != dataCentre && (backoffUntilMs[it.id] ?: 0) <= nowMs }
        if (candidates.isEmpty()) return null
        val target = candidates[ThreadLocalRandom.current().nextInt(candidates.size)]
        val result = upstream.send(hostOf(target), portOf(target), request, timeoutMs, maxResponseBytes)
        if (result !is AttemptResult.Responded) startBackoff(target, nowMs)
        return result
    }

    private fun startBackoff(
        target: EntryRow,
        nowMs: Long,
    ) {
        backoffUntilMs[target.id] = nowMs + OVERFLOW_BACKOFF_MS
        log.info("overflow-avoided", "peer" eq target.id, "backoffMs" eq OVERFLOW_BACKOFF_MS)
    }

    private fun localPeers(): List<EntryRow> = entries().filter { it.dataCentre == dataCentre && it.id != selfInstance }

    private fun hostOf(entry: EntryRow): String = entry.callersAddress.substringBeforeLast(':')

    private fun portOf(entry: EntryRow): Int = entry.callersAddress.substringAfterLast(':').toInt()

    private companion object {
        const val OVERFLOW_BACKOFF_MS = 1_000L
    }
}
