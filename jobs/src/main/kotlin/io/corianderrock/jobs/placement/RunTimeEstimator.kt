/*
 * Estimates run times from observed runs, by queue. Declared estimates are inaccurate and are used only until a few runs
 * have ended.
 */
package io.corianderrock.jobs.placement

import io.corianderrock.jobs.state.JobEstimate
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.StepRun

internal class RunTimeEstimator {
    private class Mean(
        var valueMs: Double,
        var sampleCount: Int,
    )

    private val meanByQueue = HashMap<String, Mean>()

    /** Adds a run of [tookMs] milliseconds to the moving mean of [queueName]. */
    fun observe(
        queueName: String,
        tookMs: Long,
    ) {
        val mean = meanByQueue.getOrPut(queueName) { Mean(tookMs.toDouble(), 0) }
        mean.sampleCount++
        mean.valueMs += (tookMs - mean.valueMs) / minOf(mean.sampleCount, MEAN_WINDOW_RUNS)
    }

    /** The expected run time of one task of [stepRun], in milliseconds. */
    fun expectedMs(stepRun: StepRun): Double {
        val mean = meanByQueue[stepRun.job.queue.name]
        if (mean != null && mean.sampleCount >= MIN_SAMPLE_COUNT) return mean.valueMs
        return maxOf(stepRun.step.estimateMs, MIN_ESTIMATE_MS).toDouble()
    }

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

        /** Maximum number of runs in the moving mean. */
        const val MEAN_WINDOW_RUNS = 200

        /** Number of ended runs from which the mean replaces the declared estimates. */
        const val MIN_SAMPLE_COUNT = 5

        /** Lower bound on declared estimates, since callers may declare zero. */
        const val MIN_ESTIMATE_MS = 100L

        /** Millicores in a core. */
        const val MILLI = 1_000.0
    }
}
