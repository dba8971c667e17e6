/*
 * Turns an upstream's announcement that it leaves into an observation for all entries of the data centre.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.Clock
import io.corianderrock.state.WorkerObservation
import io.corianderrock.transport.LeavingListener

/** Records announcements and spreads those that are new. */
public class LeavingWatch(
    private val sync: FleetSync,
    private val clock: Clock,
    private val selfInstance: String,
    private val spread: (WorkerObservation) -> Unit,
) : LeavingListener {
    override fun onLeaving(
        host: String,
        port: Int,
    ) {
        val worker =
            sync.fleet.listed.values
                .firstOrNull { it.host == host && it.port == port } ?: return
        val nowMs = clock.wallMs()
        val observation = WorkerObservation(worker.id, selfInstance, nowMs, isLeaving = true, expiresAtMs = nowMs + LEAVING_MS)
        if (sync.observe(observation)) spread(observation)
    }

    private companion object {
        const val LEAVING_MS = 30_000L
    }
}
