/*
 * What a caller submits: a job of steps, each of several tasks, and the queue that it was submitted to. Submissions
 * never change; they are stored as they were accepted.
 */
package io.corianderrock.jobs.state

import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient

/** A queue of jobs as the configuration in force at the time of acceptance described it. */
@Serializable
public data class Queue(
    val name: String,
    val pool: String,
    /** Zero comes first. */
    val priority: Int = 0,
    /** Failed runs of one task after which its job has failed. */
    val maxAttempts: Int = 1,
    /** The objective of a job is this factor times its longest chain of work, plus [targetLatencyMs]. */
    val stretchFactor: Double = 1.0,
    val targetLatencyMs: Long = 0,
    /** True when a policy service names the workers that may run a step. */
    val needsAdvice: Boolean = false,
)

/** What one task of a step occupies on its worker. */
@Serializable
public data class Demand(
    val cpuMilli: Int = 0,
    val memoryMb: Int = 0,
    val gpuCount: Int = 0,
) {
    internal operator fun plus(other: Demand): Demand =
        Demand(cpuMilli + other.cpuMilli, memoryMb + other.memoryMb, gpuCount + other.gpuCount)

    internal operator fun minus(other: Demand): Demand =
        Demand(cpuMilli - other.cpuMilli, memoryMb - other.memoryMb, gpuCount - other.gpuCount)

    internal fun fitsIn(room: Demand): Boolean = cpuMilli <= room.cpuMilli && memoryMb <= room.memoryMb && gpuCount <= room.gpuCount
}

/** A step: [count] equal tasks and the constraints on where and when they run. */
@Serializable
public data class Step(
    val count: Int,
    val demand: Demand = Demand(),
    /** The caller's rough guess of a task's run time. */
    val estimateMs: Long = 0,
    /** Numbers of earlier steps that must be done first. */
    val after: List<Int> = emptyList(),
    val isCheckpointing: Boolean = false,
    /** The tasks work only while all of them are present. */
    val isGang: Boolean = false,
    val isRackSensitive: Boolean = false,
    val requiredLabel: String? = null,
    /** The rack that holds the data of the step. */
    val preferredRack: String? = null,
    /** At most this many tasks of the step on one worker; null for no bound. */
    val maxPerWorker: Int? = null,
    val isSpeculative: Boolean = false,
    /** The tasks run until the job is cancelled and are restarted however they end. */
    val isLongRunning: Boolean = false,
    val image: String? = null,
    /** Bound on the response time of a task that serves users. */
    val responseTargetMs: Long? = null,
    /** The tasks use processor time that others leave, and their processor demand is not counted. */
    val isFilling: Boolean = false,
    /** How many tasks may be away at once through actions of this product; null when unbounded. */
    val maxUnavailable: Int? = null,
) {
    /** What a task occupies; the processor demand of filling tasks does not count. */
    @Transient
    internal val occupied: Demand = if (isFilling) demand.copy(cpuMilli = 0) else demand
}

/** A job as accepted. */
@Serializable
public data class JobSubmission(
    val id: String,
    val queue: Queue,
    /** Handed to each task unread. */
    val spec: String,
    val steps: List<Step>,
    /** How many times the steps run; zero means once, at once. */
    val times: Int = 0,
    val intervalMs: Long = 0,
    val firstDueWallMs: Long = 0,
) {
    internal val occurrenceCount: Int get() = maxOf(1, times)

    internal fun dueWallMs(occurrence: Int): Long = if (times == 0) 0 else firstDueWallMs + occurrence * intervalMs

    /** Returns why this submission can never run, or null when it is well formed. */
    public fun defect(): String? =
        when {
            steps.isEmpty() -> "the job has no steps; add at least one"
            steps.any { it.count < 1 } -> "a step has no tasks; give it a count of at least 1"
            steps.withIndex().any { (index, step) -> step.after.any { it !in 0 until index } } ->
                "a step waits for a step that is not an earlier one; list only numbers of earlier steps"
            else -> null
        }
}

/** The name of one task: occurrence, step and index count from zero. */
public data class TaskId(
    val jobId: String,
    val occurrence: Int,
    val step: Int,
    val index: Int,
) {
    override fun toString(): String = "$jobId.$occurrence.$step.$index"

    public companion object {
        /** Parses what [toString] writes; null when [text] is something else. */
        public fun parse(text: String): TaskId? {
            val parts = text.split('.')
            if (parts.size != PART_COUNT) return null
            val numbers = parts.drop(1).map { it.toIntOrNull() ?: return null }
            return TaskId(parts[0], numbers[0], numbers[1], numbers[2])
        }

        private const val PART_COUNT = 4
    }
}
