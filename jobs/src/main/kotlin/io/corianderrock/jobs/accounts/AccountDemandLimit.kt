/*
 * How much of the waiting work of client accounts is a reason to order instances.
 */
package io.corianderrock.jobs.accounts

import io.corianderrock.jobs.fleet.DemandLimit
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.StepRun

/**
 * Counts of each account only what its cap lets start, divided over its waiting tasks in all pools, and what it is not owed only
 * while no other pool lacks capacity.
 */
internal class AccountDemandLimit(
    private val accounts: ActiveAccounts,
    private val usage: AccountUsage,
    private val registry: JobRegistry,
    private val capacityShortageMs: (String) -> Long,
) : DemandLimit {
    private class Waiting {
        val sum = ResourceSum()

        /** The largest task that may start above the cap. */
        val largest = ResourceSum()
    }

    private val startableShares = HashMap<String, Double>()
    private val shortPools = HashSet<String>()

    override fun refresh() {
        startableShares.clear()
        shortPools.clear()
        accounts.refresh()
        if (!accounts.areInForce) return
        usage.recompute()
        registry.pools.filterTo(shortPools) { capacityShortageMs(it) > 0 }
        val waiting = HashMap<String, Waiting>()
        for (job in registry.live) addWaiting(job, waiting)
        for ((account, sums) in waiting) {
            val share = startableShare(account, sums)
            if (share < 1) startableShares[account] = share
        }
    }

    private fun addWaiting(
        job: JobRun,
        waiting: HashMap<String, Waiting>,
    ) {
        val account = job.submission.account ?: return
        val sums = waiting.getOrPut(account) { Waiting() }
        val used = usage.of(account)
        for (occurrence in job.occurrences.values) {
            for (run in occurrence.steps) {
                if (run.waitingCount == 0 || !occurrence.isReady(run)) continue
                sums.sum.add(run.step.demand, run.waitingCount)
                if (used.leavesOneTaskTo(run.step)) sums.largest.raiseTo(ResourceSum().apply { add(run.step) })
            }
        }
    }

    private fun startableShare(
        account: String,
        waiting: Waiting,
    ): Double {
        val cap = accounts.capOf(account) ?: return 1.0
        val used = usage.of(account)
        return minOf(
            share(cap.cpuMilli, used.cpuMilli, waiting.largest.cpuMilli, waiting.sum.cpuMilli),
            share(cap.memoryMb, used.memoryMb, waiting.largest.memoryMb, waiting.sum.memoryMb),
            share(cap.gpuCount, used.gpuCount, waiting.largest.gpuCount, waiting.sum.gpuCount),
        )
    }

    private fun share(
        cap: Int,
        used: Long,
        atLeast: Long,
        waiting: Long,
    ): Double {
        if (cap == 0 || waiting == 0L) return 1.0
        return minOf(1.0, maxOf(0L, atLeast, cap - used).toDouble() / waiting)
    }

    override fun startableShare(run: StepRun): Double {
        val job = run.job
        if (job.isBeyondShare && shortPools.any { it != job.queue.pool }) return 0.0
        return job.submission.account?.let(startableShares::get) ?: 1.0
    }

    override fun isForecast(job: JobRun): Boolean = !job.isBeyondShare
}
