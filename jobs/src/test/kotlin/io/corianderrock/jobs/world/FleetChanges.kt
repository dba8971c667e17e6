/*
 * What the rule on tasks of cancelled jobs holds beside: workers that drain and leave, instances that are moved and maintained, starts that
 * are carried out late, owners that are removed for good, workers without a row in the registry, and changes of the configuration. Callers
 * cancel jobs close to these, and long-running ones at any time.
 */
package io.corianderrock.jobs.world

import io.corianderrock.jobs.runs.SchedulingSettings
import io.corianderrock.jobs.state.MaintenanceWave
import kotlin.random.Random

/** Schedules changes of the fleet in [world]. The random draws are its own, so that jobs stay as they are. */
internal class FleetChanges(
    private val world: JobWorld,
    seed: Int,
) {
    private val random = Random(seed * 31L + 11)
    private val time = world.time

    /** True from the decision to remove the owner until its next start that is carried out late. */
    private var isOwnerDue = false

    fun schedule() {
        if (world.waves.isEmpty()) world.waves.add(MaintenanceWave(1, List(WAVE_SIZE) { "m-$it" }, WAVE_S, 2))
        world.lateStartRatio = random.nextDouble(0.0, MAX_LATE_RATIO)
        world.lateInstanceOrderRatio = random.nextDouble(0.0, MAX_LATE_RATIO)
        time.after(LAST_CHANGE_MS) { world.lateStartRatio = 0.0 }
        var atMs = random.nextLong(0, 1_000)
        while (atMs < LAST_CHANGE_MS) {
            time.after(atMs) { change() }
            atMs += random.nextLong(200, 2_500)
        }
        world.events.listen { event ->
            if (event.kind == EventKind.JOB_ACCEPTED && event.jobId != null) cancelLater(event.jobId)
            if (event.kind == EventKind.ORDER_WAS_DONE) event.worker?.let(::cancelJobsOn)
            if (isOwnerDue && event.kind == EventKind.START_DELAYED) removeOwner()
        }
    }

    private fun cancelLater(id: String) {
        if (random.nextInt(3) == 0) time.after(random.nextLong(0, MAX_RUN_MS)) { world.cancel(id, CANCEL_ATTEMPTS) }
    }

    /** Cancels some of the jobs on [worker], whose instance was ordered once more what it has had. */
    private fun cancelJobsOn(worker: SimWorker) {
        val ids = worker.runningTasks.map { it.jobId }.distinct()
        for (id in ids) if (random.nextBoolean()) time.after(random.nextLong(0, 200)) { world.cancel(id, CANCEL_ATTEMPTS) }
    }

    private fun change() {
        when (random.nextInt(10)) {
            0, 1, 2 -> sound().take(random.nextInt(1, 4)).forEach(::drainLater)
            3 -> sound().firstOrNull()?.let { world.drain(it, random.nextLong(0, 200), noticeMs = random.nextLong(50, 600)) }
            4 -> hideBesideOutage()
            5 -> sound().firstOrNull()?.let { world.hide(it, random.nextLong(500, MAX_HIDDEN_MS)) }
            6, 7 -> isOwnerDue = true
            else -> world.reconfigure(random)
        }
    }

    private fun sound(): List<SimWorker> = world.upWorkers().filter { it.isReachable && !it.isDraining }.shuffled(random)

    private fun drainLater(worker: SimWorker) =
        time.after(random.nextLong(0, 1_500)) { if (worker.isUp) world.drain(worker, random.nextLong(0, 8_000)) }

    /** The store goes away, and the rows of some workers with it; they are back within two seconds of its return or later. */
    private fun hideBesideOutage() {
        val outageMs = random.nextLong(200, 2_500)
        world.takeStoreDown(outageMs)
        val hidden = sound().take(random.nextInt(1, 4))
        hidden.forEach {
            world.hide(
                it,
                outageMs + if (random.nextInt(3) == 0) random.nextLong(2_000, MAX_HIDDEN_MS) else random.nextLong(0, 2_000),
            )
        }
    }

    private fun removeOwner() {
        val owner = world.entries.firstOrNull { it.scheduler != null && !it.isStopping } ?: return
        isOwnerDue = false
        if (world.entries.count { it.isUp && !it.isStopping } <= LEAST_ENTRIES) return
        // While the store is away no other entry takes over, so that starts of this one may begin on workers that do not know the next fence.
        val outageMs = random.nextLong(500, 6_000)
        time.after(random.nextLong(0, 700)) {
            if (!owner.isUp) return@after
            if (random.nextBoolean()) world.takeStoreDown(outageMs)
            world.remove(owner, isGraceful = random.nextBoolean())
        }
    }

    private companion object {
        const val WAVE_SIZE = 4

        /** Short, so that instances are emptied while tasks run there. */
        const val WAVE_S = 10.0
        const val MAX_LATE_RATIO = 0.4
        const val LAST_CHANGE_MS = 18_000L
        const val MAX_RUN_MS = 10_000L
        const val MAX_HIDDEN_MS = 12_000L
        const val CANCEL_ATTEMPTS = 8
        const val LEAST_ENTRIES = 2
    }
}

/** Changes beside which callers cancel jobs, more of them than [EarlyCancels] has by itself. */
private val CHANGE_TRIGGERS =
    setOf(
        EventKind.RUN_STARTED,
        EventKind.RUN_LISTED,
        EventKind.RUN_ENDED,
        EventKind.OWNER_CHANGED,
        EventKind.START_DELAYED,
        EventKind.ENTRY_REMOVED,
        EventKind.WORKER_DRAINED,
        EventKind.WORKER_JOINED,
        EventKind.CONFIGURED,
    )

/** A simulation with [FleetChanges] and cancellations close to them, and without disruption but these. */
internal fun fleetChangeWorld(
    seed: Int,
    settings: SchedulingSettings = SchedulingSettings(),
    traces: MutableList<String>? = null,
): JobWorld =
    JobWorld(
        seed,
        hasFaults = false,
        workload = Workload.LASTING_CANCELS,
        instanceCount = INSTANCES,
        settings = settings,
        scheduleEvents = {
            EarlyCancels(it, seed, CHANGE_TRIGGERS).schedule()
            FleetChanges(it, seed).schedule()
        },
        traces = traces,
        workersPollThemselves = true,
        network = OVERTAKING_DELAYS,
        stopsTakeTime = true,
        answersDoneOrders = true,
        entryCount = ENTRIES,
    )

private const val INSTANCES = 8
private const val ENTRIES = 5
