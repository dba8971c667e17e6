/*
 * Drains workers by stopping tasks, within the number of unavailable tasks that a long-running step allows.
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
    /** True when the worker becomes empty without evictions: its runs are known and none is long-running. */
    fun canDrainByItself(worker: WorkerView?): Boolean =
        worker != null && worker.isReconciled && worker.runs.values.none { it.stepRun.step.isLongRunning }

    /**
     * Stops checkpointing tasks on [worker] that fit into the free capacity of [others] and resume there. Without this
     * a straggler would occupy the instance for many times the run time of the other tasks.
     */
    fun evictCheckpointing(
        worker: WorkerView,
        others: List<WorkerView>,
    ) {
        val freeCapacities = others.filter { it !== worker }.map { it.free }.toMutableList()
        for (task in worker.runs.values.toList()) {
            val step = task.stepRun.step
            val isMovable = step.isCheckpointing && !step.isGang && !step.isLongRunning && task.phase == TaskPhase.RUNNING
            if (!isMovable || loop.nowMs - task.startedAtMs < MIN_RUN_MS) continue
            val index = freeCapacities.indexOfFirst { step.occupied.fitsIn(it) }
            if (index < 0) return
            freeCapacities[index] -= step.occupied
            driver.stop(task)
        }
    }

    /** Stops long-running tasks on [worker] while `maxUnavailable` of their steps is not exceeded. */
    fun evictLongRunning(worker: WorkerView) {
        for (task in worker.runs.values.toList()) {
            if (!task.stepRun.step.isLongRunning || task.phase != TaskPhase.RUNNING) continue
            if (mayEvict(task)) driver.stop(task)
        }
    }

    /** True if the long-running tasks on [worker] may all be unavailable at once. */
    fun mayEvictAll(worker: WorkerView): Boolean =
        worker.runs.values.filter { it.stepRun.step.isLongRunning }.groupBy { it.stepRun }.all { (stepRun, tasks) ->
            val max = stepRun.step.maxUnavailable ?: return@all true
            stepRun.tasks.count { it in tasks || !isConfirmedAtWork(it) } <= max
        }

    private fun mayEvict(task: TaskRun): Boolean {
        val max = task.stepRun.step.maxUnavailable ?: return true
        return task.stepRun.tasks.count { it !== task && !isConfirmedAtWork(it) } < max
    }

    private fun isConfirmedAtWork(task: TaskRun): Boolean {
        val worker = task.worker ?: return false
        val isResponsive = worker.consecutiveLostHolds == 0 && loop.nowMs - worker.lastReportedAtMs < RESPONSIVE_WITHIN_MS
        return isResponsive && task.phase == TaskPhase.RUNNING && task.isAtWork && loop.nowMs - task.startedAtMs > MIN_AVAILABLE_RUN_MS
    }

    private companion object {
        /** Shorter runs are likely to end before a stop and a start elsewhere take effect. */
        const val MIN_RUN_MS = 500L

        /** A worker with long-running tasks lists them at least this often while it responds. */
        const val RESPONSIVE_WITHIN_MS = 1_500L

        /** A restarted task counts as available once it has run for this long. */
        const val MIN_AVAILABLE_RUN_MS = 1_500L
    }
}
