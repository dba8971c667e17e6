/*
 * Callers that cancel jobs close to events that a cancellation can overtake: the acceptance, a start, the first list that shows a run, an
 * end and a takeover. Messages between the entries and the workers are delivered in any order.
 */
package io.corianderrock.jobs.world

import io.corianderrock.jobs.runs.SchedulingSettings
import kotlin.random.Random

/** Cancels a share of the jobs of [world]. The random draws are its own, so that jobs and faults stay as they are. */
internal class EarlyCancels(
    private val world: JobWorld,
    seed: Int,
    /** The events of which each cancellation follows one. */
    private val triggers: Set<EventKind> = TRIGGERS,
) {
    private class Plan(
        val trigger: EventKind,
        var eventsLeft: Int,
    )

    private val random = Random(seed)
    private val plans = LinkedHashMap<String, Plan>()

    fun schedule() =
        world.events.listen { event ->
            if (event.kind == EventKind.JOB_ACCEPTED && event.jobId != null) plan(event.jobId)
            plans
                .filter { (id, plan) -> plan.trigger == event.kind && (event.jobId == null || id == event.jobId) }
                .forEach { (id, plan) -> onEvent(id, plan) }
        }

    private fun plan(jobId: String) {
        if (random.nextDouble() < CANCELLED_SHARE) plans[jobId] = Plan(triggers.random(random), random.nextInt(1, MAX_EVENTS + 1))
    }

    private fun onEvent(
        jobId: String,
        plan: Plan,
    ) {
        plan.eventsLeft--
        if (plan.eventsLeft > 0 && plan.trigger in REPEATED) return
        plans.remove(jobId)
        world.time.after(random.nextLong(0, MAX_DELAY_MS + 1)) { world.cancel(jobId, attemptsLeft = CANCEL_ATTEMPTS) }
    }

    private companion object {
        const val CANCELLED_SHARE = 0.7
        const val MAX_DELAY_MS = 60L
        const val CANCEL_ATTEMPTS = 8

        /** A cancellation follows one of the first few starts, lists or ends of its job. */
        const val MAX_EVENTS = 4
        val REPEATED = setOf(EventKind.RUN_STARTED, EventKind.RUN_LISTED, EventKind.RUN_ENDED)
        val TRIGGERS = REPEATED + setOf(EventKind.JOB_ACCEPTED, EventKind.OWNER_CHANGED)
    }
}

/** Delays of messages between entries and workers. */
internal fun interface NetworkDelays {
    fun nextMs(random: Random): Long
}

/** Delays of a few milliseconds, as on a network without load. */
internal val SHORT_DELAYS = NetworkDelays { it.nextLong(1, 3) }

/** Delays over which messages on different connections overtake each other; the longest way and back stay below the timeout of an order. */
internal val OVERTAKING_DELAYS =
    NetworkDelays { random ->
        when (random.nextInt(10)) {
            in 0..5 -> random.nextLong(0, 4)
            in 6..8 -> random.nextLong(0, 40)
            else -> random.nextLong(0, 300)
        }
    }

/** A simulation with [EarlyCancels], with other faults in two of three seeds. */
internal fun earlyCancelWorld(
    seed: Int,
    settings: SchedulingSettings = SchedulingSettings(),
    traces: MutableList<String>? = null,
): JobWorld =
    JobWorld(
        seed,
        hasFaults = seed % 3 != 0,
        workload = Workload.EARLY_CANCELS,
        settings = settings,
        scheduleEvents = { EarlyCancels(it, seed).schedule() },
        traces = traces,
        workersPollThemselves = true,
        network = OVERTAKING_DELAYS,
    )
