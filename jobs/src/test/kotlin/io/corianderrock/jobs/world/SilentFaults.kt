/*
 * Faults in which an owner has to tell a worker that has ended from one that it does not reach: connections between one entry and one
 * worker that go silent while the worker goes on with others, lists of instances that come late or not at all, and workers that crash,
 * whose instances are shown as down until they start again under their id or another one. Orders are carried out late beside these, and
 * owners are lost.
 */
package io.corianderrock.jobs.world

import io.corianderrock.jobs.runs.SchedulingSettings
import kotlin.random.Random

/** Schedules faults in [world], to be used as its only ones. The random draws are its own, so that jobs stay as they are. */
internal class SilentFaults(
    private val world: JobWorld,
    seed: Int,
) {
    private val random = Random(seed * 37L + 5)
    private val time = world.time

    /** Shares of the lists of instances that come late and that get no answer while [areListsDisrupted]. */
    private var lateListRatio = 0.0
    private var lostListRatio = 0.0
    private var areListsDisrupted = false

    fun schedule() {
        world.instanceLists = InstanceListAnswers { nextListMs() }
        val beginsMs = random.nextLong(500, 4_000)
        time.after(beginsMs) { world.lateDeliveryRatio = random.nextDouble(0.0, MAX_LATE_RATIO) }
        time.after(beginsMs + random.nextLong(8_000, 18_000)) { world.lateDeliveryRatio = 0.0 }
        var atMs = beginsMs
        while (atMs < LAST_FAULT_MS) {
            time.after(atMs) { injectFault() }
            atMs += random.nextLong(500, 3_500)
        }
    }

    private fun nextListMs(): Long? {
        if (!areListsDisrupted) return UNDISTURBED_LIST_MS
        val draw = random.nextDouble()
        return when {
            draw < lostListRatio -> null
            draw < lostListRatio + lateListRatio -> random.nextLong(LEAST_LATE_LIST_MS, MAX_LATE_LIST_MS + 1)
            else -> UNDISTURBED_LIST_MS
        }
    }

    private fun injectFault() {
        val durationMs = random.nextLong(500, MAX_FAULT_MS)
        if (random.nextInt(2) == 0) disruptLists(durationMs)
        when (random.nextInt(7)) {
            0, 1, 2 -> silenceConnections(durationMs)
            3 -> rack().forEach { world.partition(it, durationMs) }
            4, 5 -> rack().forEach { crash(it, random.nextLong(20, MAX_DOWN_MS)) }
            else -> crashSilenced(durationMs)
        }
        if (random.nextInt(10) < 4) time.after(random.nextLong(0, 2_500)) { loseOwner() }
    }

    private fun disruptLists(durationMs: Long) {
        areListsDisrupted = true
        lateListRatio = random.nextDouble(0.2, 0.6)
        lostListRatio = random.nextDouble(0.0, 0.4)
        time.after(durationMs) { areListsDisrupted = false }
    }

    /** Silences the connections of the owner to some workers, and at times those of other entries. */
    private fun silenceConnections(durationMs: Long) {
        val workers = rack()
        val entries = if (random.nextInt(4) == 0) world.entries else listOfNotNull(owner())
        for (entry in entries) workers.forEach { world.silence(entry, it.entry.id, durationMs) }
    }

    /** Silences the connections of the owner to some workers, of which some start again meanwhile: it does not see the restart. */
    private fun crashSilenced(durationMs: Long) {
        val owner = owner() ?: return
        for (worker in rack()) {
            world.silence(owner, worker.entry.id, durationMs)
            time.after(random.nextLong(0, durationMs)) { if (worker.isUp) crash(worker, random.nextLong(20, 1_000)) }
        }
    }

    /** Crashes [worker], which starts again after [downMs] under its id, at times out of reach at first, or under another one. */
    private fun crash(
        worker: SimWorker,
        downMs: Long,
    ) {
        val unreachableMs = if (random.nextInt(3) == 0) random.nextLong(500, 4_000) else 0
        if (random.nextInt(3) > 0) world.restartUnderSameId(worker, downMs, unreachableMs) else world.crashWorker(worker, downMs)
    }

    private fun rack(): List<SimWorker> =
        world
            .upWorkers()
            .filter { it.isReachable }
            .shuffled(random)
            .take(random.nextInt(1, RACK_SIZE + 1))

    private fun owner(): SimEntry? = world.entries.firstOrNull { it.scheduler != null }

    private fun loseOwner() {
        val owner = owner() ?: return
        val durationMs = random.nextLong(500, MAX_FAULT_MS)
        when (random.nextInt(4)) {
            0, 1 -> world.restart(owner, durationMs)
            2 -> world.freeze(owner, durationMs)
            else -> world.isolate(owner, durationMs)
        }
    }

    private companion object {
        const val UNDISTURBED_LIST_MS = 3L
        const val LEAST_LATE_LIST_MS = 100L
        const val MAX_LATE_LIST_MS = 3_000L
        const val MAX_LATE_RATIO = 0.4
        const val LAST_FAULT_MS = 18_000L
        const val MAX_FAULT_MS = 8_000L
        const val MAX_DOWN_MS = 5_000L
        const val RACK_SIZE = 3
    }
}

/** A simulation with many long-running tasks whose faults are [SilentFaults]. */
internal fun silentFaultWorld(
    seed: Int,
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
        scheduleEvents = { SilentFaults(it, seed).schedule() },
        traces = traces,
        showsCrashedInstancesDown = true,
    )
