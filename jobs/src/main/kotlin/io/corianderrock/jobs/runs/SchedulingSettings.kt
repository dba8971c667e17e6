/*
 * Which of the optional scheduling decisions a deployment uses.
 */
package io.corianderrock.jobs.runs

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** From what the run time of a task is expected. */
@Serializable
public enum class RunTimeSource {
    /** The moving mean of the queue's runs. */
    @SerialName("mean")
    MEAN,

    /** The caller's declared estimate alone. */
    @SerialName("declared")
    DECLARED,

    /** The model that learns from ended runs. */
    @SerialName("learned")
    LEARNED,
}

/** Optional decisions, all off by default. */
@Serializable
public data class SchedulingSettings(
    val runTimes: RunTimeSource = RunTimeSource.MEAN,
    /** Orders waiting work by what its caller can still gain. */
    val ranksByRemainingGain: Boolean = false,
    /** Refuses jobs that cannot end in time. */
    val refusesHopelessJobs: Boolean = false,
    /** Judges workers by the speed of their runs. */
    val judgesWorkerSpeed: Boolean = false,
    /** Lets tasks wait for their preferred rack while that is shorter than running remotely. */
    val waitsForPreferredRack: Boolean = false,
    /** Keeps the workers that become free soonest for wide tasks that fit on none. */
    val keepsRoomForWideTasks: Boolean = false,
    /** Packs long-running tasks together and other tasks beside them, so that other workers empty. */
    val packsLongRunningTasks: Boolean = false,
    /** Serves callers from the store, or refuses their queries, when the owner does not answer in time. */
    val bypassesSilentOwner: Boolean = false,
    /** Cordons instances soon after the demand of their pool has fallen, and keeps them for the next pool for a while. */
    val drainsSurplusEarly: Boolean = false,
    /** A new owner estimates the demand of each pool from the jobs that it inherits. */
    val estimatesInheritedDemand: Boolean = false,
    /** Expects a demand peak over a range of times when the intervals between peaks differ. */
    val toleratesUnevenIntervals: Boolean = false,
    /** Releases only usable instances beyond the current work, without counting those that are still joining. */
    val keepsUsableInstances: Boolean = false,
    /** Starts best-effort tasks beside tasks with a response time target when they would wait otherwise, and paces them. */
    val sharesServingWorkers: Boolean = false,
)
