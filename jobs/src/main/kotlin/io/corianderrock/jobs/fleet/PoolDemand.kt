/*
 * Computes how many instances each pool needs: for long-running tasks, for running and waiting work, and for the work
 * expected to arrive while an instance ordered now is being moved.
 */
package io.corianderrock.jobs.fleet

import io.corianderrock.jobs.placement.RunTimeEstimator
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.StepRun
import kotlin.math.ceil
import kotlin.math.max

/** The number of instances that one pool needs, with the inputs of the calculation. */
internal data class PoolNeed(
    val instanceCount: Int,
    val longRunningInstanceCount: Int,
    val runningCpuMilli: Int,
    val waitingWorkCoreMs: Double,
    val arrivingCpuMilli: Double,
    /** True while a long-running task has no worker. */
    val hasWaitingLongRunning: Boolean = false,
    /** Instances filled by long-running tasks, ignoring `maxPerWorker`. */
    val longRunningInstances: Double = 0.0,
    /** Instances kept filled at the current arrival rate. */
    val arrivingInstances: Double = 0.0,
    /** Instances kept filled at the arrival rate extrapolated to when an instance ordered now would join. */
    val extrapolatedInstances: Double = 0.0,
)

/** Which of the live jobs are a reason to order instances. By default all are. */
internal interface DemandLimit {
    /** Called before the needs are computed. */
    fun refresh() {}

    /** The share of the waiting tasks of [run], between 0 and 1, that could start if there were capacity for all of them. */
    fun startableShare(run: StepRun): Double = 1.0

    /** True if the arrival of [job] counts in the forecast of arrivals. */
    fun isForecast(job: JobRun): Boolean = true
}

internal class PoolDemand(
    private val loop: EventLoop,
    private val registry: JobRegistry,
    private val runTimes: RunTimeEstimator,
    private val limit: DemandLimit = object : DemandLimit {},
    /**
     * True to estimate the arrival rate at the start of a term from the inherited jobs. Otherwise a new owner takes a peak for
     * the end of one until it has seen arrivals for about a second.
     */
    private val estimatesInheritedDemand: Boolean = false,
) {
    private val arrivals = HashMap<String, ArrivalRate>()

    /** Adds the work of a newly accepted job to the arrival rate of its pool. */
    fun onAccepted(job: JobRun) {
        if (job.isLongRunning || !limit.isForecast(job)) return
        if (job.isInherited && !estimatesInheritedDemand) return
        val rate = arrivals.getOrPut(job.queue.pool) { ArrivalRate() }
        val work = runTimes.remainingCoreMs(job)
        // By Little's law, the jobs in progress divided by the time that each takes. The remaining work counts, not the whole: a job
        // of which only a straggler is left has been in progress for several times that time.
        if (job.isInherited) rate.addInProgress(work, chainMs(job), loop.nowMs) else rate.add(work, loop.nowMs)
    }

    /** The expected duration of [job] along its longest chain of steps. */
    private fun chainMs(job: JobRun): Double {
        val steps =
            job.occurrences.values
                .lastOrNull()
                ?.steps ?: return 0.0
        val endsMs = DoubleArray(steps.size)
        for (run in steps) endsMs[run.number] = (run.step.after.maxOfOrNull { endsMs[it] } ?: 0.0) + runTimes.expectedMs(run)
        return endsMs.maxOrNull() ?: 0.0
    }

    /** Returns the need of each pool with live jobs or earlier arrivals. [capacity] gives the capacity of one instance of a pool. */
    fun needs(capacity: (String) -> Demand): Map<String, PoolNeed> {
        limit.refresh()
        return (registry.pools + arrivals.keys).associateWith { need(it, registry.liveIn(it), capacity(it)) }
    }

    private fun need(
        pool: String,
        jobs: Collection<JobRun>,
        capacity: Demand,
    ): PoolNeed {
        var longRunningCpu = 0.0
        var longRunningMemory = 0.0
        var spreadCount = 0
        var hasWaitingLongRunning = false
        var runningCpu = 0.0
        var runningMemory = 0.0
        var waitingCpu = 0.0
        var waitingMemory = 0.0
        var waitingWork = 0.0
        val missed = jobs.filterTo(HashSet()) { !it.isLongRunning && runTimes.countsAsMissed(it, loop.nowMs) }
        for (run in jobs.asSequence().flatMap { it.occurrences.values }.flatMap { it.steps }) {
            val step = run.step
            if (step.isLongRunning) {
                val count = step.count - run.waitingCount + startableCount(run)
                if (run.waitingCount > 0) hasWaitingLongRunning = true
                longRunningCpu += step.occupied.cpuMilli * count
                longRunningMemory += step.occupied.memoryMb * count
                step.maxPerWorker?.let { spreadCount = max(spreadCount, wholeInstances(count, max(1, it))) }
                continue
            }
            runningCpu += step.occupied.cpuMilli.toDouble() * run.occupyingCount
            runningMemory += step.occupied.memoryMb.toDouble() * run.occupyingCount
            val occurrence = run.job.occurrences.getValue(run.occurrence)
            if (!occurrence.isReady(run)) continue
            if (run.job in missed) continue
            val waitingCount = startableCount(run)
            waitingCpu += step.occupied.cpuMilli * waitingCount
            waitingMemory += step.occupied.memoryMb * waitingCount
            waitingWork += waitingCount * step.occupied.cpuMilli * runTimes.expectedMs(run) / MILLI
        }
        val arriving = (arrivals[pool]?.at(loop.nowMs) ?: 0.0) * MILLI
        val backlogCpu = minOf(waitingCpu, waitingWork * MILLI / BACKLOG_HORIZON_MS)
        val ordinaryCpu = max(arriving * ARRIVAL_MARGIN, runningCpu + backlogCpu)
        val ordinaryMemory = runningMemory + waitingMemory * (if (waitingCpu == 0.0) 1.0 else backlogCpu / waitingCpu)
        val longRunningCount =
            max(
                spreadCount,
                max(
                    wholeInstances(longRunningCpu, capacity.cpuMilli),
                    wholeInstances(longRunningMemory, capacity.memoryMb),
                ),
            )
        val total =
            maxOf(
                longRunningCount,
                wholeInstances(longRunningCpu + ordinaryCpu / FILL_SHARE, capacity.cpuMilli),
                wholeInstances(longRunningMemory + ordinaryMemory / FILL_SHARE, capacity.memoryMb),
            )
        return PoolNeed(
            instanceCount = total,
            longRunningInstanceCount = longRunningCount,
            hasWaitingLongRunning = hasWaitingLongRunning,
            runningCpuMilli = runningCpu.toInt(),
            waitingWorkCoreMs = waitingWork,
            arrivingCpuMilli = arriving,
            longRunningInstances =
                max(
                    instanceFraction(longRunningCpu, capacity.cpuMilli),
                    instanceFraction(longRunningMemory, capacity.memoryMb),
                ),
            arrivingInstances = instancesFor(arriving, capacity),
            extrapolatedInstances = instancesFor((arrivals[pool]?.extrapolate(loop.nowMs) ?: 0.0) * MILLI, capacity),
        )
    }

    private fun startableCount(run: StepRun): Double = if (run.waitingCount == 0) 0.0 else run.waitingCount * limit.startableShare(run)

    private fun instancesFor(
        cpuMilli: Double,
        capacity: Demand,
    ): Double = cpuMilli * ARRIVAL_MARGIN / FILL_SHARE / max(1, capacity.cpuMilli)

    private fun instanceFraction(
        needed: Double,
        perInstance: Int,
    ): Double = needed / max(1, perInstance)

    private fun wholeInstances(
        needed: Double,
        perInstance: Int,
    ): Int = if (perInstance <= 0) 0 else ceil(needed / perInstance).toInt()

    private companion object {
        /** Time within which the waiting work should be done, about the run time of one task. */
        const val BACKLOG_HORIZON_MS = 900.0

        /** Headroom over the mean arrival rate, for its variation. */
        const val ARRIVAL_MARGIN = 1.1

        /** Share of an instance that can be filled before fragmentation keeps tasks from fitting. */
        const val FILL_SHARE = 0.85

        const val MILLI = 1_000.0
    }
}
