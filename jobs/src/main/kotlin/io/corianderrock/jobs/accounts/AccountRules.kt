/*
 * The rules of client accounts for one ownership term. They apply while the configuration has accounts, which may change at any
 * time, so each placement pass and each decision starts from the present configuration.
 */
package io.corianderrock.jobs.accounts

import io.corianderrock.jobs.fleet.DemandLimit
import io.corianderrock.jobs.placement.CandidateOrder
import io.corianderrock.jobs.placement.RankedOrder
import io.corianderrock.jobs.placement.StartLimit
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.runs.SchedulerBounds
import io.corianderrock.jobs.runs.WorkerDriver
import io.corianderrock.jobs.state.JobsConfiguration

/** Creates the parts that keep shares and caps and gives them a common view of accounts and usage. */
internal class AccountRules(
    private val loop: EventLoop,
    private val log: DecisionLog,
    configuration: () -> JobsConfiguration?,
    bounds: SchedulerBounds,
    registry: JobRegistry,
    driver: WorkerDriver,
    capacityShortageMs: (String) -> Long,
) {
    private val accounts = ActiveAccounts(configuration)
    private val usage = AccountUsage(loop, registry, { driver.workers }, driver::unreconciledIn)
    private var loggedAtMs = loop.nowMs

    val startLimit: StartLimit = CapLimit(loop, accounts, usage, log)
    val admission: AccountAdmission = AccountAdmission(loop, accounts, registry, log, bounds.accountWindowMs, capacityShortageMs)
    val demandLimit: DemandLimit = AccountDemandLimit(accounts, usage, registry, capacityShortageMs)

    /** Wraps [ranking] so that accounts share what it ranks equally. */
    fun share(ranking: RankedOrder): CandidateOrder = FairShareOrder(ranking, accounts, usage)

    /** To be called before each placement pass. */
    fun beginPass() {
        accounts.refresh()
        if (!accounts.areInForce) return
        usage.recompute()
        logUsage()
    }

    private fun logUsage() {
        if (loop.nowMs - loggedAtMs < USAGE_INTERVAL_MS) return
        loggedAtMs = loop.nowMs
        for (name in accounts.names) {
            val used = usage.of(name)
            log.write("account_usage", "account", name, "runs", used.taskCount, "cpuMilli", used.cpuMilli, "memoryMb", used.memoryMb)
        }
    }

    private companion object {
        /** Interval between log lines on what each account occupies: metrics are read as seldom. */
        const val USAGE_INTERVAL_MS = 10_000L
    }
}
