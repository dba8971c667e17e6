/*
 * The scheduler's in-memory state of one job. Confined to the event loop.
 */
package io.corianderrock.jobs.state

import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.runtimes.JobRunTimes
import java.util.BitSet

/** What is expected of a job, computed at loop time [atMs]. */
internal class JobEstimate(
    /** Expected work of the tasks that are not done, in core-milliseconds. */
    val remainingCoreMs: Double,
    /** Loop time in milliseconds by which the job must end to meet its objective. */
    val objectiveDeadlineMs: Double,
    val atMs: Long,
)

/** A job. [isInherited] is true when it was stored before this owner's term. */
internal class JobRun(
    val submission: JobSubmission,
    val isInherited: Boolean,
    val acceptedAtMs: Long,
) {
    /**
     * True when an earlier owner may have started tasks of it, or may still do so: also for a job that was stored by another
     * entry during this term, since an earlier owner that does not know yet that it was replaced reads the same inbox.
     */
    var mayBeKnownToEarlierOwner: Boolean = isInherited

    /** True when the job's account is not owed the job: it was submitted beyond the account's share and accepted nevertheless. */
    var isBeyondShare: Boolean = false

    /** The last estimate; null before the first. */
    var estimate: JobEstimate? = null

    /** What is learned about the run times of its steps; null before the first run has ended. */
    var runTimes: JobRunTimes? = null
    val id: String get() = submission.id
    val queue: Queue get() = submission.queue

    /** The occurrences that are due, and those of which an earlier owner has started tasks: its clock may have been ahead. */
    val occurrences = sortedMapOf<Int, OccurrenceRun>()

    /** Number of occurrences that were found due in this term. They stay due if the time of day is set back. */
    private var dueCount = 0

    /** The state by the progress in memory, which may not be stored yet. */
    var state: JobState = JobState.QUEUED

    /** The state in the last transaction that was built, stored once that transaction is committed. */
    var storingState: JobState = JobState.QUEUED

    /** The state that callers may see: a final state only once it is stored. */
    var visibleState: JobState = JobState.QUEUED
    var finishedWallMs: Long = 0
    var isStored: Boolean = false

    /** Rows of its progress whose last value the store has refused: the stored progress is older than that in memory. */
    val refusedRows = HashSet<RowKey>()
    val isProgressRefused: Boolean get() = refusedRows.isNotEmpty()

    val isLive: Boolean get() = isStored && !state.isFinal
    val isLongRunning: Boolean = submission.steps.any { it.isLongRunning }
    val tasks: Sequence<TaskRun> get() =
        occurrences.values
            .asSequence()
            .flatMap { it.steps }
            .flatMap { it.tasks }

    /** Adds the occurrences that are due at [wallMs] by the time of day. */
    fun addDueOccurrences(
        wallMs: Long,
        nowMs: Long,
    ) {
        while (dueCount < submission.occurrenceCount && wallMs >= submission.dueWallMs(dueCount)) addOccurrence(dueCount++, nowMs)
    }

    /** True once tasks of the occurrence [number] may start. */
    fun isDue(number: Int): Boolean = submission.times == 0 || number < dueCount

    fun addOccurrence(
        number: Int,
        nowMs: Long,
    ): OccurrenceRun =
        occurrences.getOrPut(number) {
            OccurrenceRun(number, submission.steps.mapIndexed { index, step -> StepRun(this, number, index, step, nowMs) })
        }

    fun task(id: TaskId): TaskRun? =
        occurrences[id.occurrence]
            ?.steps
            ?.getOrNull(id.step)
            ?.tasks
            ?.getOrNull(id.index)

    /** The task [id], which a worker lists, so that its occurrence has begun; null if the job has no such task. */
    fun listedTask(
        id: TaskId,
        nowMs: Long,
    ): TaskRun? {
        if (id.occurrence !in 0 until submission.occurrenceCount) return null
        if (id.index !in 0 until (submission.steps.getOrNull(id.step)?.count ?: 0)) return null
        addOccurrence(id.occurrence, nowMs)
        return task(id)
    }

    fun markStarted() {
        if (state == JobState.QUEUED) state = JobState.ACTIVE
        if (visibleState == JobState.QUEUED) visibleState = JobState.ACTIVE
    }

    /** True once the progress is stored in the folded form, as the lists may not fit into a row; it stays so. */
    var isFolded: Boolean = false

    /** The groups of which a row of failed runs may be stored. */
    val storedGroups = sortedSetOf<Int>()
    private val positions by lazy(LazyThreadSafetyMode.NONE) { TaskPositions(submission) }

    /** Number of the failed and crashed runs that were counted so far. */
    private var countedRuns = 0

    /** The most characters that the progress has as lists. */
    val largestListLength: Int
        get() {
            val lists = occurrences.values.sumOf { occurrence -> occurrence.steps.sumOf { listLength(it) } }
            return PROGRESS_FRAME_LENGTH + lists + countedRuns * COUNTED_RUN_LENGTH
        }

    /** The value of [largestListLength] up to which the lists are known to fit into a row. */
    var listsFitUpToBound: Int = 0

    private fun listLength(run: StepRun): Int {
        if (run.doneCount == 0) return 0
        val indexLength = (run.step.count - 1).toString().length + 1
        return STEP_FRAME_LENGTH + run.occurrence.toString().length + run.number.toString().length + run.doneCount * indexLength
    }

    /** Adds the failed run [runNumber] of [task]; false if it was counted before. */
    fun addFailedRun(
        task: TaskRun,
        runNumber: Long,
    ): Boolean = task.addFailedRun(runNumber).also { if (it) countedRuns++ }

    /** Adds the run [runNumber] of [task], during which its worker crashed; false if it was counted before. */
    fun addCrashedRun(
        task: TaskRun,
        runNumber: Long,
    ): Boolean = task.addCrashedRun(runNumber).also { if (it) countedRuns++ }

    fun groupOf(task: TaskRun): Int = positions.groupOf(task.id)

    /** The groups with failed runs. */
    fun groupsWithRuns(): Set<Int> = tasks.filter { it.hasRunsToStore }.mapTo(sortedSetOf()) { groupOf(it) }

    /** The failed runs of the tasks of [group] that are not done; null if there are none, or if the job is final. */
    fun groupRuns(group: Int): GroupRuns? {
        if (state.isFinal) return null
        val tasks = positions.range(group).mapNotNull { positions.at(it)?.let(::task) }.filter { it.hasRunsToStore }
        if (tasks.isEmpty()) return null
        return GroupRuns(
            tasks.filter { it.failedRuns.isNotEmpty() }.associate { positions.of(it.id) to it.failedRuns.toList() },
            tasks.filter { it.crashedRuns.isNotEmpty() }.associate { positions.of(it.id) to it.crashedRuns.toList() },
        )
    }

    private val TaskRun.hasRunsToStore: Boolean get() = phase != TaskPhase.DONE && (failedRuns.isNotEmpty() || crashedRuns.isNotEmpty())

    /** The progress to store. That of a final job is its state alone: none of its tasks starts again. */
    fun progress(): JobProgress =
        when {
            state.isFinal -> JobProgress(state, finishedWallMs = finishedWallMs)
            isFolded -> JobProgress(state, doneBitmap = encodeBits(doneBits()))
            else -> listedProgress()
        }

    private fun doneBits(): BitSet {
        val bits = BitSet()
        tasks.filter { it.phase == TaskPhase.DONE }.forEach { bits.set(positions.of(it.id)) }
        return bits
    }

    fun listedProgress(): JobProgress =
        JobProgress(
            state = state,
            steps =
                occurrences.values.flatMap { it.steps }.mapNotNull { run ->
                    val done = run.tasks.filter { it.phase == TaskPhase.DONE }.map { it.id.index }
                    val failedRuns = run.tasks.filter { it.failedRuns.isNotEmpty() }.associate { it.id.index to it.failedRuns.toList() }
                    val crashedRuns = run.tasks.filter { it.crashedRuns.isNotEmpty() }.associate { it.id.index to it.crashedRuns.toList() }
                    StepProgress(run.occurrence, run.number, done, failedRuns, crashedRuns).takeUnless { it.isEmpty }
                },
            finishedWallMs = finishedWallMs,
        )

    fun restore(
        progress: JobProgress,
        nowMs: Long,
    ) {
        state = progress.state
        visibleState = progress.state
        storingState = progress.state
        finishedWallMs = progress.finishedWallMs
        if (state.isFinal) return
        for (stored in progress.steps) restore(stored, nowMs)
        progress.doneBitmap?.let { restoreBits(it, nowMs) }
        if (progress.steps.isNotEmpty()) markStarted()
    }

    private fun restoreBits(
        bitmap: String,
        nowMs: Long,
    ) {
        isFolded = true
        for (position in checkNotNull(decodeBits(bitmap)) { "job $id: the bitmap of its done tasks is not Base64" }.stream()) {
            val task = taskAt(position, nowMs) ?: continue
            task.stepRun.markDone(task)
        }
    }

    /** Restores the failed runs of [group], which were stored in a row of their own. */
    fun restore(
        group: Int,
        runs: GroupRuns,
        nowMs: Long,
    ) {
        storedGroups.add(group)
        for ((position, numbers) in runs.failedRuns) taskAt(position, nowMs)?.let { task -> numbers.forEach { addFailedRun(task, it) } }
        for ((position, numbers) in runs.crashedRuns) taskAt(position, nowMs)?.let { task -> numbers.forEach { addCrashedRun(task, it) } }
    }

    private fun taskAt(
        position: Int,
        nowMs: Long,
    ): TaskRun? {
        val id = positions.at(position) ?: return null
        return addOccurrence(id.occurrence, nowMs).steps[id.step].tasks[id.index]
    }

    private fun restore(
        stored: StepProgress,
        nowMs: Long,
    ) {
        if (stored.occurrence !in 0 until submission.occurrenceCount) return
        val run = addOccurrence(stored.occurrence, nowMs).steps.getOrNull(stored.step) ?: return
        for (index in stored.doneTaskIndices) run.tasks.getOrNull(index)?.let(run::markDone)
        for ((index, numbers) in stored.failedRuns) run.tasks.getOrNull(index)?.let { task -> numbers.forEach { addFailedRun(task, it) } }
        for ((index, numbers) in stored.crashedRuns) run.tasks.getOrNull(index)?.let { task -> numbers.forEach { addCrashedRun(task, it) } }
    }

    private companion object {
        /** The names, state and time of the end in a row of progress have some 90 characters. */
        const val PROGRESS_FRAME_LENGTH = 200

        /** Names and punctuation of a step with done tasks have 34 characters. */
        const val STEP_FRAME_LENGTH = 36

        /** A run number of up to 19 digits, with names, index and punctuation, where the step has no done tasks. */
        const val COUNTED_RUN_LENGTH = 120
    }
}
