/*
 * Spreads configurations and observations to the entries of the same data centre, and sends overflow to others.
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

/** The other entries as this one uses them. */
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
    private val avoidUntilMs = ConcurrentHashMap<String, Long>()

    /** Hands [configuration] to the other entries of this data centre. */
    public fun spread(configuration: Configuration) {
        val message = configuration.asMessage()
        localPeers().forEach { peer -> background.execute { client.configure(peer.id, message) } }
    }

    /** Hands [observation] to the other entries of this data centre. */
    public fun spread(observation: WorkerObservation) {
        val message = ObservationsMessage(listOf(observation))
        localPeers().forEach { peer -> background.execute { client.observe(peer.id, message) } }
    }

    /** Asks the known entries for the newest configuration; null when none answers with one. */
    public fun learnConfiguration(): Configuration? =
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
        val candidates = entries().filter { it.dataCentre != dataCentre && (avoidUntilMs[it.id] ?: 0) <= nowMs }
        if (candidates.isEmpty()) return null
        val target = candidates[ThreadLocalRandom.current().nextInt(candidates.size)]
        val result = upstream.send(hostOf(target), portOf(target), request, timeoutMs, maxResponseBytes)
        if (result !is AttemptResult.Responded) avoid(target, nowMs)
        return result
    }

    private fun avoid(
        target: EntryRow,
        nowMs: Long,
    ) {
        avoidUntilMs[target.id] = nowMs + AVOID_MS
        log.info("overflow-avoided", "peer" eq target.id, "forMs" eq AVOID_MS)
    }

    private fun localPeers(): List<EntryRow> = entries().filter { it.dataCentre == dataCentre && it.id != selfInstance }

    private fun hostOf(entry: EntryRow): String = entry.callersAddress.substringBeforeLast(':')

    private fun portOf(entry: EntryRow): Int = entry.callersAddress.substringAfterLast(':').toInt()

    private companion object {
        const val AVOID_MS = 1_000L
    }
}
