/*
 * What the ended runs of a live step and of a live job tell of the rest of it. Kept with the step and the job, so that it needs
 * no bound of its own and is dropped with them.
 */
package io.corianderrock.jobs.runtimes

import kotlin.math.sqrt

/** What was expected of the tasks of a step when the first of them had not ended yet. */
internal class RunForecast(
    val medianMs: Double,
    val upperMs: Double,
    val sampleCount: Int,
    /** Where the expectation comes from: `learned`, `mean`, or `declared`, also before anything is learned. */
    val source: String,
    /** Mean run time that was expected. */
    val meanMs: Double,
    /** Time since the last run of the queue had ended when this was expected; null if none had. */
    val sampleAgeMs: Long?,
) {
    /** Number and total run time of the tasks of the step that have ended since and were seen from beginning to end. */
    var endedCount: Int = 0
        private set
    var ranMs: Long = 0
        private set

    fun add(tookMs: Long) {
        endedCount++
        ranMs += tookMs
    }
}

/** The ended runs of one step, of [queue] and [group]. */
internal class StepRunTimes(
    val queue: QueueRunTimes,
    val group: GroupOffset,
    val declaredLog: Double,
) {
    /** Estimate of the common logarithm of the step's tasks by the runs that have ended; valid if [endedCount] is above zero. */
    var baseLog: Double = 0.0
        private set
    var endedCount: Int = 0
        private set

    /** The last prediction, and what it was made from; see [LearnedRunTimes]. */
    var predictedLog: Double = 0.0
    var predictedMeanMs: Double = 0.0
    var predictedFrom: Long = -1
    private var cutCount = 0
    private var tookMean = 0.0
    private var tookSquares = 0.0

    /**
     * Records a run that took [tookLog] while [runningCount] tasks of the step were still running, when [expectedLog] was
     * expected with the deviation [taskSpread] between tasks. The first of eight tasks to end is a short one: the record is
     * moved by where its rank among the eight is expected to be.
     */
    fun add(
        tookLog: Double,
        runningCount: Int,
        expectedLog: Double,
        taskSpread: Double,
    ) {
        endedCount++
        val rank = (endedCount - RANK_SHIFT) / (endedCount + runningCount + cutCount + 1 - 2 * RANK_SHIFT)
        val corrected = tookLog - taskSpread * normalQuantile(rank)
        val centre = if (endedCount == 1) expectedLog else baseLog
        val bound = if (endedCount == 1) FIRST_CLIP else CLIP
        val deviation = (corrected - centre).coerceIn(-bound, bound)
        baseLog = centre + deviation / if (endedCount == 1) 1 else endedCount
        val clipped = (tookLog - baseLog).coerceIn(-CLIP, CLIP) + baseLog
        val delta = clipped - tookMean
        tookMean += delta / endedCount
        tookSquares += delta * (clipped - tookMean)
    }

    /** Records a run that was cut short: like a running one, it is longer than those that have ended. */
    fun addCut() {
        cutCount++
    }

    /** Standard deviation between the tasks that have ended; meaningful once all have. */
    val taskSpread: Double get() = sqrt(tookSquares / maxOf(1, endedCount - 1))

    private companion object {
        /** Blom's plotting position: the expected rank of a normal order statistic. */
        const val RANK_SHIFT = 0.375

        /** Bound on what one task tells of the others, in logarithms: twice the usual spread between tasks. */
        const val CLIP = 1.0

        /** Bound on how far the first task moves the estimate: estimates are rarely off by more than a factor of 6. */
        const val FIRST_CLIP = 1.8
    }
}

/** How far the ended runs of a job deviated from what its queue and estimates predict; later steps deviate alike. */
internal class JobRunTimes {
    var offset: Double = 0.0
        private set
    var endedCount: Int = 0
        private set

    fun add(residual: Double) {
        endedCount++
        offset += (residual.coerceIn(-MAX_RESIDUAL, MAX_RESIDUAL) - offset) / endedCount
    }

    private companion object {
        const val MAX_RESIDUAL = 1.8
    }
}

/** How the tasks of one account and image deviate from the rest of their queue. */
internal class GroupOffset {
    private var value = 0.0
    private var count = 0

    /** Zero until a few runs have ended. */
    val log: Double get() = value * count / (count + TRUSTED_RUNS)

    fun add(residual: Double) {
        count = minOf(count + 1, MEMORY_RUNS)
        value += (residual - value).coerceIn(-STEP_CLIP, STEP_CLIP) / count
    }

    private companion object {
        /** Number of runs of which the deviation counts half: tasks of a step resemble one another, so that a few steps are needed. */
        const val TRUSTED_RUNS = 24.0

        /** Runs over which the deviation is averaged. */
        const val MEMORY_RUNS = 96
        const val STEP_CLIP = 1.0
    }
}
