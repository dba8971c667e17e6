/*
 * Which workers get no short tasks for a while, and their way back. At most a share of a pool is avoided, so that a cause that
 * all workers have in common never empties it.
 */
package io.corianderrock.jobs.workers

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.state.WorkerView

/** Avoids workers out of [workers], in their [WorkerView.record]. Used on the event loop only. */
internal class WorkerAvoidance(
    private val loop: EventLoop,
    private val log: DecisionLog,
    private val workers: () -> Collection<WorkerView>,
) {
    val nowMs: Long get() = loop.nowMs

    /** The workers that are listed in the same rack as [worker], which has labels of its kind and its rack. */
    fun rackOf(worker: WorkerView): List<WorkerView> {
        val racks = worker.entry.labels.drop(1)
        return workers().filter { peer -> peer.isListed && racks.any { it in peer.entry.labels.drop(1) } }
    }

    /** The share of hits among the runs that [countOf] has of the other workers of the pool, [usual] where little has ended. */
    fun peerRatio(
        worker: WorkerView,
        usual: Double,
        countOf: (WorkerRecord) -> FadingCount,
    ): Double {
        var runs = PRIOR_RUNS
        var hits = PRIOR_RUNS * usual
        for (peer in workers()) {
            if (peer === worker || peer.entry.pool != worker.entry.pool || loop.nowMs < peer.record.probationEndsAtMs) continue
            runs += countOf(peer.record).runsAt(loop.nowMs)
            hits += countOf(peer.record).hitsAt(loop.nowMs)
        }
        return hits / runs
    }

    /** Avoids [worker], unless its pool has as many avoided workers as it may; logs [event] with [details]. */
    fun avoid(
        worker: WorkerView,
        event: String,
        vararg details: Any?,
    ) {
        val record = worker.record
        record.failureEvidence = 0.0
        record.slownessEvidence = 0.0
        record.openFailures.clear()
        if (isCapReached(worker)) {
            log.write("worker_avoidance_capped", "worker", worker.id, "pool", worker.entry.pool, "reason", event)
            return
        }
        record.avoidedUntilMs = loop.nowMs + AVOID_MS * (1L shl minOf(record.avoidances, MAX_DOUBLINGS))
        record.probationEndsAtMs = record.avoidedUntilMs + PROBATION_MS
        record.doneOnProbation = 0
        record.avoidances++
        val fields = arrayOf<Any?>("worker", worker.id, "pool", worker.entry.pool, "forMs", record.avoidedUntilMs - loop.nowMs)
        log.write(event, *fields, *details)
    }

    /** Called when a run is done on [worker]. */
    fun onDone(worker: WorkerView) {
        val record = worker.record
        if (!record.isOnProbation(loop.nowMs)) return
        record.doneOnProbation++
        log.write("worker_probation", "worker", worker.id, "done", record.doneOnProbation)
        if (record.doneOnProbation < DONE_TO_END_PROBATION) return
        record.probationEndsAtMs = loop.nowMs
        record.avoidances = 0
        log.write("worker_trusted", "worker", worker.id)
    }

    private fun isCapReached(worker: WorkerView): Boolean {
        val listed = workers().filter { it.isListed && it.entry.pool == worker.entry.pool }
        val avoided = listed.count { it !== worker && loop.nowMs < it.record.probationEndsAtMs }
        val cap = if (listed.size < 2) 0 else maxOf(1, (listed.size * MAX_AVOIDED_SHARE).toInt())
        return avoided >= cap
    }

    private companion object {
        /** How long a worker is avoided at first; doubled each time it fails its probation. */
        const val AVOID_MS = 4_000L

        /** Doublings of [AVOID_MS]: at most 16 s, so that a worker that has recovered is found within half a minute. */
        const val MAX_DOUBLINGS = 2

        /** A worker that got no work for so long is trusted again. */
        const val PROBATION_MS = 8_000L
        const val DONE_TO_END_PROBATION = 3

        /** Largest share of a pool that is avoided or on probation: a rack may hold so much of it, and what befalls more is not theirs. */
        const val MAX_AVOIDED_SHARE = 0.34

        /** Number of runs that the usual share counts for beside those that ended. */
        const val PRIOR_RUNS = 30.0
    }
}
