/*
 * How many instances each pool needs now: for the tasks that last, for what runs and waits, and for what is expected
 * to arrive while another instance would be on its way.
 */
package io.corianderrock.jobs.fleet

import io.corianderrock.jobs.placement.RunTimeEstimator
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobRun
import kotlin.math.ceil
import kotlin.math.max

/** The need of one pool in instances, with the inputs that decided it. */
internal data class PoolNeed(
    val instanceCount: Int,
    val longRunningInstanceCount: Int,
    val runningCpuMilli: Int,
    val waitingWorkCoreMs: Double,
    val arrivingCpuMilli: Double,
    /** Instances that tasks that last fill, without regard to their spread. */
    val longRunningInstances: Double = 0.0,
    /** Instances that the work arriving now keeps filled. */
    val arrivingInstances: Double = 0.0,
    /** The same when an instance that is ordered now has joined. */
    val risingInstances: Double = 0.0,
)

internal class PoolDemand(
    private val loop: EventLoop,
    private val registry: JobRegistry,
    private val runTimes: RunTimeEstimator,
) {
    private val arrivals = HashMap<String, ArrivalRate>()

    /** Notes the work of a job that has just been accepted. */
    fun onAccepted(job: JobRun) {
        if (job.isLongRunning || job.isInherited) return
        arrivals.getOrPut(job.queue.pool) { ArrivalRate() }.add(runTimes.remainingCoreMs(job), loop.nowMs)
    }

    /** Returns the need of each pool that has live jobs. [capacity] is that of one instance of the pool. */
    fun needs(capacity: (String) -> Demand): Map<String, PoolNeed> {
        val jobsByPool = registry.live.groupBy { it.queue.pool }
        return (jobsByPool.keys + arrivals.keys).associateWith { need(it, jobsByPool[it].orEmpty(), capacity(it)) }
    }

    private fun need(
        pool: String,
        jobs: List<JobRun>,
        capacity: Demand,
    ): PoolNeed {
        var longRunning = Demand()
        var spread = 0
        var running = Demand()
        var waiting = Demand()
        var waitingWork = 0.0
        val tooLate = jobs.filterTo(HashSet()) { !it.isLongRunning && runTimes.countsAsMissed(it, loop.nowMs) }
        for (run in jobs.asSequence().flatMap { it.occurrences.values }.flatMap { it.steps }) {
            val step = run.step
            if (step.isLongRunning) {
                longRunning += times(step.occupied, step.count)
                step.maxPerWorker?.let { spread = max(spread, (step.count + it - 1) / max(1, it)) }
                continue
            }
            running += times(step.occupied, run.occupyingCount)
            if (step.after.any {
                    !run.job.occurrences
                        .getValue(run.occurrence)
                        .steps[it]
                        .isDone
                }
            ) {
                continue
            }
            if (run.job in tooLate) continue
            val waitingCount = run.waitingCount
            waiting += times(step.occupied, waitingCount)
            waitingWork += waitingCount * step.occupied.cpuMilli * runTimes.expectedMs(run) / MILLI
        }
        val arriving = (arrivals[pool]?.at(loop.nowMs) ?: 0.0) * MILLI
        val backlogCpu = minOf(waiting.cpuMilli.toDouble(), waitingWork * MILLI / BACKLOG_HORIZON_MS)
        val ordinaryCpu = max(arriving * ARRIVAL_MARGIN, running.cpuMilli + backlogCpu)
        val ordinaryMemory = (running.memoryMb + waiting.memoryMb * (if (waiting.cpuMilli == 0) 1.0 else backlogCpu / waiting.cpuMilli))
        val longRunningCount =
            max(
                spread,
                max(count(longRunning.cpuMilli.toDouble(), capacity.cpuMilli), count(longRunning.memoryMb.toDouble(), capacity.memoryMb)),
            )
        val total =
            maxOf(
                longRunningCount,
                count(longRunning.cpuMilli + ordinaryCpu / FILL_SHARE, capacity.cpuMilli),
                count(longRunning.memoryMb + ordinaryMemory / FILL_SHARE, capacity.memoryMb),
            )
        return PoolNeed(
            instanceCount = total,
            longRunningInstanceCount = longRunningCount,
            runningCpuMilli = running.cpuMilli,
            waitingWorkCoreMs = waitingWork,
            arrivingCpuMilli = arriving,
            longRunningInstances = max(share(longRunning.cpuMilli, capacity.cpuMilli), share(longRunning.memoryMb, capacity.memoryMb)),
            arrivingInstances = instancesFor(arriving, capacity),
            risingInstances = instancesFor((arrivals[pool]?.ahead(loop.nowMs) ?: 0.0) * MILLI, capacity),
        )
    }

    private fun times(
        demand: Demand,
        count: Int,
    ): Demand = Demand(demand.cpuMilli * count, demand.memoryMb * count, demand.gpuCount * count)

    private fun instancesFor(
        cpuMilli: Double,
        capacity: Demand,
    ): Double = cpuMilli * ARRIVAL_MARGIN / FILL_SHARE / max(1, capacity.cpuMilli)

    private fun share(
        needed: Int,
        perInstance: Int,
    ): Double = needed.toDouble() / max(1, perInstance)

    private fun count(
        needed: Double,
        perInstance: Int,
    ): Int = if (perInstance <= 0) 0 else ceil(needed / perInstance).toInt()

    private companion object {
        /** Waiting work is to be done within this time, about the run time of one task. */
        const val BACKLOG_HORIZON_MS = 900.0

        /** Room above the mean rate of arrivals, for their variation. */
        const val ARRIVAL_MARGIN = 1.1

        /** Share of an instance that can be filled before tasks stop fitting. */
        const val FILL_SHARE = 0.85

        /** Thousandths in a whole. */
        const val MILLI = 1_000.0
    }
}
