/*
 * Callers who send jobs to entries at random throughout a store storm, and again as the entries' answers tell them.
 */
package io.corianderrock.jobs.world

import io.corianderrock.jobs.entry.CallerAnswer
import io.corianderrock.jobs.entry.JobRequest
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import kotlin.random.Random

/** [jobCount] jobs within [durationMs] from now on, each at most [ATTEMPTS] times. */
internal class StormCallers(
    private val world: JobWorld,
    private val random: Random,
    jobCount: Int,
    durationMs: Long,
) {
    private val accepted = HashSet<String>()

    val acceptedCount: Int get() = accepted.size

    init {
        repeat(jobCount) { number ->
            world.time.after(random.nextLong(durationMs)) { send(newJob(number)) }
        }
    }

    private fun newJob(number: Int): JobSubmission {
        val queue = Queue("queue-a", "a", maxAttempts = 3, stretchFactor = 2.0, targetLatencyMs = 600)
        return JobSubmission("storm$number", queue, "work", listOf(Step(1, Demand(300, 300))))
    }

    private fun send(job: JobSubmission) {
        world.register(job)
        attempt(job, ATTEMPTS)
    }

    private fun attempt(
        job: JobSubmission,
        attemptsLeft: Int,
    ) {
        if (attemptsLeft == 0 || job.id in accepted) return
        var isOver = false
        val again = { delayMs: Long ->
            if (!isOver) {
                isOver = true
                world.time.after(delayMs) { attempt(job, attemptsLeft - 1) }
            }
        }
        world.time.after(PATIENCE_MS) { again(0) }
        val entry = world.entries.filter { it.isUp }.randomOrNull(random)
        entry?.ask(JobRequest.Submit(job)) { answer ->
            when (answer) {
                is CallerAnswer.Applied -> {
                    isOver = true
                    if (accepted.add(job.id)) world.checker.onAccepted(job.id)
                }
                is CallerAnswer.NotApplied -> again(answer.retryAfterMs)
                else -> again(UNCERTAIN_PAUSE_MS)
            }
        }
    }

    private companion object {
        const val ATTEMPTS = 5

        /** Callers give up an attempt after 3 s. */
        const val PATIENCE_MS = 3_000L
        const val UNCERTAIN_PAUSE_MS = 500L
    }
}
