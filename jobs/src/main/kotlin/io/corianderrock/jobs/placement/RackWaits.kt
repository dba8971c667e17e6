/*
 * Lets tasks wait for a worker of their preferred rack where that is shorter than running remotely. A remote run also occupies its
 * worker for longer, so under contention the wait is a gain for other tasks too.
 */
package io.corianderrock.jobs.placement

import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.TaskRun

/** Used in placement passes on the event loop. */
internal class RackWaits(
    private val loop: EventLoop,
    private val runTimes: RunTimeEstimator,
    private val choice: WorkerChoice,
    /** How many times as long a task runs on a worker outside its preferred rack. */
    private val remoteFactor: Double,
) {
    private class Refused(
        val rack: String,
        val demand: Demand,
        val limitMs: Double,
    )

    /** Waits that were refused in this pass: a larger demand with no more time is refused without another search. */
    private val refused = ArrayList<Refused>()

    /** By pool: the loop time of the last pass that left a task without a worker. */
    private val shortAtMs = HashMap<String, Long>()

    fun beginPass() = refused.clear()

    /** Called after a pass that left a task of [pool] without a worker. */
    fun onShort(pool: String) {
        shortAtMs[pool] = loop.nowMs
    }

    /**
     * True if [task] is to wait for its preferred rack, which has no capacity for it now. All of the wait counts, also what has
     * passed, so that late ends cost a task at most as much as it may wait, and never more than [MAX_WAIT_MS].
     */
    fun holds(
        task: TaskRun,
        capacity: PoolCapacity,
    ): Boolean {
        val step = task.stepRun.step
        val rack = step.preferredRack ?: return false
        if (step.isLongRunning || step.isGang || remoteFactor <= 1) return false
        val onRack = capacity.withLabel(rack)
        if (onRack.any { choice.fits(task, it, 0) }) return false
        val heldMs = if (task.heldForRackSinceMs < task.waitingSinceMs) 0 else loop.nowMs - task.heldForRackSinceMs
        val leftMs = minOf(MAX_WAIT_MS, remoteCostMs(task)) - heldMs
        if (leftMs <= 0 || refused.any { it.rack == rack && leftMs <= it.limitMs && it.demand.fitsIn(step.occupied) }) return false
        var best: WorkerOutlook? = null
        var bestMs = loop.nowMs + leftMs
        for (worker in onRack) {
            if (!choice.mayRunOn(task, worker, 0)) continue
            val outlook = capacity.outlookOf(worker)
            val freeFromMs = outlook.freeFromMs(step.occupied)
            if (freeFromMs > bestMs) continue
            best = outlook
            bestMs = freeFromMs
        }
        if (best == null) {
            refused.add(Refused(rack, step.occupied, leftMs))
            return false
        }
        best.claim(step.occupied)
        if (task.heldForRackSinceMs < task.waitingSinceMs) task.heldForRackSinceMs = loop.nowMs
        return true
    }

    /** What a remote run of [task] costs, as a wait that would cost the same. */
    private fun remoteCostMs(task: TaskRun): Double {
        val extraMs = (remoteFactor - 1) * runTimes.expectedMs(task.stepRun)
        val shortMs = shortAtMs[task.stepRun.job.queue.pool]
        return if (shortMs != null && loop.nowMs - shortMs < SHORT_FOR_MS) extraMs * SHORTAGE_FACTOR else extraMs
    }

    private companion object {
        /** While a pool is short, other tasks wait as well for the capacity that a remote run occupies for longer. */
        const val SHORTAGE_FACTOR = 3

        /** At a peak some passes leave no task because all that wait are held. */
        const val SHORT_FOR_MS = 500L

        /** Half of the time for which a job with a due task may be without a running one. */
        const val MAX_WAIT_MS = 1_500.0
    }
}
