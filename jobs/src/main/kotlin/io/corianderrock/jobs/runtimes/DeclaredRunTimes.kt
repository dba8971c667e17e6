/*
 * Run times as callers declare them.
 */
package io.corianderrock.jobs.runtimes

import io.corianderrock.jobs.runs.RunTimeSource
import io.corianderrock.jobs.state.StepRun

/** The declared estimates alone, without spread. */
internal class DeclaredRunTimes : RunTimeModel {
    override fun expectedMs(stepRun: StepRun): Double = maxOf(stepRun.step.estimateMs, MIN_ESTIMATE_MS).toDouble()

    override fun quantileMs(
        stepRun: StepRun,
        quantile: Double,
    ): Double = expectedMs(stepRun)

    override fun observe(run: EndedRun): Unit = Unit

    private companion object {
        /** Lower bound on declared estimates, since callers may declare zero. */
        const val MIN_ESTIMATE_MS = 100L
    }
}

internal fun runTimeModelOf(source: RunTimeSource): RunTimeModel =
    when (source) {
        RunTimeSource.MEAN -> MeanRunTimes()
        RunTimeSource.DECLARED -> DeclaredRunTimes()
        RunTimeSource.LEARNED -> LearnedRunTimes()
    }
