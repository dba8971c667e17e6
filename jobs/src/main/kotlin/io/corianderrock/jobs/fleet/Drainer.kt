/*
 * Empties workers without taking more tasks of a serving step away at once than the step allows.
 */
package io.corianderrock.jobs.fleet

import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.runs.WorkerDriver
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView

internal class Drainer(
    private val loop: EventLoop,
    private val driver: WorkerDriver,
) {
    /** True when nothing that lasts keeps the worker from becoming empty by itself. */
    fun canEmptySoon(worker: WorkerView?): Boolean =
        worker != null && worker.isReconciled && worker.runs.values.none { it.stepRun.step.isLongRunning }

    /**
     * Stops tasks on [worker] that resume elsewhere from what they have saved, as far as [others] have room for them:
     * a straggler would hold the instance for many times the run time of the rest.
     */
    fun evictSaving(
        worker: WorkerView,
        others: List<WorkerView>,
    ) {
        val rooms = others.filter { it !== worker }.map { it.free }.toMutableList()
        for (task in worker.runs.values.toList()) {
            val step = task.stepRun.step
            val isMovable = step.isCheckpointing && !step.isGang && !step.isLongRunning && task.phase == TaskPhase.RUNNING
            if (!isMovable || loop.nowMs - task.startedAtMs < MIN_RUN_MS) continue
            val room = rooms.indexOfFirst { step.occupied.fitsIn(it) }
            if (room < 0) return
            rooms[room] -= step.occupied
            driver.stop(task)
        }
    }

    /** Stops tasks that last on [worker] as far as their steps allow it now. */
    fun evictLongRunning(worker: WorkerView) {
        for (task in worker.runs.values.toList()) {
            if (!task.stepRun.step.isLongRunning || task.phase != TaskPhase.RUNNING) continue
            if (mayTakeAway(task)) driver.stop(task)
        }
    }

    private fun mayTakeAway(task: TaskRun): Boolean {
        val max = task.stepRun.step.maxUnavailable ?: return true
        return task.stepRun.tasks.count { it !== task && !isSurelyAtWork(it) } < max
    }

    private fun isSurelyAtWork(task: TaskRun): Boolean {
        val worker = task.worker ?: return false
        val isHeardOf = worker.consecutiveLostHolds == 0 && loop.nowMs - worker.lastReportedAtMs < HEARD_OF_MS
        return isHeardOf && task.phase == TaskPhase.RUNNING && task.isAtWork && loop.nowMs - task.startedAtMs > SETTLED_MS
    }

    private companion object {
        /** Shorter runs end sooner than a stop and a start elsewhere take effect. */
        const val MIN_RUN_MS = 500L

        /** A worker with tasks that last lists them at least this often. */
        const val HEARD_OF_MS = 1_500L

        /** A restarted task counts as back once it has run for this long. */
        const val SETTLED_MS = 1_500L
    }
}
