/*
 * Spaces out the restarts of tasks that last and under which several workers have crashed: a deadly one costs at most one worker each
 * back-off, and it starts apart from other tasks.
 */
package io.corianderrock.jobs.placement

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.state.SuspectBackoff
import io.corianderrock.jobs.state.SuspectWait
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView

/** Used in placement passes on the event loop. */
internal class SuspectRestarts(
    private val loop: EventLoop,
    private val choice: WorkerChoice,
    private val log: DecisionLog,
) {
    private var findStarting: () -> TaskRun? = { null }
    private var isStartingKnown = false
    private var starting: TaskRun? = null

    /** Begins a pass over a pool with [workers], whether usable or not. */
    fun beginPass(workers: () -> Collection<WorkerView>) {
        isStartingKnown = false
        findStarting = { workers().firstNotNullOfOrNull { startingOn(it) } }
    }

    /** A suspect on [worker] that may still crash it. */
    private fun startingOn(worker: WorkerView): TaskRun? =
        worker.runs.values.firstOrNull { it.isLastingSuspect && !worker.hasSurvivedStart(it) }

    /** True if [task] is not to start in this pass, whatever capacity there is. */
    fun holds(task: TaskRun): Boolean {
        if (!task.isLastingSuspect) return false
        val endsAtMs = SuspectBackoff.endsAtMs(task)
        val latestMs = SuspectBackoff.latestStartMs(task)
        return when {
            loop.nowMs < endsAtMs -> waitsFor(task, SuspectWait.BACK_OFF, endsAtMs)
            loop.nowMs < latestMs && startingInPool() != null -> waitsFor(task, SuspectWait.OTHER_SUSPECT, latestMs)
            else -> {
                if (task.loggedSuspectWait != SuspectWait.IDLE_WORKER) task.loggedSuspectWait = null
                false
            }
        }
    }

    private fun startingInPool(): TaskRun? {
        if (!isStartingKnown) starting = findStarting()
        isStartingKnown = true
        return starting
    }

    /** True if [task], for which no worker was found, waits for an idle one although others have capacity for it. */
    fun awaitsIdleWorker(
        task: TaskRun,
        capacities: List<WorkerCapacity>,
    ): Boolean {
        val latestMs = SuspectBackoff.latestStartMs(task)
        val waits = task.isLastingSuspect && loop.nowMs < latestMs && capacities.any { !it.isReserved && choice.hasRoom(task, it) }
        if (waits) waitsFor(task, SuspectWait.IDLE_WORKER, latestMs) else task.loggedSuspectWait = null
        return waits
    }

    private fun waitsFor(
        task: TaskRun,
        wait: SuspectWait,
        untilMs: Long,
    ): Boolean {
        if (task.loggedSuspectWait == wait) return true
        task.loggedSuspectWait = wait
        log.write(
            "crash_suspect_waits",
            "task",
            task.id,
            "crashes",
            task.crashedRuns.size,
            "waitsFor",
            wait,
            "atMostMs",
            untilMs - loop.nowMs,
            "untilWallMs",
            loop.wallMs + untilMs - loop.nowMs,
        )
        return true
    }

    /** Called when [task] is assigned to [worker]. */
    fun onStarted(
        task: TaskRun,
        worker: WorkerView,
    ) {
        if (!task.isLastingSuspect) return
        task.loggedSuspectWait = null
        starting = task
        isStartingKnown = true
        log.write(
            "crash_suspect_starts",
            "task",
            task.id,
            "crashes",
            task.crashedRuns.size,
            "worker",
            worker.id,
            "besideRuns",
            worker.runs.size - 1,
        )
    }
}
