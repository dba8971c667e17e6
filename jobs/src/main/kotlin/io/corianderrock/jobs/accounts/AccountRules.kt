/*
 * The rules of client accounts for one ownership term. They apply while the configuration has accounts, which may change at any
 * time, so each placement pass and each decision starts from the present configuration.
 */
package io.corianderrock.jobs.accounts

import io.corianderrock.jobs.fleet.DemandLimit
import io.corianderrock.jobs.placement.CandidateOrder
import io.corianderrock.jobs.placement.PoolShares
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
    loop: EventLoop,
    log: DecisionLog,
    configuration: () -> JobsConfiguration?,
    bounds: SchedulerBounds,
    registry: JobRegistry,
    driver: WorkerDriver,
    capacityShortageMs: (String) -> Long,
) {
    private val accounts = ActiveAccounts(configuration)
    private val usage = AccountUsage(loop, registry, { driver.workers }, driver::unreconciledIn)
    private val accountShares = AccountShares(loop, accounts, usage, registry, log)

    val poolShares: PoolShares = accountShares
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
        accountShares.logIfDue()
    }
}
