/*
 * When capacity is expected to become free on a worker, by the expected ends of its runs.
 */
package io.corianderrock.jobs.placement

import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.TaskRun

/** The outlook at loop time [nowMs]. Used in one placement pass. */
internal class WorkerOutlook(
    capacity: WorkerCapacity,
    runTimes: RunTimeEstimator,
    private val nowMs: Long,
) {
    private class ExpectedEnd(
        val atMs: Double,
        val demand: Demand,
    )

    /** Loop times at which runs end, in order. Long-running tasks never end. */
    private val endsMs: DoubleArray

    /** What is free after each of [endsMs]. A pass asks for these once a waiting task and worker, so they are summed up once. */
    private val freeAfter: Array<Demand>
    private val freeNow = capacity.free
    private var claimed = Demand()

    init {
        val ends =
            capacity.worker.runs.values
                .filter { !it.stepRun.step.isLongRunning }
                .map { ExpectedEnd(expectedEndMs(it, runTimes), it.stepRun.step.occupied) }
                .sortedBy { it.atMs }
        var free = freeNow
        endsMs = DoubleArray(ends.size) { ends[it].atMs }
        freeAfter = Array(ends.size) { index -> (free + ends[index].demand).also { free = it } }
    }

    /** The loop time from which [demand] is expected to fit beside what is claimed; infinite if it never does. */
    fun freeFromMs(demand: Demand): Double {
        val needed = claimed + demand
        if (needed.fitsIn(freeNow)) return nowMs.toDouble()
        val last = freeAfter.lastOrNull() ?: return Double.POSITIVE_INFINITY
        if (!needed.fitsIn(last)) return Double.POSITIVE_INFINITY
        return endsMs[freeAfter.indexOfFirst { needed.fitsIn(it) }]
    }

    /** The capacity that is expected to be free at loop time [atMs] if nothing more starts. */
    fun freeAt(atMs: Double): Demand = freeAfter.getOrNull(endsMs.indexOfLast { it <= atMs }) ?: freeNow

    /** Counts [demand] as taken by a task that waits for it. */
    fun claim(demand: Demand) {
        claimed += demand
    }

    /** A run is expected to go on for at least half as long as it has run, since late ones are mostly of the tail. */
    private fun expectedEndMs(
        task: TaskRun,
        runTimes: RunTimeEstimator,
    ): Double {
        val elapsedMs = nowMs - task.startedAtMs
        return nowMs + maxOf(runTimes.expectedMs(task.stepRun) - elapsedMs, elapsedMs * OVERDUE_RATIO)
    }

    private companion object {
        const val OVERDUE_RATIO = 0.5
    }
}
