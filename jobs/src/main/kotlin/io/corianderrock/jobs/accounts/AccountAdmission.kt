/*
 * Meters the jobs that each client account submits. What an account sends beyond its weight in jobs a second is not owed to it.
 */
package io.corianderrock.jobs.accounts

import io.corianderrock.jobs.entry.AdmissionPolicy
import io.corianderrock.jobs.entry.Refusal
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.JobSubmission

/**
 * Refuses a job that its account is not owed while work of others waits for capacity in the job's pool. Otherwise the job is
 * accepted and marked with [JobRun.isBeyondShare].
 */
internal class AccountAdmission(
    private val loop: EventLoop,
    private val accounts: ActiveAccounts,
    private val registry: JobRegistry,
    private val log: DecisionLog,
    private val windowMs: Long,
    /** For how many milliseconds tasks of a pool have found no capacity. */
    private val capacityShortageMs: (String) -> Long,
) : AdmissionPolicy {
    /** A bucket that holds [windowMs] of arrivals at the account's weight and drains at that weight. */
    private class Meter {
        var level = 0.0
        var atMs = 0L

        /** Up to when refused callers were told to return, so that each is told a time of its own. */
        var promisedUntilMs = 0.0
        var loggedAtMs = Long.MIN_VALUE / 2
        var refusedCount = 0
    }

    private val meters = HashMap<String, Meter>()
    private val acceptedBeyondShare = HashSet<String>()

    override fun refusalOf(submission: JobSubmission): Refusal? {
        accounts.refresh()
        val account = submission.account?.takeIf { accounts.areInForce } ?: return null
        val weight = accounts.weightOf(account)
        val meter = meters.getOrPut(account) { Meter().also { it.atMs = loop.nowMs } }
        meter.level = maxOf(0.0, meter.level - (loop.nowMs - meter.atMs) * weight / MS_PER_S)
        meter.atMs = loop.nowMs
        val full = maxOf(1.0, weight * windowMs / MS_PER_S)
        val isOwed = meter.level + 1 <= full
        if (!isOwed && lengthensOthersWaits(submission)) return refuse(account, submission, meter, weight, full)
        // Capacity that nobody else wanted is lent without a debt.
        meter.level = minOf(full, meter.level + 1)
        if (!isOwed) acceptedBeyondShare.add(submission.id)
        return null
    }

    /** Called when [job] is stored. Long-running tasks are to run at all times, so their instances are ordered in any case. */
    fun onAccepted(job: JobRun) {
        if (acceptedBeyondShare.remove(job.id) && !job.isLongRunning) job.isBeyondShare = true
    }

    private fun lengthensOthersWaits(submission: JobSubmission): Boolean {
        val pool = submission.queue.pool
        return capacityShortageMs(pool) > 0 &&
            registry.liveIn(pool).any { it.submission.account != submission.account && hasReadyWaitingTask(it) }
    }

    private fun hasReadyWaitingTask(job: JobRun): Boolean =
        job.occurrences.values.any { occurrence -> occurrence.steps.any { it.waitingCount > 0 && occurrence.isReady(it) } }

    private fun refuse(
        account: String,
        submission: JobSubmission,
        meter: Meter,
        weight: Double,
        full: Double,
    ): Refusal {
        val perJobMs = MS_PER_S / weight
        val freeAtMs = loop.nowMs + (meter.level + 1 - full) * perJobMs
        meter.promisedUntilMs = minOf(loop.nowMs + MAX_RETRY_AFTER_MS, maxOf(freeAtMs, meter.promisedUntilMs + perJobMs))
        val retryAfterMs = (meter.promisedUntilMs - loop.nowMs).toLong() + 1
        meter.refusedCount++
        log.write(
            "job_refused",
            "job",
            submission.id,
            "account",
            account,
            "reason",
            "share",
            "retryAfterMs",
            retryAfterMs,
            "pool",
            submission.queue.pool,
        )
        if (loop.nowMs - meter.loggedAtMs >= LOG_INTERVAL_MS) {
            meter.loggedAtMs = loop.nowMs
            log.write(
                "account_over_share",
                "account",
                account,
                "job",
                submission.id,
                "pool",
                submission.queue.pool,
                "weight",
                weight,
                "refused",
                meter.refusedCount,
                "retryAfterMs",
                retryAfterMs,
            )
            meter.refusedCount = 0
        }
        return Refusal("account $account sends more than $weight jobs per second while the pool is full; retry later", retryAfterMs)
    }

    private companion object {
        const val MS_PER_S = 1_000.0

        /** Longest delay told to a caller: demand peaks are over by then. */
        const val MAX_RETRY_AFTER_MS = 10_000.0
    }
}
