/*
 * Workers that answer but fail what they run. A failure counts against the worker once its task is done on another one, in part
 * until then, and not at all once its task has failed elsewhere too: then the job is the cause. The failures are weighed against
 * how often the peers in the pool fail, so that a pool in which all fail is not avoided.
 */
package io.corianderrock.jobs.workers

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView
import kotlin.math.ln
import kotlin.math.pow

/** Judges the workers of [workers] by their failures, in their [WorkerView.record]. Used on the event loop only. */
internal class WorkerFailures(
    private val loop: EventLoop,
    private val log: DecisionLog,
    private val workers: () -> Collection<WorkerView>,
    private val find: (String) -> WorkerView?,
) {
    /** Called when a run of [task] has ended on [worker], before the task's own record of failures changes. */
    fun onEnded(
        worker: WorkerView,
        task: TaskRun,
        kind: EndKind,
    ) {
        if (kind != EndKind.DONE && kind != EndKind.FAILED) return
        val failedBefore =
            task.lastFailedWorkerId
                ?.takeIf { it != worker.id }
                ?.let(find)
                ?.takeIf { task.id in it.record.openFailures }
        count(worker, isFailure = kind == EndKind.FAILED)
        if (kind == EndKind.DONE) onDone(worker, task, failedBefore) else onFailed(worker, task, failedBefore)
    }

    /** Called when [worker], which answers otherwise, did not answer the start of [task]. */
    fun onStartUnanswered(
        worker: WorkerView,
        task: TaskRun,
    ) {
        count(worker, isFailure = true)
        worker.record.openFailures[task.id] = loop.nowMs
        judge(worker)
    }

    private fun onDone(
        worker: WorkerView,
        task: TaskRun,
        failedBefore: WorkerView?,
    ) {
        val record = worker.record
        record.openFailures.remove(task.id)
        record.evidence = maxOf(0.0, record.evidence - weights(worker).done)
        if (record.isOnProbation(loop.nowMs) && ++record.doneOnProbation == DONE_TO_END_PROBATION) {
            record.probationEndsAtMs = loop.nowMs
            record.avoidances = 0
            log.write("worker_trusted", "worker", worker.id)
        }
        if (failedBefore == null) return
        failedBefore.record.openFailures.remove(task.id)
        failedBefore.record.evidence += weights(failedBefore).failed
        judge(failedBefore)
    }

    private fun onFailed(
        worker: WorkerView,
        task: TaskRun,
        failedBefore: WorkerView?,
    ) {
        // A worker that is avoided already is a sufficient cause of the failure before.
        if (failedBefore != null && !failedBefore.record.isAvoided(loop.nowMs)) {
            task.hasFailedOnSeveralWorkers = true
            failedBefore.record.openFailures.remove(task.id)
        }
        if (task.hasFailedOnSeveralWorkers) return
        worker.record.openFailures[task.id] = loop.nowMs
        judge(worker)
    }

    private fun judge(worker: WorkerView) {
        val record = worker.record
        if (record.isAvoided(loop.nowMs)) return
        record.openFailures.values.removeAll { loop.nowMs - it > OPEN_FAILURE_MS }
        // All tasks of one job may fail for the same reason, so open failures count once a job.
        val openJobs =
            record.openFailures.keys
                .distinctBy { it.jobId }
                .size
        val score = record.evidence + openJobs * OPEN_SHARE * weights(worker).failed
        val threshold = if (record.isOnProbation(loop.nowMs)) PROBATION_THRESHOLD else THRESHOLD
        if (score < threshold) return
        val failures = record.openFailures.size
        record.evidence = 0.0
        record.openFailures.clear()
        if (isCapReached(worker)) {
            log.write("worker_avoidance_capped", "worker", worker.id, "pool", worker.entry.pool)
            return
        }
        avoid(worker, score, failures)
    }

    private fun avoid(
        worker: WorkerView,
        score: Double,
        openFailures: Int,
    ) {
        val record = worker.record
        record.avoidedUntilMs = loop.nowMs + AVOID_MS * (1L shl minOf(record.avoidances, MAX_DOUBLINGS))
        record.probationEndsAtMs = record.avoidedUntilMs + PROBATION_MS
        record.doneOnProbation = 0
        record.avoidances++
        log.write(
            "worker_avoided",
            "worker",
            worker.id,
            "pool",
            worker.entry.pool,
            "score",
            score,
            "openFailures",
            openFailures,
            "peerFailureRatio",
            peerFailureRatio(worker),
            "forMs",
            record.avoidedUntilMs - loop.nowMs,
        )
    }

    /** True if so many of the worker's peers are avoided or on probation that no more may be. */
    private fun isCapReached(worker: WorkerView): Boolean {
        val listed = workers().filter { it.isListed && it.entry.pool == worker.entry.pool }
        val avoided = listed.count { it !== worker && loop.nowMs < it.record.probationEndsAtMs }
        val cap = if (listed.size < 2) 0 else maxOf(1, (listed.size * MAX_AVOIDED_SHARE).toInt())
        return avoided >= cap
    }

    private fun count(
        worker: WorkerView,
        isFailure: Boolean,
    ) {
        val record = worker.record
        val fade = fadeOf(record)
        record.endedCount = record.endedCount * fade + 1
        record.failedCount = record.failedCount * fade + if (isFailure) 1 else 0
        record.countedAtMs = loop.nowMs
    }

    private fun fadeOf(record: WorkerRecord): Double = HALF.pow((loop.nowMs - record.countedAtMs) / COUNT_HALF_LIFE_MS)

    /** The share of runs that fail on the other workers of the pool; the usual share where little has ended. */
    private fun peerFailureRatio(worker: WorkerView): Double {
        var ended = PRIOR_RUNS
        var failed = PRIOR_RUNS * USUAL_FAILURE_RATIO
        for (peer in workers()) {
            if (peer === worker || peer.entry.pool != worker.entry.pool || loop.nowMs < peer.record.probationEndsAtMs) continue
            val fade = fadeOf(peer.record)
            ended += peer.record.endedCount * fade
            failed += peer.record.failedCount * fade
        }
        return minOf(failed / ended, MAX_PEER_FAILURE_RATIO)
    }

    private class Weights(
        val failed: Double,
        val done: Double,
    )

    /** What one failed and one done run change in the evidence, by the sequential probability ratio test. */
    private fun weights(worker: WorkerView): Weights {
        val usual = peerFailureRatio(worker)
        val failing = (usual * FAILING_FACTOR).coerceIn(LEAST_FAILING_RATIO, GREATEST_FAILING_RATIO)
        return Weights(failed = ln(failing / usual), done = ln((1 - usual) / (1 - failing)))
    }

    private companion object {
        /** Evidence at which a worker is avoided: three failures that only happened there, with peers that fail one run in 30. */
        const val THRESHOLD = 5.0

        /** The same for a worker that was avoided before: one such failure. */
        const val PROBATION_THRESHOLD = 2.0

        /** Share of the weight that a failure has before its task has ended elsewhere. */
        const val OPEN_SHARE = 0.5

        /** Age up to which such a failure counts: a retried task has ended elsewhere by then, or waits for capacity. */
        const val OPEN_FAILURE_MS = 5_000L

        /** How long a worker is avoided at first; doubled each time it fails its probation. */
        const val AVOID_MS = 4_000L

        /** Doublings of [AVOID_MS]: at most 16 s, so that a worker that has recovered is found within half a minute. */
        const val MAX_DOUBLINGS = 2

        /** A worker that got no work for so long is trusted again. */
        const val PROBATION_MS = 8_000L
        const val DONE_TO_END_PROBATION = 3

        /** Largest share of a pool that is avoided or on probation: a failure common to more is not the workers'. */
        const val MAX_AVOIDED_SHARE = 0.25

        /** One job in 30 fails for reasons of its own. */
        const val USUAL_FAILURE_RATIO = 1.0 / 30

        /** Number of runs that the usual share counts for beside those that ended. */
        const val PRIOR_RUNS = 30.0
        const val MAX_PEER_FAILURE_RATIO = 0.6

        /** A failing worker fails at least this share of its runs, or [FAILING_FACTOR] times its peers' share. */
        const val LEAST_FAILING_RATIO = 0.3
        const val GREATEST_FAILING_RATIO = 0.95
        const val FAILING_FACTOR = 3.0

        /** Half-life of the counts of runs: some dozen runs of a worker. */
        const val COUNT_HALF_LIFE_MS = 5_000.0
        const val HALF = 0.5
    }
}
