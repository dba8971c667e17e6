/*
 * Reports a worker that announces in a response that it is leaving to all entries of the data centre.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.Clock
import io.corianderrock.state.WorkerObservation
import io.corianderrock.transport.LeavingListener

/** Records each announcement as an observation that expires, and broadcasts it if it is newer than the last one. */
public class LeavingBroadcaster(
    private val sync: FleetSync,
    private val clock: Clock,
    private val selfInstance: String,
    private val broadcast: (WorkerObservation) -> Unit,
) : LeavingListener {
    override fun onLeaving(
        host: String,
        port: Int,
    ) {
        val worker =
            sync.fleet.listed.values
                .firstOrNull { it.host == host && it.port == port } ?: return
        val nowMs = clock.wallMs()
        val observation = WorkerObservation(worker.id, selfInstance, nowMs, isLeaving = true, expiresAtMs = nowMs + OBSERVATION_TTL_MS)
        if (sync.observe(observation)) broadcast(observation)
    }

    private companion object {
        const val OBSERVATION_TTL_MS = 30_000L
    }
}
