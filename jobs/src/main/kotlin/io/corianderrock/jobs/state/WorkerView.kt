/*
 * The scheduler's view of one worker: its lists, its lease and what occupies it. Owned by the event loop.
 */
package io.corianderrock.jobs.state

import io.corianderrock.jobs.ports.WorkerEntry

/** The share by which a worker's clock may run slow. */
internal const val SLOWEST_WORKER_CLOCK = 0.98

internal class WorkerView(
    var entry: WorkerEntry,
) {
    val id: String get() = entry.id

    /** False once discovery no longer lists the worker. */
    var isListed: Boolean = true
    var drainingSinceMs: Long? = null

    /** True once the worker has answered under the present fence, so that what runs there is known. */
    var isReconciled: Boolean = false
    var bornWallMs: Long = 0
    var clockMs: Long = 0
    var clockReadAtMs: Long = 0

    /** Until when, in loop time, anything ordered so far may run if the worker is not heard of again. */
    var leaseEndsAtMs: Long = 0

    /** True once an extension of this owner was answered. */
    var isLeaseConfirmed: Boolean = false
    private val runsByTask = LinkedHashMap<TaskId, TaskRun>()
    val runs: Map<TaskId, TaskRun> get() = runsByTask

    /** Runs that are not ours any more and are being stopped; they occupy an unknown part of the worker. */
    val strangers = HashMap<TaskId, Long>()

    /** Starts without an answer: they may still be carried out, also by a new incarnation. */
    val unanswered = HashMap<TaskId, UnansweredStart>()

    /** Stops that were answered, with the time of the answer: a later list without the run proves it gone. */
    val stopAnsweredAtMs = HashMap<TaskId, Long>()
    var processedEnd: Long = 0

    /** The last end that the lease row being stored covers. */
    var storingEnd: Long = 0
    var storedEnd: Long = 0
    var acknowledgedEnd: Long = 0

    /** When the worker last answered with its lists. */
    var listedAtMs: Long = 0
    var isHolding: Boolean = false
    var holdAgainAtMs: Long = 0
    var consecutiveLostHolds: Int = 0
    var ordersInFlight: Int = 0
    val startQueue = ArrayDeque<TaskRun>()

    /** Set while the instance is to become empty, for a move or for maintenance. */
    var isSetAside: Boolean = false

    /** No new work until then; set after failures that point at the worker. */
    var avoidUntilMs: Long = 0
    val recentFailedJobs = LinkedHashSet<String>()
    var isLeaseRowStored: Boolean = false
    var isLeaseRowStoring: Boolean = false

    /** What [runs] occupy. */
    var occupied: Demand = Demand()
        private set
    val free: Demand get() = entry.capacity - occupied

    /** True when nothing runs here for certain. */
    val isEmpty: Boolean get() = isReconciled && runs.isEmpty() && strangers.isEmpty() && startQueue.isEmpty()

    fun addRun(task: TaskRun) {
        removeRun(task.id)
        runsByTask[task.id] = task
        occupied += task.stepRun.step.occupied
    }

    fun removeRun(id: TaskId) {
        val task = runsByTask.remove(id) ?: return
        occupied -= task.stepRun.step.occupied
    }

    fun estimatedClockMs(nowMs: Long): Long = clockMs + (nowMs - clockReadAtMs)

    fun noteClock(
        workerClockMs: Long,
        nowMs: Long,
    ) {
        clockMs = workerClockMs
        clockReadAtMs = nowMs
    }

    /** Notes that an order with [expiresAtWorkerMs] was sent, whether or not it arrives. */
    fun noteLeaseOrdered(expiresAtWorkerMs: Long) {
        val upperBoundMs = clockReadAtMs + ((expiresAtWorkerMs - clockMs) / SLOWEST_WORKER_CLOCK).toLong() + 1
        leaseEndsAtMs = maxOf(leaseEndsAtMs, upperBoundMs)
    }
}

/** A start without an answer. */
internal data class UnansweredStart(
    val runNumber: Long,
    val sentAtMs: Long,
)
