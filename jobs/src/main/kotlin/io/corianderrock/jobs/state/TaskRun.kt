/*
 * The scheduler's in-memory state of the tasks of a job, by step and occurrence. Confined to the event loop.
 */
package io.corianderrock.jobs.state

import io.corianderrock.jobs.runtimes.RunForecast
import io.corianderrock.jobs.runtimes.StepRunTimes

/** The phase of a task. A run that is being stopped is never taken for running again, and a task that is done stays so. */
internal enum class TaskPhase {
    WAITING,

    /** A start is queued or sent, and neither an answer nor a list has shown the run. */
    STARTING,
    RUNNING,

    /** A stop was sent, also for a run that has not begun yet; the run may still occupy its worker. */
    STOPPING,
    DONE,
    ;

    /** The phases that may follow this one. A task whose run is adopted goes from [WAITING] to [RUNNING], or from one run to another. */
    private val next: Set<TaskPhase>
        get() =
            when (this) {
                WAITING -> setOf(STARTING, RUNNING, STOPPING, DONE)
                STARTING, RUNNING -> setOf(RUNNING, STOPPING, WAITING, DONE)
                STOPPING -> setOf(WAITING, DONE)
                DONE -> emptySet()
            }

    /** True if a task of this phase may have [phase] next. */
    fun mayBecome(phase: TaskPhase): Boolean = phase in next
}

/** One task. [lastRunNumber] is the highest run number known to have been used for it. */
internal class TaskRun(
    val id: TaskId,
    val stepRun: StepRun,
) {
    var phase: TaskPhase = TaskPhase.WAITING
        set(next) {
            check(field.mayBecome(next)) { "task $id changes from $field to $next, which no event allows" }
            stepRun.onPhaseChange(field, next)
            field = next
        }
    var worker: WorkerView? = null
    var runNumber: Long = 0
    var lastRunNumber: Long = 0

    private var failed: LinkedHashSet<Long>? = null
    private var crashed: LinkedHashSet<Long>? = null

    /** Numbers of the failed runs, kept so that an end counts once: a worker reports it until it is acknowledged as stored. */
    val failedRuns: Set<Long> get() = failed.orEmpty()

    /** Numbers of the runs during which their worker crashed. */
    val crashedRuns: Set<Long> get() = crashed.orEmpty()

    /** Adds [runNumber] to [failedRuns]; false if it is among them. */
    fun addFailedRun(runNumber: Long): Boolean = (failed ?: LinkedHashSet<Long>().also { failed = it }).add(runNumber)

    /** Adds [runNumber] to [crashedRuns]; false if it is among them. */
    fun addCrashedRun(runNumber: Long): Boolean = (crashed ?: LinkedHashSet<Long>().also { crashed = it }).add(runNumber)

    /** Removes [runNumber] from [crashedRuns]; false if it is not among them. */
    fun removeCrashedRun(runNumber: Long): Boolean = crashed?.remove(runNumber) == true

    fun clearCrashedRuns() {
        crashed = null
    }

    /** True if the task may be what crashed its workers, so that it must not take other tasks with it once more. */
    val isCrashSuspect: Boolean get() = crashedRuns.size >= CRASHES_BEFORE_ISOLATION

    /** True for a suspect of a job that lasts: the job is never given up for it, so that its restarts are spaced out instead. */
    val isLastingSuspect: Boolean get() = isCrashSuspect && stepRun.job.isLongRunning

    /** Loop time at which the last worker that crashed under the task was lost; null if none was in this owner's term. */
    var lastCrashAtMs: Long? = null

    /** What the task was last logged to wait for as a suspect; null if it does not wait. */
    var loggedSuspectWait: SuspectWait? = null
    var checkpoint: String? = null
    var startedAtMs: Long = 0

    /** Reading of the worker's clock when it had started the current run; null if its answer has not come. */
    var startedClockMs: Long? = null
    var waitingSinceMs: Long = 0

    /** Loop time since which the task waits for its preferred rack although others have capacity; earlier than [waitingSinceMs] if it does not. */
    var heldForRackSinceMs: Long = -1
    var lastFailedWorkerId: String? = null

    /** True once the task has failed on more than one worker, so that its failures tell nothing of a worker. */
    var hasFailedOnSeveralWorkers: Boolean = false

    /** The run that was counted as slow, or 0. */
    var slowRunNumber: Long = 0

    /**
     * True once this owner has started the task or has adopted its run: an earlier owner may not have left a run of it on
     * another worker, since it starts a task only after the last run of it has ended.
     */
    var isPlaceKnown: Boolean = false

    /** True while the worker reports that the task works at its full rate. */
    var isAtWork: Boolean = false

    /** The load of the current run in the last list that showed it, and the loop time of that list; null if none gave one. */
    var load: Long? = null
        private set
    var loadAtMs: Long = 0
        private set

    /** Records the [load] of the current run, which a list of its worker showed at loop time [nowMs]. */
    fun recordLoad(
        load: Long?,
        nowMs: Long,
    ) {
        this.load = load
        loadAtMs = nowMs
    }

    /** True if this owner has started the current run, and not from a checkpoint: its duration is the run time of the whole task. */
    var isWholeRun: Boolean = false

    val occupiesWorker: Boolean
        get() = phase == TaskPhase.STARTING || phase == TaskPhase.RUNNING || phase == TaskPhase.STOPPING

    private companion object {
        /** A single crash is more likely the worker's own than that of one of the many tasks on it. */
        const val CRASHES_BEFORE_ISOLATION = 2
    }
}

/** One step of one occurrence; [number] is its index among the job's steps. */
internal class StepRun(
    val job: JobRun,
    val occurrence: Int,
    val number: Int,
    val step: Step,
    waitingSinceMs: Long,
) {
    val tasks: List<TaskRun> =
        List(step.count) { index ->
            TaskRun(TaskId(job.id, occurrence, number, index), this).also { it.waitingSinceMs = waitingSinceMs }
        }

    /** Number of tasks by phase, so that a placement pass over many steps need not visit every task. */
    private val phaseCounts = IntArray(TaskPhase.entries.size).also { it[TaskPhase.WAITING.ordinal] = step.count }
    val doneCount: Int get() = phaseCounts[TaskPhase.DONE.ordinal]
    val waitingCount: Int get() = phaseCounts[TaskPhase.WAITING.ordinal]

    /** The tasks that wait. */
    val waiting: List<TaskRun> get() = tasks.filter { it.phase == TaskPhase.WAITING }

    /** Loop time since which every pass has left a task without a worker that has capacity; null after one that did not. */
    var withoutRoomSinceMs: Long? = null
    val occupyingCount: Int get() = step.count - doneCount - waitingCount

    /** True if a start needs a ticket, by the queue or by a worker that has refused a start without one. */
    var needsAdvice: Boolean = job.queue.needsAdvice

    /** Created when it is first needed: most queues have no policy. */
    val advice: StepAdvice by lazy(LazyThreadSafetyMode.NONE) { StepAdvice() }

    /** What is learned about the run times of its tasks; null before the first prediction. */
    var runTimes: StepRunTimes? = null

    /** What was expected of its tasks when the first of them ended; null before. */
    var forecast: RunForecast? = null

    val isDone: Boolean get() = doneCount == step.count && !step.isLongRunning

    fun markDone(task: TaskRun) {
        if (task.phase == TaskPhase.DONE) return
        task.phase = TaskPhase.DONE
        task.worker = null
    }

    fun onPhaseChange(
        before: TaskPhase,
        after: TaskPhase,
    ) {
        phaseCounts[before.ordinal]--
        phaseCounts[after.ordinal]++
    }

    /** The ticket for a start on [worker] at loop time [nowMs]; null if none is valid or needed. */
    fun ticket(
        worker: WorkerView,
        nowMs: Long,
    ): String? = if (needsAdvice) advice.ticket(worker, nowMs) else null

    /** True if the rules on advice let a task start on [worker] at loop time [nowMs]. */
    fun mayStartOn(
        worker: WorkerView,
        nowMs: Long,
    ): Boolean = !needsAdvice || advice.ticket(worker, nowMs) != null

    /** Called when [worker] has refused a start for want of a valid ticket: the queue may need advice since the job was accepted. */
    fun onTicketRefused(
        worker: WorkerView,
        nowMs: Long,
    ) {
        needsAdvice = true
        advice.onTicketRefused(worker, nowMs)
    }

    fun taskCountOn(worker: WorkerView): Int = tasks.count { it.occupiesWorker && it.worker === worker }
}

/** One execution of all steps of a job; [number] counts from zero. */
internal class OccurrenceRun(
    val number: Int,
    val steps: List<StepRun>,
) {
    val isDone: Boolean get() = steps.all { it.isDone }

    /** True when the occurrence is due and all steps that [stepRun] depends on are done. */
    fun isReady(stepRun: StepRun): Boolean = stepRun.job.isDue(number) && stepRun.step.after.all { steps[it].isDone }

    /** True if [stepRun] cannot have begun before this owner's term: a task that it depends on has run in this term. */
    fun hasBecomeReadyInTerm(stepRun: StepRun): Boolean = stepRun.step.after.any { number -> steps[number].tasks.any { it.isPlaceKnown } }
}
