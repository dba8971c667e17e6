/*
 * Workers that answer but fail what they run. A failure counts against the worker once its task is done on another one, in part
 * until then, and not at all once its task has failed elsewhere too: then the job is the cause. The failures are weighed against
 * how often the peers in the pool fail, so that a pool in which all fail is not avoided.
 */
package io.corianderrock.jobs.workers

import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView
import kotlin.math.ln

/** Judges workers by their failures, in their [WorkerView.record]. Used on the event loop only. */
internal class WorkerFailures(
    private val avoidance: WorkerAvoidance,
    private val find: (String) -> WorkerView?,
) {
    private val nowMs: Long get() = avoidance.nowMs

    /** Called when a run of [task] has ended on [worker], before the task's own record of failures changes. */
    fun onEnded(
        worker: WorkerView,
        task: TaskRun,
        kind: EndKind,
    ) {
        if (kind != EndKind.DONE && kind != EndKind.FAILED) return
        val failedBefore = task.lastFailedWorkerId?.takeIf { it != worker.id }?.let(find)
        worker.record.failures.add(isHit = kind == EndKind.FAILED, nowMs)
        if (kind == EndKind.DONE) onDone(worker, task, failedBefore) else onFailed(worker, task, failedBefore)
    }

    /** Called when [worker], which answers otherwise, did not answer a start, for which the task cannot be the cause. */
    fun onStartUnanswered(worker: WorkerView) {
        worker.record.failures.add(isHit = true, nowMs)
        worker.record.failureEvidence += weights(worker).failed
        judge(worker)
    }

    private fun onDone(
        worker: WorkerView,
        task: TaskRun,
        failedBefore: WorkerView?,
    ) {
        val record = worker.record
        record.openFailures.remove(task.id)
        if (record.failureEvidence > 0) record.failureEvidence = maxOf(0.0, record.failureEvidence - weights(worker).done)
        avoidance.onDone(worker)
        if (failedBefore == null || failedBefore.record.openFailures.remove(task.id) == null) return
        failedBefore.record.failureEvidence += weights(failedBefore).failed
        judge(failedBefore)
    }

    private fun onFailed(
        worker: WorkerView,
        task: TaskRun,
        failedBefore: WorkerView?,
    ) {
        // A worker that is avoided already is a sufficient cause of the failure before.
        if (failedBefore != null && !failedBefore.record.isAvoided(nowMs)) {
            task.hasFailedOnSeveralWorkers = true
            failedBefore.record.openFailures.remove(task.id)
        }
        if (task.hasFailedOnSeveralWorkers) return
        worker.record.openFailures[task.id] = nowMs
        judge(worker)
    }

    private fun judge(worker: WorkerView) {
        val record = worker.record
        if (record.isAvoided(nowMs)) return
        record.openFailures.values.removeAll { nowMs - it > OPEN_FAILURE_MS }
        // All tasks of one job may fail for the same reason, so open failures count once a job.
        val openJobs =
            record.openFailures.keys
                .distinctBy { it.jobId }
                .size
        val score = record.failureEvidence + openJobs * OPEN_SHARE * weights(worker).failed
        val threshold = if (record.isOnProbation(nowMs)) PROBATION_THRESHOLD else THRESHOLD
        if (score < threshold) return
        record.isAvoidedAsSlow = false
        avoidance.avoid(worker, "worker_avoided", "score", score, "openJobs", openJobs, "peerFailureRatio", peerRatio(worker))
    }

    private class Weights(
        val failed: Double,
        val done: Double,
    )

    private fun peerRatio(worker: WorkerView): Double =
        minOf(avoidance.peerRatio(worker, USUAL_FAILURE_RATIO) { it.failures }, MAX_PEER_FAILURE_RATIO)

    /** What one failed and one done run change in the evidence, by the sequential probability ratio test. */
    private fun weights(worker: WorkerView): Weights {
        val usual = peerRatio(worker)
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

        /** One job in 30 fails for reasons of its own. */
        const val USUAL_FAILURE_RATIO = 1.0 / 30

        /** Bounds the weights where nearly all runs of the pool fail. */
        const val MAX_PEER_FAILURE_RATIO = 0.6

        /** A failing worker fails at least this share of its runs, or [FAILING_FACTOR] times its peers' share. */
        const val LEAST_FAILING_RATIO = 0.3
        const val GREATEST_FAILING_RATIO = 0.95
        const val FAILING_FACTOR = 3.0
    }
}
