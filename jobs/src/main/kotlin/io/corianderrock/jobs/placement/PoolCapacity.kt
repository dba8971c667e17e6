/*
 * Free capacity of the workers of a pool during one placement pass.
 */
package io.corianderrock.jobs.placement

import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.WorkerView

/** The capacity of [worker] that the pass has not assigned yet. */
internal class WorkerCapacity(
    val worker: WorkerView,
) {
    var free: Demand = worker.free

    /** Loop time by which the last run here is expected to end; null until it is needed. */
    var lastEndMs: Double? = null

    /** True while a crash suspect runs here: no further task is placed beside it. */
    var isReserved: Boolean = worker.runs.values.any { it.isCrashSuspect }

    /** True if a task runs here under which a worker has crashed before. */
    val hasCrashedTask: Boolean get() = worker.runs.values.any { it.crashedRuns.isNotEmpty() }

    /** Assigned tasks are among the worker's runs at once, so these need no update during the pass. */
    val hasServingTask: Boolean get() = worker.runs.values.any { it.stepRun.step.responseTargetMs != null }
    val hasBestEffortTask: Boolean get() = worker.runs.values.any { it.stepRun.step.isBestEffort }
}

/** The usable workers of one pool. Their free capacity only decreases during the pass. */
internal class PoolCapacity(
    val workers: List<WorkerCapacity>,
) {
    /** Demands that fitted on no worker, without those that exceed another of them. */
    private val unplaceable = ArrayList<Demand>()

    /**
     * True if some worker has [demand] free. In a backlog most steps fit nowhere, so what does not fit is remembered: nothing
     * that needs at least as much fits later in the pass.
     */
    fun hasRoomFor(demand: Demand): Boolean {
        if (unplaceable.any { it.fitsIn(demand) }) return false
        if (workers.any { !it.isReserved && demand.fitsIn(it.free) }) return true
        unplaceable.removeAll { demand.fitsIn(it) }
        unplaceable.add(demand)
        return false
    }
}
