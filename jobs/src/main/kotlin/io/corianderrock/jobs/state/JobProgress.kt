/*
 * The stored progress of a job: the part of its state that must survive the loss of every process. Running tasks are not
 * part of it; workers report these.
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

/** The stored progress of a job. [finishedWallMs] is the wall time of its end, zero until [state] is final. */
@Serializable
public data class JobProgress(
    val state: JobState = JobState.QUEUED,
    val steps: List<StepProgress> = emptyList(),
    val finishedWallMs: Long = 0,
)
