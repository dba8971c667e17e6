/*
 * Whether a job is valid and the store can hold it for as long as it lives: checked before the job is accepted, by each process that may
 * store it, as a peer of an earlier version may have checked less. A job that cannot be stored is lost.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.ExceededLimit
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoreLimits
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.TaskPositions
import io.corianderrock.jobs.state.largestFoldedLength

/** Why [submission] is not valid or a store of [limits] cannot hold it, with the limit's name and the figures; null if it can be accepted. */
internal fun unstorableReason(
    submission: JobSubmission,
    limits: StoreLimits,
): String? {
    submission.validationError()?.let { return it }
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
