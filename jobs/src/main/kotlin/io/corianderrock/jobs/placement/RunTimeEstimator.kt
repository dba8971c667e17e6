/*
 * Estimates the remaining work and the objective of jobs from the expected run times of their tasks.
 */
package io.corianderrock.jobs.placement

import io.corianderrock.jobs.runtimes.RunTimeModel
import io.corianderrock.jobs.state.JobEstimate
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.StepRun
import io.corianderrock.jobs.state.WorkerView

internal class RunTimeEstimator(
    private val model: RunTimeModel,
    /** True if the model knows single tasks well enough to pack workers by when their runs end. */
    val predictsEnds: Boolean = false,
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

    /** The loop time in milliseconds by which the last run on [worker] is expected to end; infinite for long-running tasks. */
    fun lastEndMs(
        worker: WorkerView,
        nowMs: Long,
    ): Double {
        var lastMs = nowMs.toDouble()
        for (task in worker.runs.values) lastMs = maxOf(lastMs, task.startedAtMs + durationMs(task.stepRun))
        return lastMs
    }

    /** The expected run time of one task of [stepRun], infinite for a long-running one. */
    fun durationMs(stepRun: StepRun): Double = if (stepRun.step.isLongRunning) Double.POSITIVE_INFINITY else expectedMs(stepRun)

    /**
     * Placement cost of a task that would keep its worker busy for longer: its share of [durationMs] after the last other run has
     * ended at [lastEndMs]. Short tasks so go beside long ones, and workers that empty soon can be returned.
     */
    fun lateEndCost(
        durationMs: Double,
        lastEndMs: Double,
        nowMs: Long,
    ): Double {
        if (lastEndMs.isInfinite()) return 0.0
        if (durationMs.isInfinite()) return LATE_END_COST
        return LATE_END_COST * ((nowMs + durationMs - lastEndMs) / durationMs).coerceIn(0.0, 1.0)
    }

    /** The expected work of the tasks of [job] that are not done, in core-milliseconds. By means, since a sum of medians is too low. */
    fun remainingCoreMs(job: JobRun): Double =
        job.occurrences.values.sumOf { occurrence ->
            occurrence.steps.sumOf { run ->
                (run.step.count - run.doneCount).toDouble() * run.step.demand.cpuMilli * expectedMs(run) / MILLI
            }
        }

    /**
     * The loop time in milliseconds by which [job] must end to meet its objective, along its longest chain of steps. By medians,
     * since a tail of long runs would move the deadline of jobs that have none.
     */
    private fun objectiveDeadlineMs(job: JobRun): Double {
        val steps =
            job.occurrences.values
                .lastOrNull()
                ?.steps ?: return job.acceptedAtMs.toDouble()
        val finishOffsetsMs = DoubleArray(steps.size)
        for (run in steps) {
            val startOffsetMs = run.step.after.maxOfOrNull { finishOffsetsMs[it] } ?: 0.0
            finishOffsetsMs[run.number] = startOffsetMs + model.quantileMs(run, MEDIAN)
        }
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

        /** As much as a quarter of a worker left unused: decides between workers that are about equally full. */
        const val LATE_END_COST = 0.25

        const val MEDIAN = 0.5

        /** Millicores in a core. */
        const val MILLI = 1_000.0
    }
}
