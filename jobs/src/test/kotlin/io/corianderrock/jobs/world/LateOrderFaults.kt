/*
 * Faults of orders that are carried out late, together with what makes them dangerous: workers that are cut off, some of which
 * restart under their id before they are reached again, owners that are lost meanwhile, and clocks that step.
 */
package io.corianderrock.jobs.world

import io.corianderrock.jobs.runs.SchedulingSettings
import kotlin.random.Random

/** Schedules faults in [world], to be used as its only ones. The random draws are its own, so that jobs stay as they are. */
internal class LateOrderFaults(
    private val world: JobWorld,
    seed: Int,
    /** True if restarted workers have the id that they had, so that orders to their last incarnation reach the next one. */
    private val keepsIds: Boolean,
) {
    private val random = Random(seed)
    private val time = world.time

    fun schedule() {
        val beginsMs = random.nextLong(500, 4_000)
        time.after(beginsMs) { world.lateDeliveryRatio = random.nextDouble(0.1, 0.5) }
        time.after(beginsMs + random.nextLong(8_000, 18_000)) { world.lateDeliveryRatio = 0.0 }
        var atMs = beginsMs + random.nextLong(500, 3_000)
        while (atMs < LAST_FAULT_MS) {
            time.after(atMs) { injectFault() }
            atMs += random.nextLong(1_000, 5_000)
        }
    }

    private fun injectFault() {
        val durationMs = random.nextLong(500, MAX_FAULT_MS)
        when (random.nextInt(6)) {
            0, 1 -> rack().forEach { world.partition(it, durationMs) }
            2, 3 -> rack().forEach { restartBehindPartition(it, durationMs) }
            4 -> rack().forEach { restart(it, random.nextLong(20, 1_000)) }
            else -> stepClock(world.entries.random(random), durationMs)
        }
        if (random.nextInt(10) < 7) time.after(random.nextLong(0, 2_500)) { loseOwner() }
    }

    private fun rack(): List<SimWorker> =
        world
            .upWorkers()
            .filter { it.isReachable }
            .shuffled(random)
            .take(random.nextInt(1, RACK_SIZE + 1))

    /** Cuts [worker] off, which then crashes and starts again under its id before it is reached. */
    private fun restartBehindPartition(
        worker: SimWorker,
        durationMs: Long,
    ) {
        world.partition(worker, durationMs)
        val crashAfterMs = random.nextLong(0, durationMs / 2)
        val downMs = random.nextLong(20, 500)
        time.after(crashAfterMs) {
            val unreachableMs = maxOf(1, durationMs - crashAfterMs - downMs)
            if (worker.isUp) restart(worker, downMs, unreachableMs)
        }
    }

    private fun restart(
        worker: SimWorker,
        downMs: Long,
        unreachableMs: Long = 0,
    ) = if (keepsIds) world.restartUnderSameId(worker, downMs, unreachableMs) else world.crashWorker(worker, downMs)

    private fun loseOwner() {
        val owner = world.entries.firstOrNull { it.scheduler != null } ?: return
        val durationMs = random.nextLong(500, MAX_FAULT_MS)
        when (random.nextInt(4)) {
            0, 1 -> world.restart(owner, durationMs)
            2 -> world.freeze(owner, durationMs)
            else -> world.isolate(owner, durationMs)
        }
    }

    private fun stepClock(
        entry: SimEntry,
        durationMs: Long,
    ) {
        val stepMs = random.nextLong(-MAX_STEP_MS, MAX_STEP_MS)
        entry.loop.wallOffsetMs += stepMs
        val loop = entry.loop
        time.after(durationMs) { loop.wallOffsetMs -= stepMs }
    }

    private companion object {
        const val LAST_FAULT_MS = 18_000L
        const val MAX_FAULT_MS = 8_000L
        const val MAX_STEP_MS = 6_000L
        const val RACK_SIZE = 4
    }
}

/** A simulation with many long-running tasks whose faults are [LateOrderFaults]. */
internal fun lateOrderWorld(
    seed: Int,
    keepsIds: Boolean = true,
    longestLeaseMs: Long = SimWorker.MAX_LEASE_MS,
    settings: SchedulingSettings = SchedulingSettings(),
    traces: MutableList<String>? = null,
): JobWorld =
    JobWorld(
        seed,
        hasFaults = false,
        workload = Workload.LONG_RUNNING_JOBS,
        longestLeaseMs = longestLeaseMs,
        settings = settings,
        scheduleEvents = { LateOrderFaults(it, seed, keepsIds).schedule() },
        traces = traces,
    )
