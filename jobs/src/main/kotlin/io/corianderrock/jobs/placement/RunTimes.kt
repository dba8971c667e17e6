/*
 * Run times as observed, by queue. Declared estimates are far off, so they only count until a few runs have ended.
 */
package io.corianderrock.jobs.placement

import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.StepRun

internal class RunTimes {
    private class Mean(
        var valueMs: Double,
        var sampleCount: Int,
    )

    private val byQueue = HashMap<String, Mean>()

    fun observe(
        queueName: String,
        tookMs: Long,
    ) {
        val mean = byQueue.getOrPut(queueName) { Mean(tookMs.toDouble(), 0) }
        mean.sampleCount++
        mean.valueMs += (tookMs - mean.valueMs) / minOf(mean.sampleCount, WINDOW)
    }

    /** The expected run time of one task of [stepRun], in milliseconds. */
    fun expectedMs(stepRun: StepRun): Double {
        val mean = byQueue[stepRun.job.queue.name]
        if (mean != null && mean.sampleCount >= MIN_SAMPLES) return mean.valueMs
        return maxOf(stepRun.step.estimateMs, MIN_ESTIMATE_MS).toDouble()
    }

    /** Core-milliseconds that are still to be done for [job]. */
    fun remainingWork(job: JobRun): Double =
        job.occurrences.values.sumOf { occurrence ->
            occurrence.steps.sumOf { run -> (run.step.count - run.doneCount) * run.step.demand.cpuMilli * expectedMs(run) / MILLI }
        }

    /** When the objective of [job] ends, in loop time. */
    fun objectiveAtMs(job: JobRun): Double {
        val steps =
            job.occurrences.values
                .lastOrNull()
                ?.steps ?: return job.acceptedAtMs.toDouble()
        val endsMs = DoubleArray(steps.size)
        for (run in steps) endsMs[run.number] = (run.step.after.maxOfOrNull { endsMs[it] } ?: 0.0) + expectedMs(run)
        return job.acceptedAtMs + job.queue.targetLatencyMs + job.queue.stretchFactor * (endsMs.maxOrNull() ?: 0.0)
    }

    /** True when even a late end of [job] is out of reach: it still runs, but no instance is fetched for it. */
    fun isTooLate(
        job: JobRun,
        nowMs: Long,
    ): Boolean = nowMs - job.acceptedAtMs > LATE_FACTOR * (objectiveAtMs(job) - job.acceptedAtMs)

    private companion object {
        /** A job counts as late up to this multiple of its objective, and as missed after. */
        const val LATE_FACTOR = 3.0

        /** Runs over which the mean moves. */
        const val WINDOW = 200

        /** Ended runs after which the mean replaces estimates. */
        const val MIN_SAMPLES = 5

        /** Lower bound on declared estimates, some of which are zero. */
        const val MIN_ESTIMATE_MS = 100L

        /** Thousandths in a whole. */
        const val MILLI = 1_000.0
    }
}
