/*
 * Requests and faults close to other events, spread over all pairs of an event and an action: what is rare in histories whose faults come
 * at any time is met by design. Each pair is drawn by turns over the seeds, at a random time of the history.
 */
package io.corianderrock.jobs.world

import io.corianderrock.jobs.runs.SchedulingSettings
import kotlin.random.Random

/** Acts in [world] shortly after events. The random draws are its own, so that jobs stay as they are. */
internal class Coincidences(
    private val world: JobWorld,
    private val seed: Int,
    /** True to take only actions that are no disruption, so that the rules with a time bound hold throughout. */
    private val isCalm: Boolean,
    /** True if workers restart under the id that they had as well, so that orders to their last incarnation reach the next one. */
    private val keepsIds: Boolean,
) {
    private class Plan(
        val trigger: EventKind,
        val action: (WorldEvent) -> Unit,
        val notBeforeMs: Long,
    )

    private val random = Random(seed * 7L + 3)
    private val time = world.time
    private val plans = ArrayList<Plan>()

    private val calmActions: List<(WorldEvent) -> Unit> =
        listOf(
            { event -> jobOf(event)?.let { world.cancel(it, CANCEL_ATTEMPTS) } },
            { event -> jobOf(event)?.let { world.resend(it) } },
            { event -> jobOf(event)?.let { world.askState(it) } },
            { event -> workerOf(event)?.let { world.drain(it, random.nextLong(0, 6_000)) } },
            { world.configure(null) },
            { world.askPending() },
        )

    private val disruptions: List<(WorldEvent) -> Unit> =
        listOf(
            { owner()?.let { world.restart(it, durationMs()) } },
            { owner()?.let { world.freeze(it, durationMs()) } },
            { owner()?.let { world.isolate(it, durationMs()) } },
            { event -> workerOf(event)?.let { world.partition(it, durationMs()) } },
            { event -> workerOf(event)?.let { world.crashWorker(it, durationMs()) } },
            { event -> workerOf(event)?.let { restart(it, random.nextLong(20, 500)) } },
            { world.delayOrders(random.nextLong(50, 1_000)) },
            { world.loseStoreAnswers(random.nextLong(50, 1_000)) },
            { world.takeStoreDown(random.nextLong(50, 1_000)) },
        )

    fun schedule() {
        val actions = if (isCalm) calmActions else calmActions + disruptions
        val pairCount = TRIGGERS.size * actions.size
        val startedMs = time.nowMs
        repeat(PLANS) { number ->
            // A stride without a common divisor visits all pairs before any twice.
            val pair = ((seed * PLANS + number) * STRIDE.toLong() % pairCount).toInt()
            val notBeforeMs = startedMs + random.nextLong(0, LAST_ACTION_MS)
            plans.add(Plan(TRIGGERS[pair / actions.size], actions[pair % actions.size], notBeforeMs))
            val needsTakeover = TRIGGERS[pair / actions.size] == EventKind.OWNER_CHANGED && !isCalm
            if (needsTakeover) time.after(notBeforeMs - startedMs) { owner()?.let { world.restart(it, durationMs()) } }
        }
        world.events.listen(::onEvent)
        repeat(COUNT_QUERIES) { time.after(random.nextLong(0, LAST_QUERY_MS)) { world.askPending() } }
    }

    private fun onEvent(event: WorldEvent) {
        val due = plans.firstOrNull { it.trigger == event.kind && time.nowMs >= it.notBeforeMs } ?: return
        plans.remove(due)
        val delayMs = if (random.nextBoolean()) random.nextLong(0, 6) else random.nextLong(0, EventPairs.WITHIN_MS)
        time.after(delayMs) { due.action(event) }
    }

    private fun restart(
        worker: SimWorker,
        downMs: Long,
    ) = if (keepsIds) world.restartUnderSameId(worker, downMs) else world.crashWorker(worker, downMs)

    private fun jobOf(event: WorldEvent): String? = event.jobId ?: world.jobIds.randomOrNull(random)

    private fun workerOf(event: WorldEvent): SimWorker? =
        event.worker?.takeIf { it.isUp && it.isReachable } ?: world.upWorkers().filter { it.isReachable }.randomOrNull(random)

    private fun owner(): SimEntry? = world.entries.firstOrNull { it.scheduler != null }

    private fun durationMs(): Long = random.nextLong(100, MAX_FAULT_MS)

    private companion object {
        const val PLANS = 12
        const val STRIDE = 101
        const val LAST_ACTION_MS = 14_000L
        const val LAST_QUERY_MS = 25_000L
        const val MAX_FAULT_MS = 3_000L
        const val COUNT_QUERIES = 6
        const val CANCEL_ATTEMPTS = 8
        val TRIGGERS =
            listOf(
                EventKind.JOB_SENT,
                EventKind.JOB_ACCEPTED,
                EventKind.RUN_STARTED,
                EventKind.START_ANSWERED,
                EventKind.RUN_LISTED,
                EventKind.RUN_ENDED,
                EventKind.RUN_STOPPED,
                EventKind.CANCEL_SENT,
                EventKind.CANCEL_ACKNOWLEDGED,
                EventKind.OWNER_CHANGED,
                EventKind.WORKER_DRAINED,
                EventKind.WORKER_JOINED,
                EventKind.WORKER_RESTARTED,
                EventKind.ORDERS_LATE,
            )
    }
}

/** A simulation with [Coincidences] and [EarlyCancels], every other one without disruptions. */
internal fun coincidenceWorld(
    seed: Int,
    keepsIds: Boolean = false,
    settings: SchedulingSettings = SchedulingSettings(),
    traces: MutableList<String>? = null,
): JobWorld =
    JobWorld(
        seed,
        hasFaults = false,
        workload = Workload.EARLY_CANCELS,
        settings = settings,
        scheduleEvents = {
            EarlyCancels(it, seed).schedule()
            Coincidences(it, seed, isCalm = seed % 2 == 0, keepsIds).schedule()
        },
        traces = traces,
        workersPollThemselves = true,
        network = OVERTAKING_DELAYS,
        stopsTakeTime = true,
    )
