/*
 * Keeps what each client account occupies within its cap.
 */
package io.corianderrock.jobs.accounts

import io.corianderrock.jobs.placement.StartLimit
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.TaskRun

/**
 * Refuses a start that would bring the task's account above its cap. While the account runs nothing, or for a task that ends
 * nothing but long-running tasks, one task may exceed the cap, as it could never run otherwise; of a gang, all but one have to fit.
 */
internal class CapLimit(
    private val loop: EventLoop,
    private val accounts: ActiveAccounts,
    private val usage: AccountUsage,
    private val log: DecisionLog,
) : StartLimit {
    private val loggedAtMs = HashMap<String, Long>()

    override fun mayStart(task: TaskRun): Boolean = isWithinCap(task, count = 1)

    override fun mayStartTogether(tasks: List<TaskRun>): Boolean = isWithinCap(tasks.first(), tasks.size)

    override fun onStarted(task: TaskRun) {
        if (accounts.areInForce) usage.onStarted(task)
    }

    private fun isWithinCap(
        task: TaskRun,
        count: Int,
    ): Boolean {
        if (!accounts.areInForce) return true
        val account = task.stepRun.job.submission.account ?: return true
        val cap = accounts.capOf(account) ?: return true
        val used = usage.of(account)
        val countedCount = if (used.leavesOneTaskTo(task.stepRun.step)) count - 1 else count
        val next =
            ResourceSum().apply {
                add(used)
                add(task.stepRun.step.demand, countedCount)
            }
        if (next.fitsIn(cap)) return true
        logAtCap(account, task, used, cap)
        return false
    }

    private fun logAtCap(
        account: String,
        task: TaskRun,
        used: ResourceSum,
        cap: Demand,
    ) {
        val lastMs = loggedAtMs[account]
        if (lastMs != null && loop.nowMs - lastMs < LOG_INTERVAL_MS) return
        if (loggedAtMs.size > MAX_LOGGED) loggedAtMs.clear()
        loggedAtMs[account] = loop.nowMs
        log.write(
            "account_at_cap",
            "account",
            account,
            "task",
            task.id,
            "runs",
            used.taskCount,
            "cpuMilli",
            used.cpuMilli,
            "capCpuMilli",
            cap.cpuMilli,
            "memoryMb",
            used.memoryMb,
            "capMemoryMb",
            cap.memoryMb,
            "gpus",
            used.gpuCount,
            "capGpus",
            cap.gpuCount,
        )
    }
}

/** True if no dimension exceeds [cap], where zero means no limit. */
internal fun ResourceSum.fitsIn(cap: Demand): Boolean =
    (cap.cpuMilli == 0 || cpuMilli <= cap.cpuMilli) &&
        (cap.memoryMb == 0 || memoryMb <= cap.memoryMb) &&
        (cap.gpuCount == 0 || gpuCount <= cap.gpuCount)

/** Least time between two log lines of the same kind on one account. */
internal const val LOG_INTERVAL_MS = 1_000L

/** Bounds the memory for the times of log lines; above the number of accounts of any deployment. */
internal const val MAX_LOGGED = 1_000
