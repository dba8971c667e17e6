/*
 * Refuses jobs whose tasks the owner could not hold in memory, as it would run out of memory over them, and so would each owner that loads
 * them. The bound follows from the heap of the process. Large jobs leave a part of it to small ones, so that a few of them do not shut these out.
 */
package io.corianderrock.jobs.contention

import io.corianderrock.jobs.entry.AdmissionPolicy
import io.corianderrock.jobs.entry.Refusal
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.state.JobSubmission

/** How many tasks the owner may hold. */
public data class TaskCapacity(
    /** Tasks of all jobs that have not ended. */
    val taskCount: Long = Long.MAX_VALUE,
) {
    /** The most tasks of a job that counts as small, and that is accepted by an entry that cannot ask the owner. */
    public val smallJobTaskCount: Long get() = taskCount / SMALL_JOB_DIVISOR

    /** The most tasks that all jobs may have together once one of [jobTaskCount] tasks is accepted. */
    internal fun limitFor(jobTaskCount: Long): Long =
        if (jobTaskCount <= smallJobTaskCount) taskCount else taskCount / LARGE_JOBS_DIVISOR * LARGE_JOBS_MULTIPLIER

    public companion object {
        private const val SMALL_JOB_DIVISOR = 200L

        /** Large jobs take three quarters. */
        private const val LARGE_JOBS_DIVISOR = 4L
        private const val LARGE_JOBS_MULTIPLIER = 3L

        /** An upper bound of the memory that a waiting task takes. */
        internal const val BYTES_PER_TASK = 250L

        /** The part of the heap that tasks may take: two fifths. The rest is for workers, rows on their way and the collector. */
        private const val HEAP_DIVISOR = 5L
        private const val HEAP_MULTIPLIER = 2L

        /** The capacity of a process whose heap may grow to [maxHeapBytes]. */
        public fun ofHeap(maxHeapBytes: Long): TaskCapacity = TaskCapacity(maxHeapBytes / HEAP_DIVISOR * HEAP_MULTIPLIER / BYTES_PER_TASK)
    }
}

/** Admits jobs to [registry] within [capacity]. */
internal class MemoryAdmission(
    private val registry: JobRegistry,
    private val log: DecisionLog,
    private val capacity: TaskCapacity,
    /** Time in which the jobs that have not ended can be carried out. */
    private val backlogMs: () -> Double,
) : AdmissionPolicy {
    override fun refusalOf(submission: JobSubmission): Refusal? {
        val taskCount = submission.taskCount
        val limit = capacity.limitFor(taskCount)
        val heldCount = registry.heldTaskCount
        val excess = heldCount + taskCount - limit
        if (excess <= 0) return null
        val retryAfterMs = (backlogMs() * excess / heldCount.coerceAtLeast(1)).toLong().coerceIn(MIN_RETRY_MS, MAX_RETRY_MS)
        log.write(
            "job_refused",
            "job",
            submission.id,
            "account",
            submission.account,
            "reason",
            "memory",
            "retryAfterMs",
            retryAfterMs,
            "tasks",
            taskCount,
            "heldTasks",
            heldCount,
            "limit",
            limit,
        )
        return Refusal("the job has $taskCount tasks, and $heldCount of $limit are held; retry later, or submit smaller jobs", retryAfterMs)
    }

    private companion object {
        const val MIN_RETRY_MS = 1_000L
        const val MAX_RETRY_MS = 60_000L
    }
}
