/*
 * Free capacity of the workers of a pool during one placement pass.
 */
package io.corianderrock.jobs.placement

import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.StepRun
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView

/** The capacity of [worker] that the pass has not assigned yet. */
internal class WorkerCapacity(
    val worker: WorkerView,
) {
    var free: Demand = worker.free

    /** Loop time by which the last run here is expected to end; null until it is needed. */
    var lastEndMs: Double? = null

    private val crashSuspects = worker.runs.values.filter { it.isCrashSuspect }

    /** True if a crash suspect was running here when the pass began. */
    val hasCrashSuspect: Boolean get() = crashSuspects.isNotEmpty()

    /** True while a crash suspect that may not have survived its start runs here: no further task is placed beside it. */
    var isReserved: Boolean = crashSuspects.any { !worker.hasSurvivedStart(it) }

    /** True if a task runs here under which a worker has crashed before. */
    val hasCrashedTask: Boolean get() = worker.runs.values.any { it.crashedRuns.isNotEmpty() }

    /** What is kept free here for wider tasks, for the candidates that follow theirs in the pass; null for nothing. */
    var room: WorkerRoom? = null

    /** Assigned tasks are among the worker's runs at once, so these need no update during the pass. */
    val hasServingTask: Boolean get() = worker.runs.values.any { it.stepRun.step.isServing }
    val hasBestEffortTask: Boolean get() = worker.runs.values.any { it.stepRun.step.isBestEffort }
}

/** True if the worker has reported [task] as running late enough that its start has not crashed the worker. */
internal fun WorkerView.hasSurvivedStart(task: TaskRun): Boolean {
    if (task.phase != TaskPhase.RUNNING) return false
    // By the worker's clock: a queued start is sent later than it was decided. Adopted runs were listed when they were adopted.
    val reportedAgeMs = task.startedClockMs?.let { listedClockMs - it } ?: (lastReportedAtMs - task.startedAtMs)
    return reportedAgeMs >= ISOLATION_MS
}

/**
 * Least age of a run that shows that its start did no harm. With the interval between reports and the next pass it is well
 * below the 3 s for which a long-running task may be away although there is capacity for it.
 */
private const val ISOLATION_MS = 500L

/** The usable workers of one pool. Their free capacity only decreases during the pass. */
internal class PoolCapacity(
    val workers: List<WorkerCapacity>,
    private val nowMs: Long,
    private val runTimes: RunTimeEstimator,
) {
    private val byWorker by lazy(LazyThreadSafetyMode.NONE) { workers.associateBy { it.worker } }

    /** True if this pass chooses all rooms for wide tasks anew. */
    var choosesRooms: Boolean = false

    private val byLabel = HashMap<String, List<WorkerCapacity>>()
    private val outlooks = HashMap<WorkerCapacity, WorkerOutlook>()

    private class Unplaceable(
        val demand: Demand,
        /** Loop time: tasks that end before are not refused by this. */
        val endMs: Double,
    ) {
        fun covers(other: Unplaceable): Boolean = demand.fitsIn(other.demand) && endMs <= other.endMs
    }

    /** What fitted on no worker, without what is covered by another of them. */
    private val unplaceable = ArrayList<Unplaceable>()

    /**
     * True if some worker has capacity for a task of [stepRun] that ends at loop time [endMs], beside what is kept for others. In a
     * backlog most steps fit nowhere, so what does not fit is remembered: nothing that needs at least as much fits later in the
     * pass, as capacity only decreases and rooms are only added.
     */
    fun hasRoomFor(
        stepRun: StepRun,
        endMs: Double,
    ): Boolean {
        val needed = Unplaceable(stepRun.step.occupied, endMs)
        if (unplaceable.any { it.covers(needed) }) return false
        var hasCapacity = false
        for (worker in workers) {
            if (worker.isReserved || !needed.demand.fitsIn(worker.free)) continue
            hasCapacity = true
            if (worker.room?.permits(stepRun, endMs) != false) return true
        }
        val refused = if (hasCapacity) needed else Unplaceable(needed.demand, Double.NEGATIVE_INFINITY)
        unplaceable.removeAll { refused.covers(it) }
        unplaceable.add(refused)
        return false
    }

    /** The workers with [label], such as those of a rack. */
    fun withLabel(label: String): List<WorkerCapacity> = byLabel.getOrPut(label) { workers.filter { label in it.worker.entry.labels } }

    /** The capacity of [worker]; null if it is not usable in this pass. */
    fun of(worker: WorkerView): WorkerCapacity? = byWorker[worker]

    /** When capacity is expected to become free on [capacity], without what waiting tasks have claimed in this pass. */
    fun outlookOf(capacity: WorkerCapacity): WorkerOutlook = outlooks.getOrPut(capacity) { WorkerOutlook(capacity, runTimes, nowMs) }
}
