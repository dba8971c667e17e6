/*
 * Owners that are lost over jobs with several occurrences, of steps in order, gangs and steps that save checkpoints: they are killed,
 * stopped, frozen or cut off, at times one after the other, while the clocks of the entries differ by seconds. Tasks that end meanwhile are
 * reported to an owner that has not started them, of an occurrence that may not be due by its clock.
 */
package io.corianderrock.jobs.world

import io.corianderrock.jobs.runs.SchedulingSettings
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import kotlin.random.Random

/** Schedules faults in [world], to be used as its only ones. The random draws are its own, so that jobs stay as they are. */
internal class TimedJobFaults(
    private val world: JobWorld,
    seed: Int,
) {
    private val random = Random(seed * 41L + 3)
    private val time = world.time

    fun schedule() {
        if (random.nextBoolean()) setClocksApart()
        if (random.nextInt(3) == 0) delayOrders()
        var atMs = random.nextLong(500, 3_000)
        while (atMs < LAST_FAULT_MS) {
            time.after(atMs) { injectFault() }
            atMs += random.nextLong(800, 4_000)
        }
    }

    private fun setClocksApart() {
        world.checker.doClocksDiffer = true
        for (entry in world.entries) entry.wallOffsetMs = random.nextLong(-MAX_OFFSET_MS, MAX_OFFSET_MS)
    }

    private fun delayOrders() {
        val beginsMs = random.nextLong(500, 8_000)
        time.after(beginsMs) { world.lateDeliveryRatio = random.nextDouble(0.05, MAX_LATE_RATIO) }
        time.after(beginsMs + random.nextLong(4_000, 10_000)) { world.lateDeliveryRatio = 0.0 }
    }

    private fun injectFault() {
        val durationMs = random.nextLong(500, MAX_FAULT_MS)
        when (random.nextInt(8)) {
            0 -> anyWorker()?.let { world.crashWorker(it, durationMs) }
            1 -> anyWorker()?.let { world.partition(it, durationMs) }
            2 -> world.loseStoreAnswers(durationMs)
            else -> loseOwner(durationMs)
        }
    }

    private fun anyWorker(): SimWorker? = world.upWorkers().filter { it.isReachable }.randomOrNull(random)

    private fun loseOwner(durationMs: Long) {
        val owner = world.entries.firstOrNull { it.scheduler != null } ?: return
        when (random.nextInt(5)) {
            0, 1, 2 -> world.restart(owner, durationMs)
            3 -> world.freeze(owner, durationMs)
            else -> world.isolate(owner, durationMs)
        }
    }

    private companion object {
        const val LAST_FAULT_MS = 18_000L
        const val MAX_FAULT_MS = 6_000L
        const val MAX_OFFSET_MS = 2_500L
        const val MAX_LATE_RATIO = 0.3
    }
}

/** A job of the workload [Workload.TIMED_JOBS], the [number]th, that is submitted at [nowMs]. */
internal fun timedJob(
    number: Int,
    nowMs: Long,
    random: Random,
): JobSubmission {
    val pool = if (random.nextBoolean()) "a" else "b"
    val steps =
        List(random.nextInt(1, 3)) {
            val isGang = random.nextInt(3) == 0
            Step(
                count = random.nextInt(if (isGang) 2 else 1, 5),
                demand = Demand(random.nextInt(300, 1_500), 500),
                estimateMs = 500,
                after = if (it == 0) emptyList() else listOf(it - 1),
                isCheckpointing = random.nextInt(3) == 0,
                isGang = isGang,
            )
        }
    return JobSubmission(
        id = "job$number",
        queue = Queue("queue-$pool", pool, maxAttempts = 3, stretchFactor = 2.0, targetLatencyMs = 600),
        spec = "work",
        steps = steps,
        times = random.nextInt(0, 5),
        intervalMs = random.nextLong(300, 4_000),
        firstDueWallMs = nowMs + random.nextLong(-500, 4_000),
    )
}

/** A simulation of [Workload.TIMED_JOBS] whose faults are [TimedJobFaults]. In a third of the seeds entries store jobs around the owner. */
internal fun timedJobWorld(
    seed: Int,
    settings: SchedulingSettings = SchedulingSettings(),
    traces: MutableList<String>? = null,
    tampering: OrderTampering = object : OrderTampering {},
): JobWorld =
    JobWorld(
        seed,
        tampering,
        hasFaults = false,
        workload = Workload.TIMED_JOBS,
        settings = if (seed % 3 == 0) settings.copy(bypassesSilentOwner = true) else settings,
        scheduleEvents = { TimedJobFaults(it, seed).schedule() },
        traces = traces,
        workersPollThemselves = true,
    )
