/*
 * What the caller of a job can still gain, judged by the steps that are left. A job that has passed no deadline yet may be unable to
 * meet it, and one whose last tasks run needs no more capacity.
 */
package io.corianderrock.jobs.contention

import io.corianderrock.jobs.placement.RunTimeEstimator
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.runtimes.RunTimeModel
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.OccurrenceRun
import io.corianderrock.jobs.state.StepRun
import io.corianderrock.jobs.state.TaskPhase

/** In the order in which jobs are served. */
internal enum class GainClass { LONG_RUNNING, ON_TIME, LATE, NONE }

internal data class JobGain(
    val gainClass: GainClass,
    /** True once a task has started. */
    val hasBegun: Boolean,
    /** Expected work of the tasks that are not running yet, in core-milliseconds. */
    val waitingCoreMs: Double,
)

/** Judges jobs by the expected run times of [model] and the objectives of [runTimes]. */
internal class RemainingGain(
    private val loop: EventLoop,
    private val runTimes: RunTimeEstimator,
    private val model: RunTimeModel,
) {
    fun of(job: JobRun): JobGain = JobGain(gainClass(job), hasBegun(job), waitingCoreMs(job))

    private fun gainClass(job: JobRun): GainClass {
        if (job.isLongRunning) return GainClass.LONG_RUNNING
        val occurrence = job.occurrences.values.lastOrNull() ?: return GainClass.ON_TIME
        val endMs = loop.nowMs + (if (hasBegun(job)) 1.0 else START_MARGIN) * remainingChainMs(occurrence)
        val objectiveMs = objectiveMs(job)
        return when {
            endMs <= job.acceptedAtMs + objectiveMs -> GainClass.ON_TIME
            endMs <= job.acceptedAtMs + LATE_FACTOR * objectiveMs -> GainClass.LATE
            else -> GainClass.NONE
        }
    }

    /** The time from acceptance within which [job] is to end. */
    fun objectiveMs(job: JobRun): Double = runTimes.estimate(job, loop.nowMs).objectiveDeadlineMs - job.acceptedAtMs

    /** The expected time to the end of [occurrence] along its longest chain of steps, if all of its ready tasks start now. */
    fun remainingChainMs(occurrence: OccurrenceRun): Double {
        val endsMs = DoubleArray(occurrence.steps.size)
        for (run in occurrence.steps) endsMs[run.number] = (run.step.after.maxOfOrNull { endsMs[it] } ?: 0.0) + remainingMs(run)
        return endsMs.maxOrNull() ?: 0.0
    }

    private fun remainingMs(run: StepRun): Double =
        when {
            run.isDone -> 0.0
            run.waitingCount > 0 -> model.expectedMs(run)
            else -> runningMs(run)
        }

    /** The time to the end of the last task of [run]. One that has run longer than expected is taken for one of the slowest in a hundred. */
    private fun runningMs(run: StepRun): Double {
        // One prediction for the step, since it is made for each job in each placement pass.
        val expectedMs = model.expectedMs(run)
        var shortestMs = Double.MAX_VALUE
        var shortestOverdueMs = Double.MAX_VALUE
        for (task in run.tasks) {
            if (task.phase == TaskPhase.DONE) continue
            val elapsedMs = (loop.nowMs - task.startedAtMs).toDouble()
            if (elapsedMs <
                expectedMs
            ) {
                shortestMs = minOf(shortestMs, elapsedMs)
            } else {
                shortestOverdueMs = minOf(shortestOverdueMs, elapsedMs)
            }
        }
        val overdueMs = if (shortestOverdueMs == Double.MAX_VALUE) 0.0 else model.quantileMs(run, SLOWEST_QUANTILE) - shortestOverdueMs
        return maxOf(0.0, if (shortestMs == Double.MAX_VALUE) 0.0 else expectedMs - shortestMs, overdueMs)
    }

    private fun hasBegun(job: JobRun): Boolean = job.occurrences.values.any { it.steps.any { run -> run.waitingCount < run.step.count } }

    private fun waitingCoreMs(job: JobRun): Double =
        job.occurrences.values.sumOf { occurrence ->
            occurrence.steps.sumOf { it.waitingCount.toDouble() * it.step.occupied.cpuMilli * model.expectedMs(it) / MILLI }
        }

    companion object {
        /** A job that ends after its objective is worth a little to its caller up to this multiple of it. */
        const val LATE_FACTOR = 3.0

        /**
         * A job that is started with no time to spare mostly ends too late. 1.1 costs a fifth of the credit at five times the capacity,
         * 1.4 costs 2 % at twice the capacity; see docs/design/contention.md.
         */
        private const val START_MARGIN = 1.25
        private const val SLOWEST_QUANTILE = 0.99

        /** Millicores in a core. */
        private const val MILLI = 1_000.0
    }
}
