/*
 * Network implementations of the controller's probes.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.fleet.EntryRow
import io.corianderrock.coordination.maintenance.DrainProbe
import io.corianderrock.coordination.maintenance.InstanceProbe
import io.corianderrock.coordination.request.AttemptResult
import io.corianderrock.coordination.request.CallerConnection
import io.corianderrock.coordination.request.EntryRequest
import io.corianderrock.coordination.request.UpstreamClient
import io.corianderrock.protocol.DrainQuery
import io.corianderrock.state.InstanceRow
import io.corianderrock.state.ListedInstance
import io.corianderrock.transport.PeerClient

/** Asks an entry over gRPC, which may be this one. An entry that does not answer counts as not drained. */
public class PeerDrainProbe(
    private val client: PeerClient,
) : DrainProbe {
    override fun isDrained(
        entry: EntryRow,
        row: InstanceRow,
    ): Boolean {
        val reply = client.drain(entry.id, DrainQuery(row.id, row.epoch)) ?: return false
        return reply.hasSeenEpoch && reply.inFlight == 0
    }
}

/** Sends one GET request to the instance. A complete response with a status below 500 counts as serving. */
public class HttpInstanceProbe(
    private val upstream: UpstreamClient,
    private val clock: Clock,
    private val newId: () -> String,
) : InstanceProbe {
    override fun isServing(
        instance: ListedInstance,
        path: String,
    ): Boolean {
        val result = upstream.send(instance.host, instance.port, probe(path), PROBE_TIMEOUT_MS, MAX_RESPONSE_BYTES)
        return result is AttemptResult.Responded && result.response.status < SERVER_ERROR_STATUS
    }

    private fun probe(path: String): EntryRequest =
        EntryRequest(
            id = newId(),
            method = "GET",
            path = path,
            headers = emptyList(),
            body = ByteArray(0),
            team = "",
            idempotencyKey = null,
            isFirstSend = true,
            requestedTimeoutMs = PROBE_TIMEOUT_MS,
            hops = 0,
            receivedNs = clock.monotonicNs(),
            caller = CallerConnection.ALWAYS_OPEN,
        )

    private companion object {
        const val PROBE_TIMEOUT_MS = 500L
        const val MAX_RESPONSE_BYTES = 65_536
        const val SERVER_ERROR_STATUS = 500
    }
}
