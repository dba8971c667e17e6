/*
 * All jobs of the owner: their acceptance, cancellation, progress and the states shown to callers. A job is accepted
 * once its row is stored, and callers see it as final once its final state is stored.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoredRow
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.ports.decodeOrNull
import io.corianderrock.jobs.state.GroupRuns
import io.corianderrock.jobs.state.JobProgress
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.JobState
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskPositions
import io.corianderrock.jobs.state.TaskRun
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.json.Json

internal val storedJson: Json = Json { ignoreUnknownKeys = true }

/** Holds the jobs in memory and writes them through [committer]. All methods and callbacks run on the event loop. */
internal class JobRegistry(
    private val loop: EventLoop,
    private val committer: Committer,
    private val log: DecisionLog,
) {
    private val jobs = HashMap<String, JobRun>()
    private val liveJobs = LinkedHashMap<String, JobRun>()

    /** Deletes jobs that have ended. */
    val retention = Retention(loop, committer, log)
    private val liveJobsByPool = HashMap<String, LinkedHashMap<String, JobRun>>()

    /** Called when a job has become final, to stop its runs. Set by [WorkerDriver]. */
    var onFinal: (JobRun) -> Unit = {}

    /** Called when the store has accepted the progress of a job that it had refused before. Set by [WorkerDriver]. */
    var onProgressAccepted: (JobRun) -> Unit = {}

    /** Called for each accepted job that is not final, also when loaded from the store; feeds the demand forecast. */
    var onAccepted: (JobRun) -> Unit = {}

    /** Accepted jobs that are not final. */
    val live: Collection<JobRun> get() = liveJobs.values

    /** Jobs that are being stored. */
    private val openJobs = HashSet<JobRun>()

    /** Tasks of all jobs that are accepted, or are being stored, and have not ended: the owner holds an object of each that is due. */
    val heldTaskCount: Long get() = liveJobs.values.sumOf { it.submission.taskCount } + openJobs.sumOf { it.submission.taskCount }

    /** The pools that have or had live jobs. */
    val pools: Set<String> get() = liveJobsByPool.keys

    /** The live jobs of [pool]. */
    fun liveIn(pool: String): Collection<JobRun> = liveJobsByPool[pool]?.values.orEmpty()

    fun find(id: String): JobRun? = jobs[id]

    /** Jobs that the store holds in a form that this version cannot read. */
    private val unreadable = HashSet<String>()

    /** True if the store holds the job [id] in a form that this version cannot read: it exists, and nothing is known of its tasks. */
    fun isUnreadable(id: String): Boolean = id in unreadable

    /** True if the store holds the job [id] and this owner does not: it cannot be read, or has ended and is about to be deleted. */
    fun isOnlyStored(id: String): Boolean = isUnreadable(id) || retention.isNotLoaded(id)

    /** Records that the store holds the job [id], which cannot be read for [reason]. */
    fun addUnreadable(
        id: String,
        reason: String,
    ) {
        if (unreadable.add(id)) log.write("job_unreadable", "job", id, "reason", reason)
    }

    /** Adds a job that is already stored, by an earlier owner or by an entry that could not reach the owner. */
    fun load(
        submission: JobSubmission,
        progress: JobProgress?,
        isInherited: Boolean,
    ): JobRun {
        val registered = jobs[submission.id]
        if (registered != null && registered.isStored) return registered
        // A write for a submission of the same job may be pending: both have to share one JobRun.
        val job = registered ?: JobRun(submission, isInherited, loop.nowMs)
        progress?.let { job.restore(it, loop.nowMs) }
        register(job)
        return job
    }

    /** Adds a stored job that can never run, without any of its tasks: it fails, and is deleted as others that have ended are. */
    fun failUnrunnable(stored: StoredJob.Unrunnable): JobRun {
        val id = stored.submission.id
        jobs[id]?.takeIf { it.isStored }?.let { return it }
        log.write("job_unrunnable", "job", id, "queue", stored.submission.queue.name, "reason", stored.reason)
        val job = jobs[id] ?: JobRun(stored.submission, isInherited = true, loop.nowMs)
        openJobs.remove(job)
        jobs[id] = job
        job.isStored = true
        finish(job, JobState.FAILED)
        storeProgress(job)
        return job
    }

    /**
     * Stores [submission]. [onAccepted] is called once it is stored, also if it was stored before; [onDropped] if the
     * ownership ends before that is known; [onWithdrawn] if the store is lost and it is certain that nothing was stored; [onRefused] if
     * the store does not accept the job, of which nothing is kept then.
     */
    fun submit(
        submission: JobSubmission,
        onDropped: () -> Unit,
        onWithdrawn: () -> Unit,
        onRefused: (WriteRefusal) -> Unit,
        onAccepted: (JobRun) -> Unit,
    ) {
        val registered = jobs[submission.id]
        if (registered != null && registered.isStored) {
            onAccepted(registered)
            return
        }
        val job = registered ?: JobRun(submission, isInherited = false, loop.nowMs).also { open(it) }
        val withdraw = {
            if (!job.isStored) forget(job)
            if (job.isStored) onAccepted(job) else onWithdrawn()
        }
        val refuse = { refusal: WriteRefusal ->
            if (!job.isStored) forget(job)
            if (job.isStored) onAccepted(job) else onRefused(refusal)
        }
        val onStored = { existing: StoredRow? ->
            if (!job.isStored) registerStored(job, existing)
            onAccepted(job)
        }
        val key = RowKey(Table.JOBS, submission.id)
        committer.put(
            key,
            mustBeAbsent = true,
            onDropped = onDropped,
            onWithdrawn = withdraw,
            onRefused = refuse,
            onStored = onStored,
        ) { storedJson.encodeToString(JobSubmission.serializer(), submission) }
    }

    private fun open(job: JobRun) {
        jobs[job.id] = job
        openJobs.add(job)
    }

    private fun forget(job: JobRun) {
        jobs.remove(job.id, job)
        openJobs.remove(job)
    }

    private fun registerStored(
        job: JobRun,
        existing: StoredRow?,
    ) {
        if (existing != null) {
            log.write("job_found_stored", "job", job.id)
            job.mayBeKnownToEarlierOwner = true
        }
        val stored = existing?.let { readJob(it) }
        when (stored) {
            is StoredJob.Unreadable -> {
                forget(job)
                addUnreadable(job.id, stored.reason)
            }
            is StoredJob.Unrunnable -> failUnrunnable(stored)
            is StoredJob.Readable, null -> register(job)
        }
    }

    private fun register(job: JobRun) {
        job.isStored = true
        openJobs.remove(job)
        jobs[job.id] = job
        if (job.state.isFinal) {
            retain(job)
            return
        }
        liveJobs[job.id] = job
        liveJobsByPool.getOrPut(job.queue.pool) { LinkedHashMap() }[job.id] = job
        job.addDueOccurrences(loop.wallMs, loop.nowMs)
        onAccepted(job)
    }

    /** Cancels [job] unless it is final already. [onStored] is called once its state is stored. */
    fun cancel(
        job: JobRun,
        onDropped: () -> Unit = {},
        onStored: () -> Unit,
    ) {
        if (!job.state.isFinal) {
            log.write("job_cancelled", "job", job.id, "queue", job.queue.name, "state", job.state)
            finish(job, JobState.CANCELLED)
        }
        storeProgress(job, onDropped = onDropped, onStored = onStored)
    }

    /** Records that a run of [task] succeeded and completes the job if this was its last task. */
    fun taskDone(task: TaskRun) {
        val job = task.stepRun.job
        job.markStarted()
        task.stepRun.markDone(task)
        completeIfDone(job)
        storeProgress(job)
    }

    /**
     * Records the failed run [runNumber], once however often workers list it. The job fails when [task] has no attempts
     * left. Failures of long-running tasks are not counted.
     */
    fun taskFailed(
        task: TaskRun,
        runNumber: Long,
    ) {
        val job = task.stepRun.job
        job.markStarted()
        if (task.stepRun.step.isLongRunning) return
        val isNew = job.addFailedRun(task, runNumber)
        val hasFailed = task.failedRuns.size >= job.queue.maxAttempts && !job.state.isFinal
        // The runs may be stored in another row than the state that follows from them, which a lost owner did not store.
        if (!isNew && !hasFailed) return
        if (hasFailed) {
            log.write("job_failed", "job", job.id, "queue", job.queue.name, "task", task.id, "runs", task.failedRuns.joinToString("+"))
            finish(job, JobState.FAILED)
        }
        storeProgress(job, task)
    }

    /**
     * Records that the worker, with which contact was lost at loop time [lostAtMs], crashed during the run [runNumber] of [task].
     * A job that ends fails after [MAX_CRASHES] crashes under one of its tasks, as further starts would only cost more workers.
     * One that lasts is to run until it is cancelled.
     */
    fun taskCrashed(
        task: TaskRun,
        runNumber: Long,
        lostAtMs: Long,
    ) {
        val job = task.stepRun.job
        if (job.state.isFinal || !job.addCrashedRun(task, runNumber)) return
        task.lastCrashAtMs = lostAtMs
        if (job.isLongRunning) {
            if (task.crashedRuns.size > MAX_KEPT_CRASHES) task.removeCrashedRun(task.crashedRuns.first())
        } else if (task.crashedRuns.size >= MAX_CRASHES) {
            log.write("job_crashes_workers", "job", job.id, "task", task.id, "runs", task.crashedRuns.joinToString("+"))
            finish(job, JobState.FAILED)
        }
        storeProgress(job, task)
    }

    /** Takes back the crash that was counted for the run [runNumber] of [task]. */
    fun withdrawCrash(
        task: TaskRun,
        runNumber: Long,
    ) {
        val job = task.stepRun.job
        if (!job.state.isFinal && task.removeCrashedRun(runNumber)) storeProgress(job, task)
    }

    /** Clears the crashes counted for [task], which has run long enough not to be their cause. */
    fun clearCrashes(task: TaskRun) {
        if (task.crashedRuns.isEmpty()) return
        task.clearCrashedRuns()
        storeProgress(task.stepRun.job, task)
    }

    /** Adds the occurrences of recurring jobs that are due by the wall clock. */
    fun addDueOccurrences() {
        for (job in liveJobs.values) job.addDueOccurrences(loop.wallMs, loop.nowMs)
    }

    /** Number of accepted jobs in the queue [queueName] of which no task has started. */
    fun pendingCount(queueName: String): Int = liveJobs.values.count { it.queue.name == queueName && it.state == JobState.QUEUED }

    private fun completeIfDone(job: JobRun) {
        if (job.state.isFinal || job.isLongRunning) return
        val isDone = job.occurrences.size == job.submission.occurrenceCount && job.occurrences.values.all { it.isDone }
        if (isDone) finish(job, JobState.COMPLETE)
    }

    private fun finish(
        job: JobRun,
        state: JobState,
    ) {
        job.state = state
        job.finishedWallMs = loop.wallMs
        liveJobs.remove(job.id)
        liveJobsByPool[job.queue.pool]?.remove(job.id)
        if (state != JobState.CANCELLED) logEnd(job)
        onFinal(job)
    }

    private fun logEnd(job: JobRun) {
        val tookMs = loop.nowMs - job.acceptedAtMs
        val forecasts = job.occurrences.values.flatMap { occurrence -> occurrence.steps.mapNotNull { it.forecast } }
        val endedCount = forecasts.sumOf { it.endedCount }
        if (endedCount == 0) {
            log.write("job_ended", "job", job.id, "queue", job.queue.name, "state", job.state, "tookMs", tookMs)
            return
        }
        val first = forecasts.first()
        log.write(
            "job_ended",
            "job",
            job.id,
            "queue",
            job.queue.name,
            "state",
            job.state,
            "tookMs",
            tookMs,
            "estimate",
            first.source,
            "samples",
            first.sampleCount,
            "sampleAgeMs",
            first.sampleAgeMs ?: "",
            "estimateMs",
            (forecasts.sumOf { it.meanMs * it.endedCount } / endedCount).toLong(),
            "ranMs",
            forecasts.sumOf { it.ranMs } / endedCount,
        )
    }

    /** Stores the progress of [job], and in the folded form the failed runs of the group of [changedTask], whose runs have changed. */
    private fun storeProgress(
        job: JobRun,
        changedTask: TaskRun? = null,
        onDropped: () -> Unit = {},
        onStored: () -> Unit = {},
    ) {
        if (!job.isFolded && !job.state.isFinal && !fitsAsLists(job)) {
            fold(job)
        } else if (job.isFolded && changedTask != null) {
            storeGroup(job, job.groupOf(changedTask))
        }
        val key = RowKey(Table.PROGRESS, job.id)
        committer.put(key, onDropped = onDropped, onRefused = onProgressRefused(job, key, onDropped), onStored = {
            onProgressStored(job, key)
            if (job.storingState.isFinal) onFinalStateStored(job)
            onStored()
        }) { progressToStore(job) }
    }

    /** The lists are encoded only when they may have outgrown a row since the last time: what they grow by is at most what the bound grows by. */
    private fun fitsAsLists(job: JobRun): Boolean {
        val limit = committer.largestValueLength
        val bound = job.largestListLength
        if (bound <= maxOf(limit, job.listsFitUpToBound)) return true
        val length = storedJson.encodeToString(JobProgress.serializer(), job.listedProgress()).length
        job.listsFitUpToBound = bound + limit - length
        return length <= limit
    }

    private fun progressToStore(job: JobRun): String {
        job.storingState = job.state
        return storedJson.encodeToString(JobProgress.serializer(), job.progress())
    }

    private fun onProgressRefused(
        job: JobRun,
        key: RowKey,
        onDropped: () -> Unit = {},
    ): (WriteRefusal) -> Unit =
        {
            job.refusedRows.add(key)
            onDropped()
        }

    private fun onProgressStored(
        job: JobRun,
        key: RowKey,
    ) {
        if (job.refusedRows.remove(key) && !job.isProgressRefused) onProgressAccepted(job)
    }

    /** From now on [job] is stored in the folded form. The row without the failed runs must not be stored before those that have them. */
    private fun fold(job: JobRun) {
        log.write("progress_folded", "job", job.id, "listLength", job.largestListLength)
        job.isFolded = true
        (job.groupsWithRuns() + job.storedGroups).forEach { storeGroup(job, it) }
        val key = RowKey(Table.PROGRESS, job.id)
        committer.putAfterPending(
            key,
            onRefused = onProgressRefused(job, key),
            onStored = { onProgressStored(job, key) },
        ) { progressToStore(job) }
    }

    private fun storeGroup(
        job: JobRun,
        group: Int,
    ) {
        job.storedGroups.add(group)
        val key = TaskPositions.groupKey(job.id, group)
        committer.put(key, onRefused = onProgressRefused(job, key), onStored = { onProgressStored(job, key) }) {
            job.groupRuns(group)?.let { storedJson.encodeToString(GroupRuns.serializer(), it) }
        }
    }

    /** Restores failed runs from [rows], the table of progress, once the jobs are loaded; deletes those of jobs that need them no more. */
    fun loadGroups(rows: List<StoredRow>) {
        for (row in rows) {
            val (id, group) = TaskPositions.parseGroupKey(row.key) ?: continue
            val job = jobs[id]
            val runs = decodeStored(GroupRuns.serializer(), row.value)
            if (isUnreadable(id)) continue
            if (job == null || job.state.isFinal) {
                committer.put(row.key) { null }
            } else if (runs != null) {
                job.restore(group, runs, loop.nowMs)
            }
        }
    }

    private fun onFinalStateStored(job: JobRun) {
        // The state of a final job may be stored again, by a cancellation.
        if (!job.visibleState.isFinal) retain(job)
        job.visibleState = job.storingState
        releaseTasksIfIdle(job)
        for (group in job.storedGroups) committer.put(TaskPositions.groupKey(job.id, group)) { null }
        job.storedGroups.clear()
    }

    private fun retain(job: JobRun) = retention.add(job.id, job.finishedWallMs) { jobs.remove(job.id, job) }

    /** Frees the task objects of a final job if none of its tasks is on a worker. */
    private fun releaseTasksIfIdle(job: JobRun) {
        if (job.tasks.all { it.phase == TaskPhase.DONE || it.phase == TaskPhase.WAITING }) job.occurrences.clear()
    }

    private companion object {
        /** Crashes under one task after which its job fails. Before the last one the task runs apart from other suspects. */
        const val MAX_CRASHES = 3

        /** Crashes kept of a task that lasts: more do not change its back-off, and the progress row of a job is bounded. */
        const val MAX_KEPT_CRASHES = 8
    }
}

internal fun <T> decodeStored(
    deserializer: DeserializationStrategy<T>,
    text: String,
): T? = storedJson.decodeOrNull(deserializer, text)
