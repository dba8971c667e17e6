/*
 * Logs why tasks wait, at most once a second.
 */
package io.corianderrock.jobs.placement

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.runs.WorkerDriver
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun

internal class WaitExplainer(
    private val loop: EventLoop,
    private val registry: JobRegistry,
    private val driver: WorkerDriver,
    private val choice: WorkerChoice,
    private val log: DecisionLog,
    private val poolShares: PoolShares,
    private val isAtLimit: (TaskRun) -> Boolean,
) {
    /** By pool: when, in loop time, its waiting tasks were last explained. */
    private val explainedAtMs = HashMap<String, Long>()

    /** By pool: when, in loop time, the jobs that wait for unreconciled workers were last logged. */
    private val reconcilingLoggedAtMs = HashMap<String, Long>()

    /** Logs at most every [EXPLAIN_INTERVAL_MS] which workers keep the inherited jobs of [pool] from being placed. */
    fun logReconciling(pool: String) {
        if (loop.nowMs - (reconcilingLoggedAtMs[pool] ?: 0) < EXPLAIN_INTERVAL_MS) return
        reconcilingLoggedAtMs[pool] = loop.nowMs
        val held = registry.liveIn(pool).filter { it.mayBeKnownToEarlierOwner }
        log.write(
            "pool_reconciling",
            "pool",
            pool,
            "workers",
            driver.unreconciledIn(pool).joinToString(","),
            "jobs",
            held.size,
            "waitingTasks",
            held.sumOf { job -> job.tasks.count { it.phase == TaskPhase.WAITING } },
        )
    }

    /** Logs at most every [EXPLAIN_INTERVAL_MS] for each pool why the tasks of [ready] that have waited longest are not placed. */
    fun explainWaiting(
        ready: List<Candidate>,
        capacities: List<WorkerCapacity>,
    ) {
        val pool =
            ready
                .first()
                .stepRun.job.queue.pool
        if (loop.nowMs - (explainedAtMs[pool] ?: 0) < EXPLAIN_INTERVAL_MS) return
        explainedAtMs[pool] = loop.nowMs
        val waiting = ready.mapNotNull { candidate -> candidate.tasks.firstOrNull { it.phase == TaskPhase.WAITING } }
        val longest = waiting.filter { loop.nowMs - it.waitingSinceMs > EXPLAIN_AFTER_MS }.sortedBy { it.waitingSinceMs }
        if (longest.isEmpty()) return
        val shares = poolShares.sharesIn(pool)
        for (task in longest.take(MAX_EXPLAINED)) explain(task, capacities, waiting.size, shares)
    }

    private fun explain(
        task: TaskRun,
        capacities: List<WorkerCapacity>,
        waitingCount: Int,
        shares: List<AccountShare>,
    ) {
        val account = task.stepRun.job.submission.account
        val own = shares.find { it.account == account }
        val holder = shares.firstOrNull { it.share > 0 }
        val pool = task.stepRun.job.queue.pool
        val inPool = driver.workers.filter { it.entry.pool == pool && it.isListed }
        log.write(
            "task_waits",
            "task",
            task.id,
            "waitedMs",
            loop.nowMs - task.waitingSinceMs,
            "waitingSteps",
            waitingCount,
            "pool",
            pool,
            "account",
            account,
            "isAtCap",
            isAtLimit(task),
            "share",
            own?.let { roundedShare(it.share) },
            "entitledShare",
            own?.let { roundedShare(it.entitledShare) },
            "holder",
            holder?.account,
            "holderShare",
            holder?.let { roundedShare(it.share) },
            "holderEntitledShare",
            holder?.let { roundedShare(it.entitledShare) },
            "workers",
            inPool.size,
            "usableWorkers",
            capacities.size,
            "withCapacity",
            capacities.count {
                task.stepRun.step.occupied
                    .fitsIn(it.free)
            },
            "eligible",
            capacities.count { choice.fits(task, it, 0) },
            "cordoned",
            inPool.count { it.isCordoned },
            "avoided",
            inPool.count { loop.nowMs < it.avoidUntilMs || choice.isFailing(it) },
            "silent",
            inPool.count { it.consecutiveLostHolds > 0 },
            "withOrphanedRuns",
            inPool.count { it.orphanedRuns.isNotEmpty() },
            "withUnreadableRuns",
            inPool.count { it.hasUnreadableRuns },
            "reserved",
            capacities.count { it.isReserved },
            "crashes",
            task.crashedRuns.size,
            "suspectWaitsFor",
            task.loggedSuspectWait,
            "cpu",
            task.stepRun.step.occupied.cpuMilli,
            "memoryMb",
            task.stepRun.step.occupied.memoryMb,
            "maxPerWorker",
            task.stepRun.step.maxPerWorker,
            "advice",
            adviceCounts(task, capacities),
        )
    }

    /** How many usable workers the advice service allows, denies and so on; null where the step needs no advice. */
    private fun adviceCounts(
        task: TaskRun,
        capacities: List<WorkerCapacity>,
    ): String? {
        if (!task.stepRun.needsAdvice) return null
        val counts = capacities.groupingBy { task.stepRun.advice.standing(it.worker, loop.nowMs) }.eachCount()
        return counts.entries.sortedBy { it.key }.joinToString(",") { "${it.key}:${it.value}" }
    }

    private companion object {
        /** Minimum time between two explanations of waiting tasks. */
        const val EXPLAIN_INTERVAL_MS = 1_000L

        /** Wait after which a task is explained. */
        const val EXPLAIN_AFTER_MS = 1_000L

        /** Maximum number of tasks in one explanation. */
        const val MAX_EXPLAINED = 3
    }
}
