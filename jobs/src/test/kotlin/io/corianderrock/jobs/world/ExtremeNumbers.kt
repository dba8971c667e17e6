/*
 * Callers whose jobs have numbers drawn up to the limit of their type, beside those of other jobs. A job with a number, or a product of
 * two, outside its limits is to be refused. One within them is cancelled, as it may fit on no worker or take years.
 */
package io.corianderrock.jobs.world

import io.corianderrock.jobs.entry.CallerAnswer
import io.corianderrock.jobs.entry.JobRequest
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import kotlin.math.pow
import kotlin.random.Random

/** Schedules callers in [world], to be used as its only ones. The random draws are its own, so that jobs stay as they are. */
internal class ExtremeNumbers(
    private val world: JobWorld,
    seed: Int,
) {
    private val random = Random(seed * 59L + 13)

    /** Jobs outside the limits that an entry accepted. */
    val wronglyAccepted = ArrayList<JobSubmission>()

    fun schedule() {
        repeat(JOB_COUNT) { number -> world.time.after(random.nextLong(0, LAST_SUBMISSION_MS)) { send(extremeJob(number)) } }
    }

    private fun send(job: JobSubmission) {
        if (job.validationError() == null) {
            world.submit(job)
            world.time.after(random.nextLong(0, MAX_CANCEL_DELAY_MS)) { world.cancel(job.id, attemptsLeft = CANCEL_ATTEMPTS) }
            return
        }
        val entry = world.entries.filter { it.isUp }.randomOrNull(random) ?: return
        entry.ask(JobRequest.Submit(job)) { if (it is CallerAnswer.Applied) wronglyAccepted.add(job) }
    }

    private fun extremeJob(number: Int): JobSubmission {
        val step = Step(1, Demand(500, 500), estimateMs = 500)
        val steps =
            when (random.nextInt(8)) {
                0 -> listOf(step.copy(count = whole()))
                1 -> listOf(step.copy(demand = Demand(whole(), 500)))
                2 -> listOf(step.copy(demand = Demand(500, whole())))
                3 -> listOf(step.copy(demand = Demand(500, 500, whole())))
                4 -> listOf(step.copy(estimateMs = long()))
                5 -> listOf(step.copy(maxPerWorker = whole(), maxUnavailable = whole()))
                6 -> listOf(step.copy(count = random.nextInt(1, 200), demand = Demand(whole(), whole()), estimateMs = long()))
                else -> List(3) { step.copy(count = Int.MAX_VALUE) }
            }
        val queue = Queue("queue-a", "a", maxAttempts = 3, stretchFactor = 2.0, targetLatencyMs = 600)
        val job = JobSubmission("extreme$number", queue, "work", steps)
        return when (random.nextInt(4)) {
            0 -> job.copy(times = whole(), intervalMs = 1_000)
            1 -> job.copy(times = 2, intervalMs = long(), firstDueWallMs = long())
            else -> job
        }
    }

    /** Numbers of each length are equally likely. */
    private fun whole(): Int = 2.0.pow(random.nextDouble(0.0, Int.SIZE_BITS - 1.0)).toInt()

    private fun long(): Long = 2.0.pow(random.nextDouble(0.0, Long.SIZE_BITS - 1.0)).toLong()

    private companion object {
        const val JOB_COUNT = 12
        const val LAST_SUBMISSION_MS = 15_000L
        const val MAX_CANCEL_DELAY_MS = 3_000L
        const val CANCEL_ATTEMPTS = 8
    }
}
