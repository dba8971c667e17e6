/*
 * The stored progress of a job: the part of its state that must survive the loss of every process. Running tasks are not
 * part of it; workers report these.
 *
 * A job whose done tasks and failed runs may not fit into one row as lists is stored in a folded form: its done tasks as a bitmap, whose
 * size is bounded by the number of tasks that a job may have, and the failed runs of tasks that are not done in rows for a fixed number of
 * tasks each. All other jobs are stored as lists, which owners of earlier versions read as well.
 */
package io.corianderrock.jobs.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The state of a job as callers see it. */
@Serializable
public enum class JobState {
    QUEUED,
    ACTIVE,
    COMPLETE,
    FAILED,
    CANCELLED,
    ;

    /** True when no further task of the job starts. */
    public val isFinal: Boolean get() = this == COMPLETE || this == FAILED || this == CANCELLED
}

/**
 * The stored progress of one step of one occurrence: the indices of its done tasks, and by task index the numbers of the
 * runs that failed and of those during which their worker crashed.
 */
@Serializable
public data class StepProgress(
    val occurrence: Int,
    val step: Int,
    @SerialName("done") val doneTaskIndices: List<Int> = emptyList(),
    val failedRuns: Map<Int, List<Long>> = emptyMap(),
    val crashedRuns: Map<Int, List<Long>> = emptyMap(),
) {
    internal val isEmpty: Boolean get() = doneTaskIndices.isEmpty() && failedRuns.isEmpty() && crashedRuns.isEmpty()
}

/**
 * The stored progress of a job. [finishedWallMs] is the wall time of its end, zero until [state] is final. [doneBitmap] is set in the
 * folded form, in which [steps] is empty: Base64 of the bits of the done tasks, by their position in the job.
 */
@Serializable
public data class JobProgress(
    val state: JobState = JobState.QUEUED,
    val steps: List<StepProgress> = emptyList(),
    val finishedWallMs: Long = 0,
    val doneBitmap: String? = null,
)

/** The failed runs, and those during which the worker crashed, of the tasks of one group, by the position of the task in the job. */
@Serializable
internal data class GroupRuns(
    val failedRuns: Map<Int, List<Long>> = emptyMap(),
    val crashedRuns: Map<Int, List<Long>> = emptyMap(),
)
