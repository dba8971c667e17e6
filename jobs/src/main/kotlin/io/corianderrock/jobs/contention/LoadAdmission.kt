/*
 * Refuses jobs that cannot end in time to be worth anything, so that their callers know at once and no capacity is spent on them.
 */
package io.corianderrock.jobs.contention

import io.corianderrock.jobs.entry.AdmissionPolicy
import io.corianderrock.jobs.entry.Refusal
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.JobSubmission
import kotlin.random.Random

/**
 * Estimates the end of a job from the work of its pool that is served before it. A refusal gains its caller nothing, so the estimate is
 * the most favourable one: no further job arrives, and the pool grows. [capacityCores] are the cores that the pool has or can get soon.
 */
internal class LoadAdmission(
    private val loop: EventLoop,
    private val registry: JobRegistry,
    private val gain: RemainingGain,
    private val log: DecisionLog,
    private val capacityCores: (String) -> Double,
    private val random: Random = Random.Default,
) : AdmissionPolicy {
    private class Backlog(
        val gains: List<Pair<JobRun, JobGain>>,
        val atMs: Long,
    )

    private val startedAtMs = loop.nowMs
    private val backlogByPool = HashMap<String, Backlog>()

    override fun refusalOf(submission: JobSubmission): Refusal? {
        val pool = submission.queue.pool
        val cores = capacityCores(pool)
        if (loop.nowMs - startedAtMs < MIN_TERM_MS || cores <= 0 || submission.times > 0) return null
        val backlog = backlogOf(pool)
        // Most submissions meet no backlog at all; only the others are worth an estimate.
        if (backlog.gains.sumOf { it.second.waitingCoreMs } / cores < MIN_BACKLOG_MS) return null
        val job = JobRun(submission, isInherited = false, loop.nowMs)
        val chainMs = gain.remainingChainMs(job.addOccurrence(0, loop.nowMs))
        val own = gain.of(job)
        val slackMs = gain.objectiveMs(job) - chainMs
        if (own.gainClass != GainClass.ON_TIME) return null
        val onTimeWaitMs = workBefore(backlog, job, own, GainClass.ON_TIME) / cores
        val lateWaitMs = onTimeWaitMs + workBefore(backlog, job, own, GainClass.LATE) / cores
        val lateSlackMs = RemainingGain.LATE_FACTOR * gain.objectiveMs(job) - chainMs
        if (onTimeWaitMs <= slackMs || lateWaitMs <= CERTAINTY * lateSlackMs) return null
        return refuse(submission, lateWaitMs, slackMs)
    }

    private fun refuse(
        submission: JobSubmission,
        waitMs: Double,
        slackMs: Double,
    ): Refusal {
        val firstMs = (waitMs - slackMs).coerceIn(MIN_RETRY_MS, MAX_RETRY_MS / 2)
        val spreadMs = (if (submission.queue.priority == 0) slackMs else waitMs).coerceIn(MIN_RETRY_MS, MAX_RETRY_MS / 2)
        val retryAfterMs = (firstMs + random.nextDouble() * spreadMs).toLong()
        log.write(
            "job_refused",
            "job",
            submission.id,
            "account",
            submission.account,
            "reason",
            "load",
            "retryAfterMs",
            retryAfterMs,
            "pool",
            submission.queue.pool,
            "waitMs",
            waitMs.toLong(),
        )
        return Refusal("the pool has more work than it can do in time for this job; retry later", retryAfterMs)
    }

    private fun workBefore(
        backlog: Backlog,
        job: JobRun,
        own: JobGain,
        gainClass: GainClass,
    ): Double =
        backlog.gains.sumOf { (other, otherGain) ->
            val isBefore =
                otherGain.gainClass == gainClass &&
                    (
                        other.queue.priority < job.queue.priority ||
                            other.queue.priority == job.queue.priority &&
                            (otherGain.hasBegun || otherGain.waitingCoreMs <= own.waitingCoreMs)
                    )
            if (isBefore) otherGain.waitingCoreMs else 0.0
        }

    private fun backlogOf(pool: String): Backlog {
        val last = backlogByPool[pool]
        if (last != null && loop.nowMs - last.atMs < BACKLOG_VALID_MS) return last
        return Backlog(registry.liveIn(pool).map { it to gain.of(it) }, loop.nowMs).also { backlogByPool[pool] = it }
    }

    private companion object {
        /** A new owner has no run times of its own and does not know yet what runs. */
        const val MIN_TERM_MS = 5_000L

        /** Declared estimates are off by up to nearly two. */
        const val CERTAINTY = 2.0

        /** Backlog from which a job may have to wait longer than any objective allows. */
        const val MIN_BACKLOG_MS = 3_000.0

        /** How long a backlog is used: some 3 jobs arrive in a pool meanwhile. */
        const val BACKLOG_VALID_MS = 100L
        const val MIN_RETRY_MS = 1_000.0

        /** Demand peaks are over by then. */
        const val MAX_RETRY_MS = 10_000.0
    }
}
