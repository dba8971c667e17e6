/*
 * Estimates the remaining work and the objective of jobs from the expected run times of their tasks.
 */
package io.corianderrock.jobs.placement

import io.corianderrock.jobs.runtimes.RunTimeModel
import io.corianderrock.jobs.state.JobEstimate
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.StepRun

internal class RunTimeEstimator(
    private val model: RunTimeModel,
) {
    /** The expected run time of one task of [stepRun], in milliseconds. */
    fun expectedMs(stepRun: StepRun): Double = model.expectedMs(stepRun)

    /** The estimate of [job], at most [ESTIMATE_VALID_MS] old at [nowMs]: run times change slowly, and each pass needs all of them. */
    fun estimate(
        job: JobRun,
        nowMs: Long,
    ): JobEstimate {
        val last = job.estimate
        if (last != null && nowMs - last.atMs < ESTIMATE_VALID_MS) return last
        return JobEstimate(remainingCoreMs(job), objectiveDeadlineMs(job), nowMs).also { job.estimate = it }
    }

    /** The expected work of the tasks of [job] that are not done, in core-milliseconds. */
    fun remainingCoreMs(job: JobRun): Double =
        job.occurrences.values.sumOf { occurrence ->
            occurrence.steps.sumOf { run -> (run.step.count - run.doneCount) * run.step.demand.cpuMilli * expectedMs(run) / MILLI }
        }

    /** The loop time in milliseconds by which [job] must end to meet its objective, along its longest chain of steps. */
    private fun objectiveDeadlineMs(job: JobRun): Double {
        val steps =
            job.occurrences.values
                .lastOrNull()
                ?.steps ?: return job.acceptedAtMs.toDouble()
        val finishOffsetsMs = DoubleArray(steps.size)
        for (run in steps) finishOffsetsMs[run.number] = (run.step.after.maxOfOrNull { finishOffsetsMs[it] } ?: 0.0) + expectedMs(run)
        return job.acceptedAtMs + job.queue.targetLatencyMs + job.queue.stretchFactor * (finishOffsetsMs.maxOrNull() ?: 0.0)
    }

    /** True when [job] counts as missed at [nowMs]: it still runs, but no instance is added for it. */
    fun countsAsMissed(
        job: JobRun,
        nowMs: Long,
    ): Boolean = nowMs - job.acceptedAtMs > MISSED_OBJECTIVE_FACTOR * (estimate(job, nowMs).objectiveDeadlineMs - job.acceptedAtMs)

    private companion object {
        /** How long an estimate is used: a quarter of a short task's run time. */
        const val ESTIMATE_VALID_MS = 250L

        /** A job that ends after its objective counts as late up to this multiple of it, and as missed afterwards. */
        const val MISSED_OBJECTIVE_FACTOR = 3.0

        /** Millicores in a core. */
        const val MILLI = 1_000.0
    }
}
