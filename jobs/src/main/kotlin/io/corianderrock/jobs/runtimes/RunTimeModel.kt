/*
 * Expected run times of tasks. Callers declare estimates, but not reliably, so models learn from ended runs.
 */
package io.corianderrock.jobs.runtimes

import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.state.StepRun
import io.corianderrock.jobs.state.WorkerView

/**
 * A run that took [tookMs] milliseconds. Runs that did not end [EndKind.DONE], and those that were not observed as a [isWhole] run, are
 * censored: the whole run time of the task is at least [tookMs].
 */
internal data class EndedRun(
    val stepRun: StepRun,
    val worker: WorkerView,
    val tookMs: Long,
    val kind: EndKind,
    /** False if the run continued from a checkpoint, was started by an earlier owner, or ended while the worker was not watched. */
    val isWhole: Boolean = true,
    /** Time from the order to the report, with the delays of both. */
    val occupiedMs: Long = tookMs,
)

/** Predicts how long one task of a step runs. */
internal interface RunTimeModel {
    /** The expected run time of one task of [stepRun], in milliseconds: the mean, by which work adds up. */
    fun expectedMs(stepRun: StepRun): Double

    /** The run time in milliseconds that a share [quantile], between 0 and 1, of the tasks of [stepRun] does not exceed. */
    fun quantileMs(
        stepRun: StepRun,
        quantile: Double,
    ): Double

    /** Number of ended runs that the prediction for [stepRun] is learned from; 0 if none. */
    fun sampleCount(stepRun: StepRun): Int = 0

    fun observe(run: EndedRun)
}

/** The moving mean of each queue's runs; the declared estimates until a few runs have ended. */
internal class MeanRunTimes : RunTimeModel {
    private class Mean(
        var valueMs: Double,
        var sampleCount: Int,
    )

    private val meanByQueue = HashMap<String, Mean>()

    override fun observe(run: EndedRun) {
        if (run.kind != EndKind.DONE) return
        val mean = meanByQueue.getOrPut(run.stepRun.job.queue.name) { Mean(run.occupiedMs.toDouble(), 0) }
        mean.sampleCount++
        mean.valueMs += (run.occupiedMs - mean.valueMs) / minOf(mean.sampleCount, MEAN_WINDOW_RUNS)
    }

    override fun expectedMs(stepRun: StepRun): Double {
        val mean = meanByQueue[stepRun.job.queue.name]
        if (mean != null && mean.sampleCount >= MIN_SAMPLE_COUNT) return mean.valueMs
        return maxOf(stepRun.step.estimateMs, MIN_ESTIMATE_MS).toDouble()
    }

    override fun sampleCount(stepRun: StepRun): Int =
        meanByQueue[stepRun.job.queue.name]?.sampleCount?.takeIf { it >= MIN_SAMPLE_COUNT } ?: 0

    /** Knows no spread: every quantile is the mean. */
    override fun quantileMs(
        stepRun: StepRun,
        quantile: Double,
    ): Double = expectedMs(stepRun)

    private companion object {
        /** Maximum number of runs in the moving mean. */
        const val MEAN_WINDOW_RUNS = 200

        /** Number of ended runs from which the mean replaces the declared estimates. */
        const val MIN_SAMPLE_COUNT = 5

        /** Lower bound on declared estimates, since callers may declare zero. */
        const val MIN_ESTIMATE_MS = 100L
    }
}
