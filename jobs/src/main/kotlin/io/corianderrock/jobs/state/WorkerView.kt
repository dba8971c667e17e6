/*
 * The scheduler's view of one worker: what it last reported, its lease and the runs that occupy it. Confined to the event
 * loop.
 */
package io.corianderrock.jobs.state

import io.corianderrock.jobs.ports.WorkerAnswer
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.workers.WorkerRecord

/** Lower bound on the rate of a worker's clock relative to the loop's: it may be up to 2% slow. */
internal const val MIN_WORKER_CLOCK_RATE = 0.98

/** Age up to which an unanswered order counts as still arriving: it may be carried out up to 12 s after it was sent. */
internal const val LATE_ORDER_WINDOW_MS = 13_000L

/** The end [number] in a worker's list, of a run of a task of [job]; null if the job cannot be read. */
internal class OpenEnd(
    val number: Long,
    val job: JobRun?,
) {
    /** True if a later owner has to read the end from the worker: it cannot be recorded, or what it has changed cannot be stored. */
    val isLeftToLaterOwner: Boolean get() = job == null || job.isProgressRefused
}

internal class WorkerView(
    var entry: WorkerEntry,
    /** Fence of all orders to the present incarnation. Raised with each new one, which then rejects orders to the last one. */
    fence: Long = 0,
    /** Starts that were sent here and may still arrive, also at a new incarnation that knows of no stop. */
    val unsettledStarts: UnsettledStarts = UnsettledStarts(),
) {
    val id: String get() = entry.id
    var fence: Long = fence
        private set

    /** The label of the worker's rack, which follows that of its kind; null if it names none. */
    val rack: String? get() = entry.labels.getOrNull(1)

    /** False once discovery no longer lists the worker. */
    var isListed: Boolean = true
    var drainingSinceMs: Long? = null

    /** True once the present incarnation has reported under [fence], so that its runs are known and earlier orders begin no more. */
    var isReconciled: Boolean = false

    /** Counts the incarnations of the worker that this owner has seen, so that an answer can be matched to the one it is from. */
    var incarnation: Long = 0
        private set

    /** Start of the present incarnation by wall time, as an answer or a row names it; zero when not known. */
    var bornWallMs: Long = 0

    /** Start of the incarnation that last answered, by wall time; zero when not known. */
    var answeredBornWallMs: Long = 0

    /**
     * The last row by which the worker has answered, as its lists and the row named the same start; that of the earlier owner until then,
     * null if there is none. Any program can write a row under the worker's id, with another address or instance.
     */
    var answeredEntry: WorkerEntry? = null

    /** False if the worker has answered by a row with another address or instance than the present one. */
    val isEntryAnswered: Boolean
        get() {
            val answered = answeredEntry ?: return true
            return answered.address == entry.address && answered.instanceId == entry.instanceId
        }

    /** The instance on which the worker runs. */
    val instanceId: String? get() = (answeredEntry ?: entry).instanceId

    /** Reading of the worker's clock, received at loop time [clockReadAtMs]. */
    var clockMs: Long = 0
    var clockReadAtMs: Long = 0

    /** Loop time until which runs may go on if the worker receives no further order. */
    var leaseEndsAtMs: Long = 0

    /** Loop times at which lease extensions were sent that may still arrive, also at a new incarnation. */
    private val possibleLateLeases = ArrayList<Long>()

    /** True once the worker has answered a lease extension by this owner. */
    var isLeaseConfirmed: Boolean = false
    private val runsByTask = LinkedHashMap<TaskId, TaskRun>()
    val runs: Map<TaskId, TaskRun> get() = runsByTask

    /** Grows with each change of [runs]. */
    var runsVersion: Long = 0
        private set

    /** True if the worker may run tasks that are not among [runs]. */
    val mayHaveUnknownRuns: Boolean get() = consecutiveLostHolds > 0 || orphanedRuns.isNotEmpty() || hasUnreadableRuns

    /** Runs that belong to no current task and are being stopped, with their run numbers; the capacity they occupy is unknown. */
    val orphanedRuns = HashMap<TaskId, Long>()

    /** True if the last list shows runs of jobs that this version cannot read, which go on; the capacity they occupy is unknown. */
    var hasUnreadableRuns: Boolean = false

    /** The last answered stop of each task: a report requested later without the run proves that it ended. */
    val answeredStops = HashMap<TaskId, AnsweredStop>()

    /** Number of the last end that was processed. Ends are numbered from 1 in each incarnation. */
    var processedEnd: Long = 0

    /** Processed ends that are not known to be stored, with the jobs that they concern. */
    val openEnds = ArrayDeque<OpenEnd>()

    /** Number of the last processed end before the first that is left to a later owner. */
    val storableEnd: Long get() = openEnds.firstOrNull { it.isLeftToLaterOwner }?.let { it.number - 1 } ?: processedEnd

    /** Number of the last end that the lease row in the last transaction covers. */
    var storingEnd: Long = 0

    /** Number of the last end whose effect is stored. */
    var storedEnd: Long = 0

    /** Number of the last stored end that the worker knows to be stored, so that it need not report it again. */
    var acknowledgedEnd: Long = 0

    /** The last lists, if they are not applied yet because jobs in them have to be looked up; null otherwise. */
    var deferredLists: WorkerAnswer.Listed? = null

    /** Reading of the worker's clock when it last reported its running and ended runs. */
    var listedClockMs: Long = 0

    /** Loop time at which the worker last reported its running and ended runs. */
    var lastReportedAtMs: Long = 0

    /** Loop time at which the worker last reported its clock in an answer to any order. */
    val lastAnsweredAtMs: Long get() = maxOf(lastReportedAtMs, clockReadAtMs)

    /** Loop time since which this incarnation is registered. */
    var registeredAtMs: Long = 0

    /** Number of lists of instances in a row, requested while the worker was silent, by which it has ended. */
    var listsWithoutWorker: Int = 0

    /** Loop time at which the last of these lists was requested. */
    var listedWithoutWorkerAtMs: Long = 0

    /** True while a hold, which extends the lease and requests a report, is not answered. */
    var isHoldInFlight: Boolean = false

    /** True if the answer to the hold in flight may be delayed until a run ends. */
    var isHoldWaiting: Boolean = false

    /** Number of the last hold; an answer to an earlier one was meant for an earlier incarnation. */
    var holdNumber: Long = 0
    var nextHoldAtMs: Long = 0
    var consecutiveLostHolds: Int = 0
    var ordersInFlight: Int = 0

    /** Starts whose first order is overdue and that do not hold up others any more. */
    var overdueStarts: Int = 0
    val startQueue = ArrayDeque<TaskRun>()

    /** True while the instance is being emptied for a move or for maintenance: no new tasks are placed here. */
    var isCordoned: Boolean = false

    /** Loop time until which no new tasks are placed here, set after refusals and orders without an answer. */
    var avoidUntilMs: Long = 0

    /** What the runs of this incarnation tell of the worker. */
    var record = WorkerRecord()
        private set
    var isLeaseRowStored: Boolean = false
    var isLeaseRowStoring: Boolean = false

    /** Total demand of [runs]. */
    var occupied: Demand = Demand()
        private set
    private var longRunningCount = 0

    /** True while a long-running task is among [runs]: its instance becomes free only by an eviction. */
    val hasLongRunningTask: Boolean get() = longRunningCount > 0
    val free: Demand get() = entry.capacity - occupied

    /** True when it is certain that nothing runs here. */
    val isEmpty: Boolean get() = isReconciled && runs.isEmpty() && orphanedRuns.isEmpty() && !hasUnreadableRuns && startQueue.isEmpty()

    fun addRun(task: TaskRun) {
        removeRun(task.id)
        runsByTask[task.id] = task
        runsVersion++
        occupied += task.stepRun.step.occupied
        if (task.stepRun.step.isLongRunning) longRunningCount++
    }

    fun removeRun(id: TaskId) {
        val task = runsByTask.remove(id) ?: return
        runsVersion++
        occupied -= task.stepRun.step.occupied
        if (task.stepRun.step.isLongRunning) longRunningCount--
    }

    /** Frees the place of [task], whose run here has ended or never began. The task waits again unless it is done. */
    fun releaseRun(
        task: TaskRun,
        nowMs: Long,
    ) {
        removeRun(task.id)
        startQueue.remove(task)
        answeredStops.remove(task.id)
        if (task.worker !== this) return
        task.worker = null
        if (task.phase == TaskPhase.DONE) return
        task.isAtWork = false
        task.phase = TaskPhase.WAITING
        task.waitingSinceMs = nowMs
    }

    /** Called when the worker is removed: what its last orders are answered is not judged by their fence any more. */
    fun retire() {
        fence = Long.MAX_VALUE
    }

    /** Frees the places of all runs. */
    fun releaseRuns(nowMs: Long) {
        runs.values.toList().forEach { releaseRun(it, nowMs) }
        startQueue.clear()
    }

    /**
     * Discards what was known of the last incarnation, except for its runs and the starts that may still arrive. Orders to the new one
     * have [fence].
     */
    fun beginIncarnation(
        bornWallMs: Long,
        nowMs: Long,
        fence: Long,
    ) {
        incarnation++
        this.fence = fence
        orphanedRuns.clear()
        hasUnreadableRuns = false
        answeredStops.clear()
        deferredLists = null
        unsettledStarts.beginIncarnation()
        this.bornWallMs = bornWallMs
        registeredAtMs = nowMs
        listsWithoutWorker = 0
        listedClockMs = 0
        processedEnd = 0
        openEnds.clear()
        storingEnd = 0
        storedEnd = 0
        acknowledgedEnd = 0
        isReconciled = false
        isHoldInFlight = false
        holdNumber++
        record = WorkerRecord()
    }

    fun leaseLeftMs(nowMs: Long): Long = maxOf(0, leaseEndsAtMs - nowMs)

    /** A lower bound on the worker's clock at loop time [nowMs], from its last reading: a lease that starts there is never too long. */
    fun estimatedClockMs(nowMs: Long): Long = clockMs + ((nowMs - clockReadAtMs) * MIN_WORKER_CLOCK_RATE).toLong()

    /** Records a reading of the worker's clock that was received at loop time [nowMs]. */
    fun recordClock(
        workerClockMs: Long,
        nowMs: Long,
    ) {
        clockMs = workerClockMs
        clockReadAtMs = nowMs
    }

    /** Records that an order with a lease until [expiresAtWorkerMs] of the worker's clock was sent at [nowMs], whether or not it arrives. */
    fun recordLeaseSent(
        expiresAtWorkerMs: Long,
        nowMs: Long,
    ) {
        possibleLateLeases.add(nowMs)
        val upperBoundMs = clockReadAtMs + ((expiresAtWorkerMs - clockMs) / MIN_WORKER_CLOCK_RATE).toLong() + 1
        leaseEndsAtMs = maxOf(leaseEndsAtMs, upperBoundMs)
    }

    /** Records that a lease extension sent at [sentAtMs] was answered, so that it cannot arrive later. */
    fun recordLeaseAnswered(sentAtMs: Long) {
        possibleLateLeases.remove(sentAtMs)
    }

    /**
     * Extends the assumed lease of a new incarnation by what an order to the one before can still grant: such an order names a time
     * on a clock that is not this incarnation's, and grants the longest lease, [longestLeaseMs] by the loop's clock, on its arrival.
     */
    fun assumeLateLeases(
        nowMs: Long,
        longestLeaseMs: Long,
    ) {
        leaseEndsAtMs = maxOf(leaseEndsAtMs, lateLeaseEndsAtMs(nowMs, longestLeaseMs))
    }

    /** Loop time up to which an incarnation that was not reached may have a lease by an order that arrives late; 0 if there is none. */
    fun lateLeaseEndsAtMs(
        nowMs: Long,
        longestLeaseMs: Long,
    ): Long {
        possibleLateLeases.removeAll { nowMs - it >= LATE_ORDER_WINDOW_MS + longestLeaseMs }
        return possibleLateLeases.maxOrNull()?.let { it + LATE_ORDER_WINDOW_MS + longestLeaseMs } ?: 0
    }

    companion object {
        /** Holds without an answer in a row that a worker may leave and still count as responsive: one answer may be lost on its way. */
        const val LOST_HOLDS_OF_RESPONSIVE = 1
    }
}

/** A stop of the run [runNumber], and of earlier ones of its task, that the worker has answered at loop time [atMs]. */
internal data class AnsweredStop(
    val runNumber: Long,
    val atMs: Long,
)
