/*
 * Whether the store can hold a job for as long as it lives: checked before the job is accepted, as a job that cannot be stored is lost.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.ExceededLimit
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoreLimits
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.TaskPositions
import io.corianderrock.jobs.state.largestFoldedLength

/** Why a store of [limits] cannot hold [submission], with the limit's name and both figures; null if it can. */
internal fun unstorableReason(
    submission: JobSubmission,
    limits: StoreLimits,
): String? {
    val job = RowKey(Table.JOBS, submission.id)
    val value = storedJson.encodeToString(JobSubmission.serializer(), submission)
    limits.exceededBy(job, value)?.let { return reason("the job", it, "use a shorter spec, fewer steps or several jobs") }
    val progress = RowKey(Table.PROGRESS, submission.id)
    limits.exceededBy(progress, " ".repeat(largestFoldedLength(submission)))?.let {
        return reason("the progress of the job's tasks", it, "submit several jobs")
    }
    // A queue of thousands of attempts: the failed runs of one task are in one row.
    val groupLength = TaskPositions.largestGroupLength(submission.queue.maxAttempts)
    return limits.exceededBy(TaskPositions.groupKey(submission.id, group = 0), " ".repeat(groupLength))?.let {
        reason("the failed runs of a task", it, "configure fewer attempts for the queue")
    }
}

private fun reason(
    what: String,
    exceeded: ExceededLimit,
    remedy: String,
): String {
    val byBytes = exceeded.sizeBytes - exceeded.limitBytes
    return "$what needs a row of ${exceeded.sizeBytes} bytes, $byBytes over ${exceeded.name}, which is ${exceeded.limitBytes}; $remedy"
}
