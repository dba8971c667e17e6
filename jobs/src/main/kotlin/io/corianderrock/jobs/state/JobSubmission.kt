/*
 * A caller's submission: a job of steps, each with one or more tasks, and the queue it was submitted to. Submissions are
 * immutable and are stored as accepted.
 */
package io.corianderrock.jobs.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient

/** A queue of jobs, as configured when the job was accepted. */
@Serializable
public data class Queue(
    val name: String,
    val pool: String,
    /** Queues with a lower number come first. */
    val priority: Int = 0,
    /** Number of failed runs of one task after which its job fails. */
    val maxAttempts: Int = 1,
    /** The objective of a job is this factor times the run time of its longest chain of steps, plus [targetLatencyMs]. */
    val stretchFactor: Double = 1.0,
    val targetLatencyMs: Long = 0,
    /** True when a step may run only on workers for which the advice service grants a ticket. */
    val needsAdvice: Boolean = false,
)

/** The resources that one task of a step needs on its worker. */
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

    internal fun fitsIn(capacity: Demand): Boolean =
        cpuMilli <= capacity.cpuMilli && memoryMb <= capacity.memoryMb && gpuCount <= capacity.gpuCount
}

/** A step: [count] identical tasks with their placement and ordering constraints. */
@Serializable
public data class Step(
    val count: Int,
    val demand: Demand = Demand(),
    /** The caller's estimate of a task's run time, often inaccurate. */
    val estimateMs: Long = 0,
    /** Indices of earlier steps that must be done before this one starts. */
    val after: List<Int> = emptyList(),
    val isCheckpointing: Boolean = false,
    /** True when the tasks make progress only while all of them run. */
    val isGang: Boolean = false,
    val isRackSensitive: Boolean = false,
    val requiredLabel: String? = null,
    /** The rack that holds the step's data. Preferred, not required. */
    val preferredRack: String? = null,
    /** Maximum number of tasks of the step on one worker; null when unbounded. */
    val maxPerWorker: Int? = null,
    val isSpeculative: Boolean = false,
    /** True when the tasks run until the job is cancelled and are restarted whenever they end. */
    val isLongRunning: Boolean = false,
    val image: String? = null,
    /** Target for the response time of tasks that serve users; null for other tasks. */
    val responseTargetMs: Long? = null,
    /** True when the tasks use only processor time that others leave idle; their processor demand is not counted. */
    @SerialName("isFilling") val isBestEffort: Boolean = false,
    /** Maximum number of tasks that voluntary disruptions, such as drains, may interrupt at once; null when unbounded. */
    val maxUnavailable: Int? = null,
) {
    /** The demand that counts against the capacity of a worker: without processor demand for best-effort tasks. */
    @Transient
    internal val occupied: Demand = if (isBestEffort) demand.copy(cpuMilli = 0) else demand

    /** True when the tasks have users whose response times best-effort tasks on the same worker raise. */
    internal val isServing: Boolean get() = responseTargetMs != null
}

/** A job as accepted. Wall times are in milliseconds since the Unix epoch. */
@Serializable
public data class JobSubmission(
    val id: String,
    val queue: Queue,
    /** Passed to each task without being parsed. */
    val spec: String,
    val steps: List<Step>,
    /** Number of occurrences, [intervalMs] apart from [firstDueWallMs] on; zero means a single one that is due immediately. */
    val times: Int = 0,
    val intervalMs: Long = 0,
    val firstDueWallMs: Long = 0,
    /** Name of the client account whose key submitted the job; null on a public route and without accounts. */
    val account: String? = null,
) {
    internal val occurrenceCount: Int get() = maxOf(1, times)

    internal fun dueWallMs(occurrence: Int): Long = if (times == 0) 0 else firstDueWallMs + occurrence * intervalMs

    /** Returns why this submission can never run, with names of fields by [nameOf], or null when it is valid. */
    public fun validationError(nameOf: (JobNumber) -> String = { it.name }): String? {
        limitViolation()?.let { return it.describe(nameOf) }
        return when {
            steps.isEmpty() -> "steps is empty; add at least one step"
            steps.withIndex().any { (index, step) -> step.after.any { it !in 0 until index } } ->
                "a step's after lists a step that does not come before it; list only indices of earlier steps"
            taskCount > MAX_TASKS -> "the job has $taskCount tasks over all its times, at most $MAX_TASKS are allowed; submit several jobs"
            else -> null
        }
    }

    /** Number of tasks over all occurrences; [Long.MAX_VALUE] if it is larger, as a row of an earlier version may tell. */
    internal val taskCount: Long
        get() {
            val perOccurrence = steps.sumOf { it.count.toLong() }
            return if (perOccurrence > Long.MAX_VALUE / occurrenceCount) Long.MAX_VALUE else perOccurrence * occurrenceCount
        }
}

/** The identity of one task. [occurrence], [step] and [index] count from zero. */
public data class TaskId(
    val jobId: String,
    val occurrence: Int,
    val step: Int,
    val index: Int,
) {
    override fun toString(): String = "$jobId.$occurrence.$step.$index"

    public companion object {
        /** Parses the format of [toString]; null when [text] does not have it. */
        public fun parse(text: String): TaskId? {
            val parts = text.split('.')
            if (parts.size != PART_COUNT) return null
            val numbers = parts.drop(1).map { it.toIntOrNull() ?: return null }
            return TaskId(parts[0], numbers[0], numbers[1], numbers[2])
        }

        private const val PART_COUNT = 4
    }
}
