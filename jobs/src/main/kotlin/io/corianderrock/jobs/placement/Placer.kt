/*
 * Places waiting tasks on workers. A placement pass sorts all ready steps and assigns each task to the fullest worker that
 * still has capacity for it (best fit), so that other workers drain and their instances can be returned.
 */
package io.corianderrock.jobs.placement

import io.corianderrock.jobs.ports.AdviceService
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.runs.WorkerDriver
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.StepRun
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView

internal class Placer(
    private val loop: EventLoop,
    private val registry: JobRegistry,
    private val driver: WorkerDriver,
    private val runTimes: RunTimeEstimator,
    private val advice: AdviceService,
    private val log: DecisionLog,
    private val mayOrder: () -> Boolean,
    private val order: CandidateOrder = ObjectiveOrder,
    private val startLimit: StartLimit = StartLimit { true },
) {
    private var explainedAtMs = 0L

    /** By pool: when, in loop time, the jobs that wait for unreconciled workers were last logged. */
    private val reconcilingLoggedAtMs = HashMap<String, Long>()

    /** By pool: since when, in loop time, every pass has left a task without capacity. */
    private val capacityShortageSinceMs = HashMap<String, Long>()

    /** For how many milliseconds every pass has left some task of [pool] without a worker that has capacity; 0 when none is. */
    fun capacityShortageMs(pool: String): Long = capacityShortageSinceMs[pool]?.let { loop.nowMs - it } ?: 0

    /** Runs one placement pass over [pools], unless the ownership was last confirmed too long ago to order starts. */
    fun placeWaitingTasks(pools: Collection<String>) {
        if (mayOrder()) pools.forEach(::placeIn)
    }

    private fun placeIn(pool: String) {
        if (driver.isReconciling(pool)) logReconciling(pool)
        val ready = readySteps(pool)
        if (ready.isEmpty()) {
            capacityShortageSinceMs.remove(pool)
            return
        }
        val capacity = PoolCapacity(driver.workers.filter { it.entry.pool == pool && isUsable(it) }.map(::WorkerCapacity))
        var isShort = false
        for (candidate in ready) if (!placeStep(candidate, capacity)) isShort = true
        if (isShort) capacityShortageSinceMs.putIfAbsent(pool, loop.nowMs) else capacityShortageSinceMs.remove(pool)
        explainWaiting(ready, capacity.workers)
    }

    /** Logs at most every [EXPLAIN_INTERVAL_MS] which workers keep the inherited jobs of [pool] from being placed. */
    private fun logReconciling(pool: String) {
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

    /** Logs at most every [EXPLAIN_INTERVAL_MS] why the tasks that have waited longest are not placed. */
    private fun explainWaiting(
        ready: List<Candidate>,
        capacities: List<WorkerCapacity>,
    ) {
        if (loop.nowMs - explainedAtMs < EXPLAIN_INTERVAL_MS) return
        explainedAtMs = loop.nowMs
        val waiting = ready.mapNotNull { candidate -> candidate.tasks.firstOrNull { it.phase == TaskPhase.WAITING } }
        val longest = waiting.filter { loop.nowMs - it.waitingSinceMs > EXPLAIN_AFTER_MS }.sortedBy { it.waitingSinceMs }
        for (task in longest.take(MAX_EXPLAINED)) explain(task, capacities, waiting.size)
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
            "waitingSteps",
            waitingCount,
            "pool",
            pool,
            "account",
            task.stepRun.job.submission.account,
            "isAtCap",
            !mayStartAny(task.stepRun, listOf(task)),
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
            capacities.count { fits(task, it, 0) },
            "cordoned",
            inPool.count { it.isCordoned },
            "avoided",
            inPool.count { loop.nowMs < it.avoidUntilMs || isFailing(it) },
            "silent",
            inPool.count { it.consecutiveLostHolds > 0 },
            "withOrphanedRuns",
            inPool.count { it.orphanedRuns.isNotEmpty() },
            "reserved",
            capacities.count { it.isReserved },
            "crashes",
            task.crashedRuns.size,
            "cpu",
            task.stepRun.step.occupied.cpuMilli,
            "memoryMb",
            task.stepRun.step.occupied.memoryMb,
            "maxPerWorker",
            task.stepRun.step.maxPerWorker,
        )
    }

    private fun readySteps(pool: String): List<Candidate> {
        val ready = ArrayList<Candidate>()
        val isReconciling = driver.isReconciling(pool)
        for (job in registry.liveIn(pool)) {
            val isHeldBack = isReconciling && job.mayBeKnownToEarlierOwner
            if (isHeldBack && driver.mayEarlierOwnerOrder) continue
            for (occurrence in job.occurrences.values) {
                for (run in occurrence.steps) {
                    if (run.waitingCount == 0 || run.isDone || !occurrence.isReady(run)) continue
                    val tasks = if (isHeldBack && !occurrence.hasBecomeReadyInTerm(run)) tasksWithKnownPlace(run) else run.tasks
                    if (tasks.isNotEmpty()) ready.add(candidateOf(run, tasks))
                }
            }
        }
        return order.order(pool, ready)
    }

    /** The waiting tasks that cannot be running on a worker that has not answered yet; of a gang all or none. */
    private fun tasksWithKnownPlace(run: StepRun): List<TaskRun> {
        val known = run.tasks.filter { it.isPlaceKnown && it.phase == TaskPhase.WAITING }
        return if (run.step.isGang && known.size < run.step.count) emptyList() else known
    }

    private fun candidateOf(
        run: StepRun,
        tasks: List<TaskRun>,
    ): Candidate {
        val estimate = runTimes.estimate(run.job, loop.nowMs)
        val isPastObjective = !run.job.isLongRunning && loop.nowMs > estimate.objectiveDeadlineMs
        return Candidate(run, tasks, isPastObjective, estimate.remainingCoreMs)
    }

    private fun isUsable(worker: WorkerView): Boolean =
        worker.isListed &&
            worker.isReconciled &&
            worker.drainingSinceMs == null &&
            !worker.isCordoned &&
            worker.orphanedRuns.isEmpty() &&
            worker.consecutiveLostHolds == 0 &&
            loop.nowMs >= worker.avoidUntilMs

    private fun isFailing(worker: WorkerView): Boolean = worker.record.isAvoided(loop.nowMs)

    /**
     * Only long-running tasks are placed on failing workers, when no other has capacity: they are to run at all times. A worker on
     * probation takes one other task at a time.
     */
    private fun mayTake(
        worker: WorkerView,
        step: Step,
    ): Boolean =
        step.isLongRunning ||
            !isFailing(worker) &&
            (!worker.record.isOnProbation(loop.nowMs) || worker.runs.values.all { it.stepRun.step.isLongRunning })

    /** Assigns the waiting tasks of [candidate]; false when one of them found no worker with capacity. */
    private fun placeStep(
        candidate: Candidate,
        capacity: PoolCapacity,
    ): Boolean {
        val stepRun = candidate.stepRun
        // Before the search for capacity: work that a limit holds back is no shortage of capacity.
        if (!mayStartAny(stepRun, candidate.tasks)) return true
        if (!capacity.hasRoomFor(stepRun.step.occupied)) return false
        val capacities = capacity.workers
        if (stepRun.job.queue.needsAdvice && !ensureTickets(stepRun, capacities)) return true
        if (stepRun.step.isGang) return placeGang(stepRun, capacities)
        for (task in candidate.tasks.filter { it.phase == TaskPhase.WAITING }) {
            if (!startLimit.mayStart(task)) return true
            val chosen = cheapestWorker(task, capacities) ?: return false
            assign(task, chosen)
        }
        return true
    }

    private fun mayStartAny(
        stepRun: StepRun,
        tasks: List<TaskRun>,
    ): Boolean =
        if (stepRun.step.isGang) {
            startLimit.mayStartTogether(stepRun.tasks)
        } else {
            tasks.firstOrNull { it.phase == TaskPhase.WAITING }?.let(startLimit::mayStart) ?: true
        }

    /** Gang scheduling: all tasks of the step start under one run number and from one checkpoint, or none does. */
    private fun placeGang(
        stepRun: StepRun,
        capacities: List<WorkerCapacity>,
    ): Boolean {
        if (stepRun.waitingCount < stepRun.step.count) return true
        val freeBefore = capacities.associateWith { it.free }
        val chosen = ArrayList<WorkerCapacity>()
        for (task in stepRun.tasks) {
            val capacity = cheapestWorker(task, capacities, chosen.groupingBy { it }.eachCount()) ?: break
            capacity.free -= stepRun.step.occupied
            chosen.add(capacity)
        }
        freeBefore.forEach { (capacity, free) -> capacity.free = free }
        if (chosen.size < stepRun.tasks.size) return false
        val runNumber = stepRun.tasks.maxOf { it.lastRunNumber }
        val checkpoint = stepRun.tasks.firstNotNullOfOrNull { it.checkpoint }
        for ((task, capacity) in stepRun.tasks.zip(chosen)) {
            task.lastRunNumber = runNumber
            task.checkpoint = checkpoint
            assign(task, capacity)
        }
        return true
    }

    private fun assign(
        task: TaskRun,
        capacity: WorkerCapacity,
    ) {
        val step = task.stepRun.step
        capacity.free -= step.occupied
        if (task.isCrashSuspect) capacity.isReserved = true
        capacity.lastEndMs = null
        driver.start(task, capacity.worker)
        startLimit.onStarted(task)
    }

    private fun cheapestWorker(
        task: TaskRun,
        capacities: List<WorkerCapacity>,
        planned: Map<WorkerCapacity, Int> = emptyMap(),
    ): WorkerCapacity? {
        val step = task.stepRun.step
        val racks = if (step.isRackSensitive) racksOf(task.stepRun) else emptySet()
        val durationMs = if (runTimes.predictsEnds) runTimes.durationMs(task.stepRun) else 0.0
        var best: WorkerCapacity? = null
        var bestCost = Double.MAX_VALUE
        for (capacity in capacities) {
            if (!fits(task, capacity, planned[capacity] ?: 0)) continue
            val cost = cost(task, step, capacity, racks, durationMs)
            if (cost >= bestCost) continue
            best = capacity
            bestCost = cost
        }
        return best
    }

    private fun fits(
        task: TaskRun,
        capacity: WorkerCapacity,
        plannedCount: Int,
    ): Boolean {
        val step = task.stepRun.step
        if (capacity.isReserved || !mayTake(capacity.worker, step)) return false
        if (!step.occupied.fitsIn(capacity.free)) return false
        if (step.requiredLabel != null && step.requiredLabel !in capacity.worker.entry.labels) return false
        // A best-effort task would slow down a task with a response time target on the same worker.
        if (step.isBestEffort && capacity.hasServingTask || step.responseTargetMs != null && capacity.hasBestEffortTask) return false
        if (task.stepRun.job.queue.needsAdvice && capacity.worker.id !in task.stepRun.tickets) return false
        val max = step.maxPerWorker ?: return true
        return task.stepRun.taskCountOn(capacity.worker) + plannedCount < max
    }

    private fun cost(
        task: TaskRun,
        step: Step,
        capacity: WorkerCapacity,
        racks: Set<String>,
        durationMs: Double,
    ): Double {
        val unused = capacity.free - step.occupied
        val total = capacity.worker.entry.capacity
        var cost = unused.cpuMilli.toDouble() / maxOf(1, total.cpuMilli) + unused.memoryMb.toDouble() / maxOf(1, total.memoryMb)
        if (step.preferredRack != null && step.preferredRack !in capacity.worker.entry.labels) cost += REMOTE_RACK_COST
        if (racks.isNotEmpty() &&
            capacity.worker.entry.labels
                .none { it in racks }
        ) {
            cost += REMOTE_RACK_COST
        }
        if (task.lastFailedWorkerId == capacity.worker.id) cost += FAILED_WORKER_COST
        if (task.crashedRuns.isNotEmpty() && capacity.hasCrashedTask) cost += CRASHED_TOGETHER_COST
        if (task.isCrashSuspect) cost += capacity.worker.runs.size * ENDANGERED_RUN_COST
        if (isFailing(capacity.worker)) cost += FAILING_WORKER_COST
        if (runTimes.predictsEnds) cost += runTimes.lateEndCost(durationMs, lastEndMs(capacity), loop.nowMs)
        return cost
    }

    private fun lastEndMs(capacity: WorkerCapacity): Double =
        capacity.lastEndMs ?: runTimes.lastEndMs(capacity.worker, loop.nowMs).also { capacity.lastEndMs = it }

    /** Racks of the workers that run tasks of [stepRun]: their labels after the first, which is the worker's kind. */
    private fun racksOf(stepRun: StepRun): Set<String> =
        stepRun.tasks
            .mapNotNull { it.worker }
            .flatMap { it.entry.labels.drop(1) }
            .toSet()

    /** True while the tickets of [stepRun] are valid; otherwise requests new ones, which a later pass uses. */
    private fun ensureTickets(
        stepRun: StepRun,
        capacities: List<WorkerCapacity>,
    ): Boolean {
        if (loop.nowMs < stepRun.ticketsExpireAtMs) return true
        if (stepRun.isAdviceInFlight) return false
        val workers = capacities.map { it.worker }.filter { mayTake(it, stepRun.step) }.sortedBy(::isFailing)
        if (workers.isEmpty()) return false
        stepRun.isAdviceInFlight = true
        val name = "${stepRun.job.id}.${stepRun.occurrence}.${stepRun.number}"
        val sentAtMs = loop.nowMs
        advice.ask(name, workers.take(MAX_ADVISED_WORKERS).map { it.id }) { answer ->
            stepRun.isAdviceInFlight = false
            val granted = answer.granted
            log.write("advice", "step", name, "asked", workers.size, "granted", granted?.size, "tookMs", loop.nowMs - sentAtMs)
            if (granted != null) {
                stepRun.tickets = granted.associate { it.workerId to it.ticket }
                stepRun.ticketsExpireAtMs = sentAtMs + answer.validForMs - TICKET_EXPIRY_MARGIN_MS
            }
        }
        return false
    }

    private companion object {
        /** Minimum time between two explanations of waiting tasks. */
        const val EXPLAIN_INTERVAL_MS = 1_000L

        /** Wait after which a task is explained. */
        const val EXPLAIN_AFTER_MS = 1_000L

        /** Maximum number of tasks in one explanation. */
        const val MAX_EXPLAINED = 3

        /** Exceeds any cost of unused capacity: a run in another rack takes 1.5 to 2 times as long. */
        const val REMOTE_RACK_COST = 4.0

        /** Exceeds any cost of unused capacity: the worker may have caused the task's last failure. */
        const val FAILED_WORKER_COST = 3.0

        /** Exceeds any cost of unused capacity: tasks that shared a crash are separated, so that another crash shows which caused it. */
        const val CRASHED_TOGETHER_COST = 3.0

        /** Exceeds any cost of unused capacity: the worker of a crash suspect may crash with all runs on it. */
        const val ENDANGERED_RUN_COST = 3.0

        /** Exceeds all other costs together: a failing worker is the last resort. */
        const val FAILING_WORKER_COST = 20.0

        /** Maximum number of workers in one advice request; the advice service spends one period on each. */
        const val MAX_ADVISED_WORKERS = 30

        /** Tickets count as expired this long before their validity ends. */
        const val TICKET_EXPIRY_MARGIN_MS = 300L
    }
}
