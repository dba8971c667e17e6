/*
 * Callers that leave before their job is accepted and cancel it, at any entry, while the store loses answers and carries out writes late,
 * and owners are lost. Some submissions arrive again after the cancellation, as connections that broke are retried.
 */
package io.corianderrock.jobs.world

import io.corianderrock.jobs.runs.SchedulingSettings
import kotlin.random.Random

/** Schedules callers and faults in [world], to be used as its only ones. The random draws are its own, so that jobs stay as they are. */
internal class UnansweredCancels(
    private val world: JobWorld,
    seed: Int,
) {
    private val random = Random(seed * 53L + 11)
    private val time = world.time
    private val cancelled = HashSet<String>()

    fun schedule() {
        world.events.listen { event -> if (event.kind == EventKind.JOB_SENT) event.jobId?.let(::onSent) }
        var atMs = random.nextLong(200, 1_500)
        while (atMs < LAST_FAULT_MS) {
            time.after(atMs) { injectFault() }
            atMs += random.nextLong(1_000, 4_000)
        }
    }

    private fun onSent(jobId: String) {
        if (random.nextDouble() >= CANCELLED_SHARE || !cancelled.add(jobId)) return
        val delayMs = random.nextLong(0, if (random.nextBoolean()) WRITE_MS else MAX_CANCEL_DELAY_MS)
        time.after(delayMs) { world.cancel(jobId, attemptsLeft = CANCEL_ATTEMPTS) }
        if (random.nextInt(3) == 0) time.after(delayMs + random.nextLong(0, MAX_RESEND_DELAY_MS)) { world.resend(jobId) }
    }

    private fun injectFault() {
        val durationMs = random.nextLong(500, MAX_FAULT_MS)
        val owner = world.entries.firstOrNull { it.scheduler != null } ?: world.entries.random(random)
        when (random.nextInt(6)) {
            0, 1, 2 -> world.loseStoreAnswers(durationMs)
            3 -> world.restart(owner, durationMs)
            4 -> world.freeze(owner, durationMs)
            else -> world.isolate(owner, durationMs)
        }
    }

    private companion object {
        const val CANCELLED_SHARE = 0.6
        const val CANCEL_ATTEMPTS = 8

        /** A transaction with the time for which the owner collects jobs. */
        const val WRITE_MS = 40L
        const val MAX_CANCEL_DELAY_MS = 1_500L
        const val MAX_RESEND_DELAY_MS = 15_000L
        const val LAST_FAULT_MS = 18_000L
        const val MAX_FAULT_MS = 4_000L
    }
}

/** A simulation whose callers and faults are those of [UnansweredCancels]. In half of the seeds entries store jobs around a silent owner. */
internal fun unansweredCancelWorld(
    seed: Int,
    settings: SchedulingSettings = SchedulingSettings(),
    traces: MutableList<String>? = null,
): JobWorld =
    JobWorld(
        seed,
        hasFaults = false,
        workload = Workload.LASTING_CANCELS,
        settings = if (seed % 2 == 0) settings.copy(bypassesSilentOwner = true) else settings,
        scheduleEvents = { UnansweredCancels(it, seed).schedule() },
        traces = traces,
        workersPollThemselves = true,
    )
