/*
 * All jobs of the owner: acceptance, cancellation, progress and the states that callers are shown. A job is accepted
 * once its row is stored, and final once that is stored.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoredRow
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.ports.decodeOrNull
import io.corianderrock.jobs.state.JobProgress
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.JobState
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.json.Json

internal val storedJson: Json = Json { ignoreUnknownKeys = true }

internal class JobRegistry(
    private val loop: EventLoop,
    private val committer: Committer,
    private val log: DecisionLog,
) {
    private val jobs = HashMap<String, JobRun>()
    private val liveJobs = LinkedHashMap<String, JobRun>()

    /** Stops the runs of a job that has become final. Set by the worker driver. */
    var onFinal: (JobRun) -> Unit = {}

    /** Observes each acceptance, for the forecast of demand. */
    var onAccepted: (JobRun) -> Unit = {}

    val live: Collection<JobRun> get() = liveJobs.values

    fun find(id: String): JobRun? = jobs[id]

    /** Takes a job that lies in the store, accepted by an earlier owner or by an entry that could not reach the owner. */
    fun load(
        submission: JobSubmission,
        progress: JobProgress?,
        isInherited: Boolean,
    ): JobRun {
        val present = jobs[submission.id]
        if (present != null && present.isStored) return present
        // A submission of the same job may be on its way to the store: there is one view of a job.
        val job = present ?: JobRun(submission, isInherited, loop.nowMs)
        progress?.let { job.restore(it, loop.nowMs) }
        enter(job)
        return job
    }

    /** Stores [submission]; [onAccepted] runs once it is stored, also when it had been before. */
    fun submit(
        submission: JobSubmission,
        onAccepted: (JobRun) -> Unit,
    ) {
        val present = jobs[submission.id]
        if (present != null && present.isStored) {
            onAccepted(present)
            return
        }
        val job = present ?: JobRun(submission, isInherited = false, loop.nowMs).also { jobs[submission.id] = it }
        committer.put(RowKey(Table.JOBS, submission.id), mustBeAbsent = true, onStored = { existing ->
            if (!job.isStored) enterStored(job, existing)
            onAccepted(job)
        }) { storedJson.encodeToString(JobSubmission.serializer(), submission) }
    }

    private fun enterStored(
        job: JobRun,
        existing: StoredRow?,
    ) {
        if (existing != null) log.write("job_found_stored", "job", job.id)
        enter(job)
    }

    private fun enter(job: JobRun) {
        job.isStored = true
        jobs[job.id] = job
        if (job.state.isFinal) return
        liveJobs[job.id] = job
        if (job.submission.times == 0) job.addOccurrence(0, loop.nowMs)
        onAccepted(job)
    }

    /** Cancels a job; [onStored] runs once that is stored. */
    fun cancel(
        job: JobRun,
        onStored: () -> Unit,
    ) {
        if (!job.state.isFinal) {
            log.write("job_cancelled", "job", job.id, "queue", job.queue.name, "state", job.state)
            finish(job, JobState.CANCELLED)
        }
        storeProgress(job, onStored)
    }

    /** Notes that the run of [task] has ended as done. */
    fun taskDone(task: TaskRun) {
        val job = task.stepRun.job
        job.markStarted()
        task.stepRun.markDone(task)
        completeIfDone(job)
        storeProgress(job)
    }

    /** Counts the failed run [runNumber] once, however often it is listed; the job has failed when the task has no attempt left. */
    fun taskFailed(
        task: TaskRun,
        runNumber: Long,
    ) {
        val job = task.stepRun.job
        job.markStarted()
        if (task.stepRun.step.isLongRunning) return
        if (!task.failedRuns.add(runNumber)) return
        if (task.failedRuns.size >= job.queue.maxAttempts && !job.state.isFinal) {
            log.write("job_failed", "job", job.id, "queue", job.queue.name, "task", task.id, "runs", task.failedRuns.joinToString("+"))
            finish(job, JobState.FAILED)
        }
        storeProgress(job)
    }

    /** Adds the occurrences whose time has come. */
    fun openDueOccurrences() {
        for (job in liveJobs.values) {
            val submission = job.submission
            if (submission.times == 0) continue
            for (number in 0 until submission.times) {
                if (number in job.occurrences) continue
                if (loop.wallMs < submission.dueWallMs(number)) break
                job.addOccurrence(number, loop.nowMs)
            }
        }
    }

    /** Drops jobs that ended more than [RETENTION_MS] ago. */
    fun dropExpired() {
        val expired = jobs.values.filter { it.visibleState.isFinal && loop.wallMs - it.finishedWallMs > RETENTION_MS }.take(MAX_DROPPED)
        for (job in expired) {
            jobs.remove(job.id)
            committer.put(RowKey(Table.JOBS, job.id)) { null }
            committer.put(RowKey(Table.PROGRESS, job.id)) { null }
        }
    }

    /** Counts the accepted jobs of [queueName] of which no task has started. */
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
        if (state != JobState.CANCELLED) logEnd(job)
        onFinal(job)
    }

    private fun logEnd(job: JobRun) {
        val tookMs = loop.nowMs - job.acceptedAtMs
        log.write("job_ended", "job", job.id, "queue", job.queue.name, "state", job.state, "tookMs", tookMs)
    }

    private fun storeProgress(
        job: JobRun,
        onStored: () -> Unit = {},
    ) {
        committer.put(RowKey(Table.PROGRESS, job.id), onStored = {
            if (job.storingState.isFinal) {
                job.visibleState = job.storingState
                compact(job)
            }
            onStored()
        }) {
            job.storingState = job.state
            storedJson.encodeToString(JobProgress.serializer(), job.progress())
        }
    }

    /** Frees the task views of a final job once nothing of it runs. */
    private fun compact(job: JobRun) {
        if (job.tasks.all { it.phase == TaskPhase.DONE || it.phase == TaskPhase.WAITING }) job.occurrences.clear()
    }

    private companion object {
        /** Callers may ask for a job's state for 120 s after its end; a quarter more for slow clocks. */
        const val RETENTION_MS = 150_000L

        /** Jobs dropped in one pass, so that their deletion fits into one transaction. */
        const val MAX_DROPPED = 20
    }
}

internal fun <T> decodeStored(
    deserializer: DeserializationStrategy<T>,
    text: String,
): T? = storedJson.decodeOrNull(deserializer, text)
