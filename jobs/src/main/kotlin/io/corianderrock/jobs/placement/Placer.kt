/*
 * Decides which waiting task starts where. A pass orders all ready steps and gives each task the fullest worker that
 * still has capacity for it, so that other workers become empty and can be given back.
 */
package io.corianderrock.jobs.placement

import io.corianderrock.jobs.ports.AdviceService
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.runs.WorkerDriver
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.StepRun
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView

internal class Placer(
    private val loop: EventLoop,
    private val registry: JobRegistry,
    private val driver: WorkerDriver,
    private val runTimes: RunTimes,
    private val advice: AdviceService,
    private val log: DecisionLog,
    private val mayOrder: () -> Boolean,
) {
    private class WorkerCapacity(
        val worker: WorkerView,
        var free: Demand,
        var hasServing: Boolean,
        var hasFilling: Boolean,
    )

    private var explainedAtMs = 0L

    /** Since when a task has found no capacity, by pool. */
    private val stuckSinceMs = HashMap<String, Long>()

    private class Candidate(
        val stepRun: StepRun,
        val isLate: Boolean,
        val work: Double,
    )

    /** How long some task of [pool] has found no worker with capacity. */
    fun stuckForMs(pool: String): Long = stuckSinceMs[pool]?.let { loop.nowMs - it } ?: 0

    /** Starts what can start now. */
    fun pass() {
        if (!mayOrder()) return
        val ready = readySteps()
        if (ready.isEmpty()) {
            stuckSinceMs.clear()
            return
        }
        val capacities = HashMap<String, List<WorkerCapacity>>()
        val stuck = HashSet<String>()
        for (candidate in ready) {
            val stepRun = candidate.stepRun
            val pool = stepRun.job.queue.pool
            if (!place(stepRun, capacities.getOrPut(pool) { capacitiesOf(pool) })) stuck.add(pool)
        }
        stuckSinceMs.keys.retainAll(stuck)
        for (pool in stuck) stuckSinceMs.putIfAbsent(pool, loop.nowMs)
        explainWaiting(ready, capacities)
    }

    /** Logs now and then why the oldest waiting tasks do not run. */
    private fun explainWaiting(
        ready: List<Candidate>,
        capacities: Map<String, List<WorkerCapacity>>,
    ) {
        if (loop.nowMs - explainedAtMs < EXPLAIN_INTERVAL_MS) return
        explainedAtMs = loop.nowMs
        val waiting = ready.mapNotNull { candidate -> candidate.stepRun.tasks.firstOrNull { it.phase == TaskPhase.WAITING } }
        val longest = waiting.filter { loop.nowMs - it.waitingSinceMs > EXPLAIN_AFTER_MS }.sortedBy { it.waitingSinceMs }
        for (task in longest.take(MAX_EXPLAINED)) explain(task, capacities[task.stepRun.job.queue.pool].orEmpty(), waiting.size)
    }

    private fun explain(
        task: TaskRun,
        capacities: List<WorkerCapacity>,
        waitingCount: Int,
    ) {
        val pool = task.stepRun.job.queue.pool
        val inPool = driver.workers.filter { it.entry.pool == pool && it.isListed }
        log.write(
            "task_waits",
            "task",
            task.id,
            "waitedMs",
            loop.nowMs - task.waitingSinceMs,
            "steps",
            waitingCount,
            "pool",
            pool,
            "workers",
            inPool.size,
            "usable",
            capacities.size,
            "withCapacity",
            capacities.count {
                task.stepRun.step.occupied
                    .fitsIn(it.free)
            },
            "allowed",
            capacities.count { fits(task, it, 0) },
            "setAside",
            inPool.count { it.isCordoned },
            "avoided",
            inPool.count { loop.nowMs < it.avoidUntilMs },
            "silent",
            inPool.count { it.consecutiveLostHolds > 0 },
            "strangers",
            inPool.count { it.orphanedRuns.isNotEmpty() },
            "cpu",
            task.stepRun.step.occupied.cpuMilli,
            "memoryMb",
            task.stepRun.step.occupied.memoryMb,
            "maxPerWorker",
            task.stepRun.step.maxPerWorker,
        )
    }

    private fun readySteps(): List<Candidate> {
        val ready = ArrayList<Candidate>()
        for (job in registry.live) {
            if (job.isInherited && driver.isReconciling(job.queue.pool)) continue
            for (occurrence in job.occurrences.values) {
                for (run in occurrence.steps) {
                    if (run.isDone || !occurrence.isReady(run)) continue
                    if (run.waitingCount == 0) continue
                    val isLate = !job.isLongRunning && loop.nowMs > runTimes.objectiveAtMs(job)
                    ready.add(Candidate(run, isLate, runTimes.remainingWork(job)))
                }
            }
        }
        return ready.sortedWith(ORDER)
    }

    private fun capacitiesOf(pool: String): List<WorkerCapacity> =
        driver.workers
            .filter { it.entry.pool == pool && isUsable(it) }
            .map { worker ->
                val steps = worker.runs.values.map { it.stepRun.step }
                WorkerCapacity(worker, worker.free, steps.any { it.responseTargetMs != null }, steps.any { it.isBestEffort })
            }

    private fun isUsable(worker: WorkerView): Boolean =
        worker.isListed &&
            worker.isReconciled &&
            worker.drainingSinceMs == null &&
            !worker.isCordoned &&
            worker.orphanedRuns.isEmpty() &&
            worker.consecutiveLostHolds == 0 &&
            loop.nowMs >= worker.avoidUntilMs

    /** Places the waiting tasks of [stepRun]; false when one of them found no capacity. */
    private fun place(
        stepRun: StepRun,
        capacities: List<WorkerCapacity>,
    ): Boolean {
        if (!mayFit(stepRun.step, capacities)) return false
        if (stepRun.job.queue.needsAdvice && !hasTickets(stepRun, capacities)) return true
        if (stepRun.step.isGang) return placeGang(stepRun, capacities)
        for (task in stepRun.tasks.filter { it.phase == TaskPhase.WAITING }) {
            val capacity = best(task, capacities) ?: return false
            take(task, capacity)
        }
        return true
    }

    /** A cheap look, since in a backlog most steps fit nowhere. */
    private fun mayFit(
        step: Step,
        capacities: List<WorkerCapacity>,
    ): Boolean = capacities.any { step.occupied.fitsIn(it.free) }

    /** A gang starts as a whole, under one run number, or not at all. */
    private fun placeGang(
        stepRun: StepRun,
        capacities: List<WorkerCapacity>,
    ): Boolean {
        if (stepRun.waitingCount < stepRun.step.count) return true
        val before = capacities.associateWith { it.free }
        val chosen = ArrayList<WorkerCapacity>()
        for (task in stepRun.tasks) {
            val capacity = best(task, capacities, chosen.groupingBy { it }.eachCount()) ?: break
            capacity.free -= stepRun.step.occupied
            chosen.add(capacity)
        }
        before.forEach { (capacity, free) -> capacity.free = free }
        if (chosen.size < stepRun.tasks.size) return false
        val runNumber = stepRun.tasks.maxOf { it.lastRunNumber }
        val checkpoint = stepRun.tasks.firstNotNullOfOrNull { it.checkpoint }
        for ((task, capacity) in stepRun.tasks.zip(chosen)) {
            task.lastRunNumber = runNumber
            task.checkpoint = checkpoint
            take(task, capacity)
        }
        return true
    }

    private fun take(
        task: TaskRun,
        capacity: WorkerCapacity,
    ) {
        val step = task.stepRun.step
        capacity.free -= step.occupied
        capacity.hasServing = capacity.hasServing || step.responseTargetMs != null
        capacity.hasFilling = capacity.hasFilling || step.isBestEffort
        driver.start(task, capacity.worker)
    }

    private fun best(
        task: TaskRun,
        capacities: List<WorkerCapacity>,
        planned: Map<WorkerCapacity, Int> = emptyMap(),
    ): WorkerCapacity? {
        val step = task.stepRun.step
        val racks = if (step.isRackSensitive) racksOf(task.stepRun) else emptySet()
        return capacities
            .filter { fits(task, it, planned[it] ?: 0) }
            .minByOrNull { cost(task, step, it, racks) }
    }

    private fun fits(
        task: TaskRun,
        capacity: WorkerCapacity,
        plannedCount: Int,
    ): Boolean {
        val step = task.stepRun.step
        if (!step.occupied.fitsIn(capacity.free)) return false
        if (step.requiredLabel != null && step.requiredLabel !in capacity.worker.entry.labels) return false
        // A filling task would disturb a serving one on the same worker.
        if (step.isBestEffort && capacity.hasServing || step.responseTargetMs != null && capacity.hasFilling) return false
        if (task.stepRun.job.queue.needsAdvice && capacity.worker.id !in task.stepRun.tickets) return false
        val max = step.maxPerWorker ?: return true
        return task.stepRun.taskCountOn(capacity.worker) + plannedCount < max
    }

    private fun cost(
        task: TaskRun,
        step: Step,
        capacity: WorkerCapacity,
        racks: Set<String>,
    ): Double {
        val left = capacity.free - step.occupied
        val total = capacity.worker.entry.capacity
        var cost = left.cpuMilli.toDouble() / maxOf(1, total.cpuMilli) + left.memoryMb.toDouble() / maxOf(1, total.memoryMb)
        if (step.preferredRack != null && step.preferredRack !in capacity.worker.entry.labels) cost += REMOTE_COST
        if (racks.isNotEmpty() &&
            capacity.worker.entry.labels
                .none { it in racks }
        ) {
            cost += REMOTE_COST
        }
        if (task.lastFailedWorkerId == capacity.worker.id) cost += FAILED_THERE_COST
        return cost
    }

    private fun racksOf(stepRun: StepRun): Set<String> =
        stepRun.tasks
            .mapNotNull { it.worker }
            .flatMap { it.entry.labels.drop(1) }
            .toSet()

    private fun hasTickets(
        stepRun: StepRun,
        capacities: List<WorkerCapacity>,
    ): Boolean {
        if (loop.nowMs < stepRun.ticketsExpireAtMs) return true
        if (stepRun.isAdviceInFlight || capacities.isEmpty()) return false
        stepRun.isAdviceInFlight = true
        val name = "${stepRun.job.id}.${stepRun.occurrence}.${stepRun.number}"
        val sentAtMs = loop.nowMs
        advice.ask(name, capacities.take(MAX_ADVISED_WORKERS).map { it.worker.id }) { answer ->
            stepRun.isAdviceInFlight = false
            val granted = answer.granted
            log.write("advice", "step", name, "asked", capacities.size, "granted", granted?.size, "tookMs", loop.nowMs - sentAtMs)
            if (granted != null) {
                stepRun.tickets = granted.associate { it.workerId to it.ticket }
                stepRun.ticketsExpireAtMs = sentAtMs + answer.validForMs - TICKET_SLACK_MS
            }
        }
        return false
    }

    private companion object {
        /** How often waiting tasks are explained, after how long, and how many at once. */
        const val EXPLAIN_INTERVAL_MS = 1_000L
        const val EXPLAIN_AFTER_MS = 1_000L
        const val MAX_EXPLAINED = 3

        /** Tasks that last first, then by priority; late jobs after those that can meet their objective; then the smallest. */
        val ORDER: Comparator<Candidate> =
            compareBy<Candidate> { !it.stepRun.job.isLongRunning }
                .thenBy { it.isLate }
                .thenBy { it.stepRun.job.queue.priority }
                .thenBy { it.work }

        /** Above any difference in capacity: a remote run takes 1.5 to 2 times as long. */
        const val REMOTE_COST = 4.0

        /** Above any difference in capacity: the worker may have been the cause of the failure. */
        const val FAILED_THERE_COST = 3.0

        /** Workers named in one call for advice; each costs a period of the policy service. */
        const val MAX_ADVISED_WORKERS = 30

        /** Tickets are not used in the last part of their validity. */
        const val TICKET_SLACK_MS = 300L
    }
}
