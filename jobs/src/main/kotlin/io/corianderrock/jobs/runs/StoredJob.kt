/*
 * Jobs as this version reads them from the store. A row that it cannot read may be one that a later version has written, beside which this
 * one runs while entries are replaced one after the other.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.StoredRow
import io.corianderrock.jobs.state.GroupRuns
import io.corianderrock.jobs.state.JobProgress
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.MAX_RECORDABLE_TASKS
import io.corianderrock.jobs.state.TaskPositions
import io.corianderrock.jobs.state.decodeBits
import io.corianderrock.jobs.state.withinLimits

/** A job that the store holds. */
internal sealed interface StoredJob {
    /** The [submission], and its [progress] if there is any. */
    data class Readable(
        val submission: JobSubmission,
        val progress: JobProgress?,
    ) : StoredJob

    /**
     * The [submission] has more tasks than the progress of a job can record in any version, so that none of them can have run. An
     * earlier version accepted such jobs, as it computed the number with an overflow.
     */
    data class Unrunnable(
        val submission: JobSubmission,
        val reason: String,
    ) : StoredJob

    /** The job exists, and nothing may be concluded about its tasks. */
    data class Unreadable(
        val reason: String,
    ) : StoredJob
}

/** Reads the job in [row] with the [progress] in its row; null if there is no such row. */
internal fun readJob(
    row: StoredRow,
    progress: StoredRow? = null,
): StoredJob {
    val submission = decodeStored(JobSubmission.serializer(), row.value)?.withinLimits() ?: return StoredJob.Unreadable("not a job")
    if (submission.taskCount > MAX_RECORDABLE_TASKS) {
        val ended = progress?.let { decodeStored(JobProgress.serializer(), it.value) }?.takeIf { it.state.isFinal }
        return if (ended != null) StoredJob.Readable(submission, ended) else StoredJob.Unrunnable(submission, unrunnableReason(submission))
    }
    submission.validationError()?.let { return StoredJob.Unreadable(it) }
    if (progress == null) return StoredJob.Readable(submission, progress = null)
    val read = decodeStored(JobProgress.serializer(), progress.value) ?: return StoredJob.Unreadable("not the progress of a job")
    val areBitsValid = read.doneBitmap.let { it == null || decodeBits(it) != null }
    return if (areBitsValid) StoredJob.Readable(submission, read) else StoredJob.Unreadable("the bitmap of its done tasks is not Base64")
}

private fun unrunnableReason(submission: JobSubmission): String =
    "${submission.taskCount} tasks, and the progress of a job records at most $MAX_RECORDABLE_TASKS"

/** The jobs of which a row of failed runs is among [rows], the table of progress, that cannot be read. */
internal fun jobsWithUnreadableGroups(rows: List<StoredRow>): Set<String> =
    rows.mapNotNullTo(HashSet()) { row ->
        val (id, _) = TaskPositions.parseGroupKey(row.key) ?: return@mapNotNullTo null
        id.takeIf { decodeStored(GroupRuns.serializer(), row.value) == null }
    }
