/*
 * Attributes crashes of workers to the tasks that ran on them, so that a task that crashes each worker on which it starts is
 * not started without end.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView

/** A run that its worker had not ended when contact was lost. [survivedMs] is how long it was last known to have run. */
internal data class InterruptedRun(
    val task: TaskRun,
    val runNumber: Long,
    val survivedMs: Long,
)

/** Counts crashes through [registry]. Used on the event loop only. */
internal class CrashTracker(
    private val registry: JobRegistry,
    private val log: DecisionLog,
) {
    /** A worker that was silent until its lease expired, with the runs that were on it. */
    private class LapsedWorker(
        val id: String,
        val bornWallMs: Long,
        val runs: List<InterruptedRun>,
    )

    /** By instance. Whether such a worker crashed is not known until the instance has another worker or the same one answers. */
    private val lapsedByInstance = HashMap<String, LapsedWorker>()

    /** The runs that [worker] may have begun and has not ended. To be called before they are released. */
    fun interruptedRunsOf(worker: WorkerView): List<InterruptedRun> =
        worker.runs.values
            .filter { it !in worker.startQueue }
            .map { InterruptedRun(it, it.runNumber, maxOf(0, worker.lastReportedAtMs - it.startedAtMs)) }

    /** Called when [worker] is known to have ended with [runs] on it, which have been released. */
    fun onEnded(
        worker: WorkerView,
        runs: List<InterruptedRun>,
    ) {
        val lapsed = worker.entry.instanceId?.let(lapsedByInstance::remove)
        // A draining worker leaves as announced, whatever still runs on it.
        if (worker.drainingSinceMs == null) record(worker.id, lapsed?.runs.orEmpty() + runs)
    }

    /** Called when the lease of the silent [worker] has expired with [runs] on it, which have been released. */
    fun onLeaseExpired(
        worker: WorkerView,
        runs: List<InterruptedRun>,
    ) {
        val instanceId = worker.entry.instanceId ?: return
        if (worker.drainingSinceMs == null) lapsedByInstance[instanceId] = LapsedWorker(worker.id, worker.bornWallMs, runs)
    }

    /** Called when discovery lists [worker], which was not registered. */
    fun onAppeared(worker: WorkerView) {
        val lapsed = worker.entry.instanceId?.let(lapsedByInstance::remove) ?: return
        val isSame = lapsed.id == worker.id && worker.entry.bornWallMs <= lapsed.bornWallMs
        if (!isSame) record(lapsed.id, lapsed.runs)
    }

    /** Called when [worker] answers in the incarnation in which it was silent. */
    fun onAnswered(worker: WorkerView) {
        worker.entry.instanceId?.let(lapsedByInstance::remove)
    }

    /**
     * Called when its worker reports [task] as running at loop time [nowMs]. Clears the crashes under a long-running task that has
     * survived its start; those under other tasks add up until they are done.
     */
    fun onRunning(
        task: TaskRun,
        nowMs: Long,
    ) {
        if (!task.stepRun.step.isLongRunning || nowMs - task.startedAtMs < SURVIVAL_MS) return
        registry.clearCrashes(task)
    }

    /** Counts a crash under each of [runs], which were on the worker [workerId]. */
    private fun record(
        workerId: String,
        runs: List<InterruptedRun>,
    ) {
        for (run in runs) {
            if (run.task.stepRun.step.isLongRunning && run.survivedMs >= SURVIVAL_MS) {
                registry.clearCrashes(run.task)
                continue
            }
            registry.taskCrashed(run.task, run.runNumber)
            log.write("run_crashed", "task", run.task.id, "run", run.runNumber, "worker", workerId, "crashes", run.task.crashedRuns.size)
        }
    }

    private companion object {
        /** A long-running task that has run for this long did not crash its worker by being started. */
        const val SURVIVAL_MS = 10_000L
    }
}
