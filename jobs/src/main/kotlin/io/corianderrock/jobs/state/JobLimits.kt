/*
 * The numbers of a job that its caller or the operator chooses, and the values that they may have. Sums and products of numbers within
 * these limits fit into 64 bits, so that code that computes with a job needs no checks of its own.
 */
package io.corianderrock.jobs.state

/** Largest number of tasks of a job. */
internal const val MAX_TASKS: Long = 20_000

/** The most tasks that a job may have in any version: their positions in the stored progress have 32 bits. */
internal const val MAX_RECORDABLE_TASKS: Long = Int.MAX_VALUE.toLong()

/** 100,000 cores, in thousandths, or 100 TB of memory, in MB: the most that one machine may have. */
public const val MAX_CAPACITY: Int = 100_000_000

/** The end of the year 9999, in milliseconds since the Unix epoch. */
public const val MAX_WALL_MS: Long = 253_402_300_799_999

/** Ten years. */
private const val MAX_DURATION_MS = 315_576_000_000L
private const val MAX_STRETCH_FACTOR = 1e6
private const val SEVERAL_JOBS = "submit several jobs"

/** A number of a job with the values that it may have. */
public enum class JobNumber(
    internal val max: Long,
    internal val min: Long = 0,
    /** What a caller may do whose number is too large. */
    internal val remedy: String = "",
) {
    TASK_COUNT(MAX_TASKS, min = 1, remedy = SEVERAL_JOBS),
    CPU_MILLI(MAX_CAPACITY.toLong()),
    MEMORY_MB(MAX_CAPACITY.toLong()),
    GPU_COUNT(MAX_CAPACITY.toLong()),
    ESTIMATE_MS(MAX_DURATION_MS),
    MAX_PER_WORKER(MAX_CAPACITY.toLong()),
    RESPONSE_TARGET_MS(MAX_DURATION_MS),
    MAX_UNAVAILABLE(MAX_CAPACITY.toLong()),
    TIMES(MAX_TASKS, remedy = SEVERAL_JOBS),
    INTERVAL_MS(MAX_DURATION_MS),
    FIRST_DUE_WALL_MS(MAX_WALL_MS),
    ;

    internal fun permits(value: Long): Boolean = value in min..max

    internal fun nearest(value: Long): Long = value.coerceIn(min, max)
}

/** The [value] of [number] that is outside its limits. [step] is the index of its step, null for a number of the whole job. */
internal data class LimitViolation(
    val number: JobNumber,
    val step: Int?,
    val value: Long,
) {
    /** Names the field, its value and the limit; [nameOf] gives the field's name in the form in which the caller sent it. */
    fun describe(nameOf: (JobNumber) -> String): String {
        val field = if (step == null) nameOf(number) else "steps[$step].${nameOf(number)}"
        val bound = if (value < number.min) "at least ${number.min} is needed" else "at most ${number.max} is allowed"
        val negative = if (value < 0) ", which is negative" else ""
        val remedy = if (value > number.max && number.remedy.isNotEmpty()) "; ${number.remedy}" else ""
        return "$field is $value$negative; $bound$remedy"
    }
}

/** The first number of this job that is outside its limits; null if there is none. */
internal fun JobSubmission.limitViolation(): LimitViolation? {
    val ofJob =
        listOf(JobNumber.TIMES to times.toLong(), JobNumber.INTERVAL_MS to intervalMs, JobNumber.FIRST_DUE_WALL_MS to firstDueWallMs)
    ofJob.firstOrNull { (number, value) -> !number.permits(value) }?.let { (number, value) -> return LimitViolation(number, null, value) }
    for ((index, step) in steps.withIndex()) {
        val (number, value) = step.numbers().firstOrNull { (number, value) -> !number.permits(value) } ?: continue
        return LimitViolation(number, index, value)
    }
    return null
}

private fun Step.numbers(): List<Pair<JobNumber, Long>> =
    listOf(
        JobNumber.TASK_COUNT to count.toLong(),
        JobNumber.CPU_MILLI to demand.cpuMilli.toLong(),
        JobNumber.MEMORY_MB to demand.memoryMb.toLong(),
        JobNumber.GPU_COUNT to demand.gpuCount.toLong(),
        JobNumber.ESTIMATE_MS to estimateMs,
        JobNumber.MAX_PER_WORKER to (maxPerWorker ?: 0).toLong(),
        JobNumber.RESPONSE_TARGET_MS to (responseTargetMs ?: 0),
        JobNumber.MAX_UNAVAILABLE to (maxUnavailable ?: 0).toLong(),
    )

/**
 * This job as an earlier version has accepted it, with the numbers that may be moved to their nearest limit without changing which tasks it
 * has: a demand beyond every machine remains one, and a time that never comes does.
 */
internal fun JobSubmission.withinLimits(): JobSubmission =
    copy(
        queue = queue.withinLimits(),
        steps = steps.map { it.withinLimits() },
        intervalMs = JobNumber.INTERVAL_MS.nearest(intervalMs),
        firstDueWallMs = JobNumber.FIRST_DUE_WALL_MS.nearest(firstDueWallMs),
    )

private fun Step.withinLimits(): Step =
    copy(
        demand =
            demand.copy(
                cpuMilli = minOf(demand.cpuMilli, MAX_CAPACITY),
                memoryMb = minOf(demand.memoryMb, MAX_CAPACITY),
                gpuCount = minOf(demand.gpuCount, MAX_CAPACITY),
            ),
        estimateMs = JobNumber.ESTIMATE_MS.nearest(estimateMs),
        maxPerWorker = maxPerWorker?.let { JobNumber.MAX_PER_WORKER.nearest(it.toLong()).toInt() },
        responseTargetMs = responseTargetMs?.let(JobNumber.RESPONSE_TARGET_MS::nearest),
        maxUnavailable = maxUnavailable?.let { JobNumber.MAX_UNAVAILABLE.nearest(it.toLong()).toInt() },
    )

/** This queue with each number that the operator chose moved to its nearest limit: a configuration cannot be refused. */
public fun Queue.withinLimits(): Queue =
    copy(
        maxAttempts = maxAttempts.coerceIn(1, MAX_CAPACITY),
        stretchFactor = stretchFactor.coerceIn(0.0, MAX_STRETCH_FACTOR),
        targetLatencyMs = targetLatencyMs.coerceIn(0, MAX_DURATION_MS),
    )
