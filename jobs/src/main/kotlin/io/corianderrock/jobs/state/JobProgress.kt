/*
 * The stored progress of a job: what must survive the loss of every process. Runs in flight are not stored; the
 * workers list them.
 */
package io.corianderrock.jobs.state

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

    /** True when nothing of the job will start any more. */
    public val isFinal: Boolean get() = this == COMPLETE || this == FAILED || this == CANCELLED
}

/** The stored progress of one step of one occurrence; [done] lists task indices, [failedRuns] the failed runs by index. */
@Serializable
public data class StepProgress(
    val occurrence: Int,
    val step: Int,
    val done: List<Int> = emptyList(),
    val failedRuns: Map<Int, List<Long>> = emptyMap(),
)

/** The stored progress of a job. [finishedWallMs] is set once [state] is final. */
@Serializable
public data class JobProgress(
    val state: JobState = JobState.QUEUED,
    val steps: List<StepProgress> = emptyList(),
    val finishedWallMs: Long = 0,
)
