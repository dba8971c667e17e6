/*
 * Reports to operators which client account holds what share of which pool. Decides nothing: the order of starts is that of
 * FairShareOrder, which divides by the same shares and weights.
 */
package io.corianderrock.jobs.accounts

import io.corianderrock.jobs.placement.AccountShare
import io.corianderrock.jobs.placement.PoolShares
import io.corianderrock.jobs.placement.roundedShare
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.state.JobRun

internal class AccountShares(
    private val loop: EventLoop,
    private val accounts: ActiveAccounts,
    private val usage: AccountUsage,
    private val registry: JobRegistry,
    private val log: DecisionLog,
) : PoolShares {
    private var loggedAtMs = loop.nowMs

    override fun sharesIn(pool: String): List<AccountShare> {
        val capacity = usage.capacityOf(pool)
        if (!accounts.areInForce || capacity.taskCount == 0L) return emptyList()
        val waitingCounts = HashMap<String?, Int>()
        for (job in registry.liveIn(pool)) {
            val count = readyWaitingCount(job)
            if (count > 0) waitingCounts.merge(job.submission.account, count, Int::plus)
        }
        val weights = (usage.accountsIn(pool) + waitingCounts.keys).associateWith(accounts::weightOf)
        val weightSum = weights.values.sum()
        return weights
            .map { (account, weight) ->
                val used = usage.inPool(pool, account)
                AccountShare(
                    account = account,
                    runCount = used.taskCount,
                    waitingCount = waitingCounts[account] ?: 0,
                    share = dominantShare(used, capacity),
                    entitledShare = weight / weightSum,
                )
            }.sortedWith(compareByDescending<AccountShare> { it.share / it.entitledShare }.thenBy { it.account.orEmpty() })
    }

    private fun readyWaitingCount(job: JobRun): Int =
        job.occurrences.values.sumOf { occurrence ->
            occurrence.steps.sumOf { if (it.waitingCount > 0 && !it.isDone && occurrence.isReady(it)) it.waitingCount else 0 }
        }

    /** Logs what the accounts occupy, if the last time is [USAGE_INTERVAL_MS] ago. */
    fun logIfDue() {
        if (loop.nowMs - loggedAtMs < USAGE_INTERVAL_MS) return
        loggedAtMs = loop.nowMs
        for (name in accounts.names) {
            val used = usage.of(name)
            log.write("account_usage", "account", name, "runs", used.taskCount, "cpuMilli", used.cpuMilli, "memoryMb", used.memoryMb)
        }
        for (pool in registry.pools + usage.pools) sharesIn(pool).forEach { logShare(pool, it) }
    }

    private fun logShare(
        pool: String,
        share: AccountShare,
    ) = log.write(
        "account_share",
        "account",
        share.account,
        "pool",
        pool,
        "share",
        roundedShare(share.share),
        "entitledShare",
        roundedShare(share.entitledShare),
        "weight",
        accounts.weightOf(share.account),
        "runs",
        share.runCount,
        "waitingTasks",
        share.waitingCount,
    )

    private companion object {
        /** Interval between reports on what each account occupies: metrics are read as seldom. */
        const val USAGE_INTERVAL_MS = 10_000L
    }
}
