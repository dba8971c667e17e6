/*
 * Chooses the worker of a task among those of its pool: best fit, after the rules that exclude workers and the costs that rank them.
 */
package io.corianderrock.jobs.placement

import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.sharing.NoSharing
import io.corianderrock.jobs.sharing.SharingPolicy
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.StepRun
import io.corianderrock.jobs.state.SuspectBackoff
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView

/** Used on the event loop only. Keeps no state between calls. */
internal class WorkerChoice(
    private val loop: EventLoop,
    private val runTimes: RunTimeEstimator,
    /** True to prefer workers with a long-running task, so that the others empty and their instances can be returned. */
    private val packsLongRunningTasks: Boolean = false,
    /** Decides where best-effort tasks run beside tasks with a response time target. */
    private val sharing: SharingPolicy = NoSharing,
) {
    fun isFailing(worker: WorkerView): Boolean = worker.record.isAvoided(loop.nowMs)

    /**
     * Only long-running tasks are placed on failing workers, when no other has capacity: they are to run at all times. A worker on
     * probation takes one other task at a time.
     */
    fun mayTake(
        worker: WorkerView,
        step: Step,
    ): Boolean =
        step.isLongRunning ||
            !isFailing(worker) &&
            (!worker.record.isOnProbation(loop.nowMs) || worker.runs.values.all { it.stepRun.step.isLongRunning })

    /** The worker on which [task] costs least, with [planned] tasks of its gang already on some; null if it fits on none. */
    fun cheapestWorker(
        task: TaskRun,
        capacities: List<WorkerCapacity>,
        planned: Map<WorkerCapacity, Int> = emptyMap(),
    ): WorkerCapacity? {
        val step = task.stepRun.step
        val racks = if (step.isRackSensitive) racksOf(task.stepRun) else emptySet()
        val durationMs = if (runTimes.predictsEnds) runTimes.durationMs(task.stepRun) else 0.0
        var best: WorkerCapacity? = null
        var bestCost = Double.MAX_VALUE
        for (capacity in capacities) {
            if (!fits(task, capacity, planned[capacity] ?: 0)) continue
            val cost = cost(task, step, capacity, racks, durationMs)
            if (cost >= bestCost) continue
            best = capacity
            bestCost = cost
        }
        return best
    }

    /** [candidates] in the order in which [task] would be placed on them, the cheapest first. */
    fun sortedByCost(
        task: TaskRun,
        candidates: List<WorkerCapacity>,
    ): List<WorkerCapacity> {
        val step = task.stepRun.step
        val racks = if (step.isRackSensitive) racksOf(task.stepRun) else emptySet()
        val durationMs = if (runTimes.predictsEnds) runTimes.durationMs(task.stepRun) else 0.0
        return candidates.map { it to cost(task, step, it, racks, durationMs) }.sortedBy { it.second }.map { it.first }
    }

    /** True if [task] may start on the worker of [capacity] now, beside [plannedCount] more tasks of its step. */
    fun fits(
        task: TaskRun,
        capacity: WorkerCapacity,
        plannedCount: Int,
    ): Boolean = hasRoom(task, capacity) && mayRunOn(task, capacity, plannedCount)

    /** True if the worker of [capacity] has room for [task] now, beside what is kept for others. */
    fun hasRoom(
        task: TaskRun,
        capacity: WorkerCapacity,
    ): Boolean {
        if (!task.stepRun.step.occupied
                .fitsIn(capacity.free)
        ) {
            return false
        }
        val room = capacity.room
        return room == null || room.permits(task.stepRun, expectedEndMs(task.stepRun))
    }

    /** The loop time at which a task of [stepRun] would end if it started now. */
    fun expectedEndMs(stepRun: StepRun): Double = loop.nowMs + runTimes.durationMs(stepRun)

    /** True if the rules other than capacity let [task] start on the worker of [capacity] now. */
    fun mayRunOn(
        task: TaskRun,
        capacity: WorkerCapacity,
        plannedCount: Int,
    ): Boolean = task.stepRun.mayStartOn(capacity.worker, loop.nowMs) && mayRunWithAdvice(task, capacity, plannedCount)

    /** True if the rules other than capacity and advice let [task] start on the worker of [capacity] now. */
    fun mayRunWithAdvice(
        task: TaskRun,
        capacity: WorkerCapacity,
        plannedCount: Int,
    ): Boolean {
        val step = task.stepRun.step
        if (capacity.isReserved || !mayTake(capacity.worker, step)) return false
        if (task.isLastingSuspect && capacity.worker.runs.isNotEmpty() && loop.nowMs < SuspectBackoff.latestStartMs(task)) return false
        // One more crash of either would fail the jobs of both. Long-running tasks are to run at all times.
        if (task.isCrashSuspect && capacity.hasCrashSuspect && !step.isLongRunning) return false
        if (step.requiredLabel != null && step.requiredLabel !in capacity.worker.entry.labels) return false
        // A best-effort task slows down a task with a response time target on the same worker.
        if (wouldShare(step, capacity) && !sharing.mayStartBeside(capacity.worker, step)) return false
        val max = step.maxPerWorker ?: return true
        return task.stepRun.taskCountOn(capacity.worker) + plannedCount < max
    }

    private fun wouldShare(
        step: Step,
        capacity: WorkerCapacity,
    ): Boolean = step.isBestEffort && capacity.hasServingTask || step.isServing && capacity.hasBestEffortTask

    private fun cost(
        task: TaskRun,
        step: Step,
        capacity: WorkerCapacity,
        racks: Set<String>,
        durationMs: Double,
    ): Double {
        val unused = capacity.free - step.occupied
        val total = capacity.worker.entry.capacity
        var cost = unused.cpuMilli.toDouble() / maxOf(1, total.cpuMilli) + unused.memoryMb.toDouble() / maxOf(1, total.memoryMb)
        if (packsLongRunningTasks) cost = packedCost(cost, capacity.worker)
        if (step.preferredRack != null && step.preferredRack !in capacity.worker.entry.labels) cost += REMOTE_RACK_COST
        if (racks.isNotEmpty() &&
            capacity.worker.entry.labels
                .none { it in racks }
        ) {
            cost += REMOTE_RACK_COST
        }
        if (task.lastFailedWorkerId == capacity.worker.id) cost += FAILED_WORKER_COST
        if (task.crashedRuns.isNotEmpty() && capacity.hasCrashedTask) cost += CRASHED_TOGETHER_COST
        if (task.isCrashSuspect) cost += capacity.worker.runs.size * ENDANGERED_RUN_COST
        if (capacity.hasCrashSuspect) cost += ENDANGERED_RUN_COST
        if (isFailing(capacity.worker)) cost += FAILING_WORKER_COST
        if (wouldShare(step, capacity)) cost += SHARED_WORKER_COST + TAIL_COST * sharing.cost(capacity.worker, step)
        if (runTimes.predictsEnds) cost += runTimes.lateEndCost(durationMs, lastEndMs(capacity), loop.nowMs)
        return cost
    }

    /**
     * [unusedCost], raised on workers without a long-running task. Scaled to its former range, so that the costs of other racks, of
     * failures and of crashes still exceed it.
     */
    private fun packedCost(
        unusedCost: Double,
        worker: WorkerView,
    ): Double {
        val raised = if (worker.hasLongRunningTask) unusedCost else unusedCost + RETURNABLE_WORKER_COST
        return raised * MAX_UNUSED_COST / (MAX_UNUSED_COST + RETURNABLE_WORKER_COST)
    }

    private fun lastEndMs(capacity: WorkerCapacity): Double =
        capacity.lastEndMs ?: runTimes.lastEndMs(capacity.worker, loop.nowMs).also { capacity.lastEndMs = it }

    /** Racks of the workers that run tasks of [stepRun]: their labels after the first, which is the worker's kind. */
    private fun racksOf(stepRun: StepRun): Set<String> =
        stepRun.tasks
            .mapNotNull { it.worker }
            .flatMap { it.entry.labels.drop(1) }
            .toSet()

    private companion object {
        /** Exceeds any cost of unused capacity: a run in another rack takes 1.5 to 2 times as long. */
        const val REMOTE_RACK_COST = 4.0

        /** The cost of a worker whose capacity is unused in both dimensions. */
        const val MAX_UNUSED_COST = 2.0

        /**
         * Exceeds any cost of unused capacity: an instance with a long-running task is not returned in any case, so that what runs
         * there costs no further instance. A full one leaves the choice among the others to best fit.
         */
        const val RETURNABLE_WORKER_COST = 2.5

        /** Exceeds any cost of unused capacity: the worker may have caused the task's last failure. */
        const val FAILED_WORKER_COST = 3.0

        /** Exceeds any cost of unused capacity: tasks that shared a crash are separated, so that another crash shows which caused it. */
        const val CRASHED_TOGETHER_COST = 3.0

        /** Exceeds any cost of unused capacity: the worker of a crash suspect may crash with all runs on it. */
        const val ENDANGERED_RUN_COST = 3.0

        /** Exceeds all other costs together: a failing worker is the last resort. */
        const val FAILING_WORKER_COST = 20.0

        /** Exceeds all other costs together: workers are shared when a task would wait otherwise. */
        const val SHARED_WORKER_COST = 40.0

        /** Exceeds the costs of unused capacity and of other racks: among shared workers, that with the most slack is chosen. */
        const val TAIL_COST = 10.0
    }
}
