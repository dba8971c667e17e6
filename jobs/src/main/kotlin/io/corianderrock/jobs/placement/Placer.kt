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
import io.corianderrock.jobs.state.StepRun
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView

internal class Placer(
    private val loop: EventLoop,
    private val registry: JobRegistry,
    private val driver: WorkerDriver,
    private val runTimes: RunTimeEstimator,
    advice: AdviceService,
    private val log: DecisionLog,
    private val mayOrder: () -> Boolean,
    private val order: CandidateOrder = ObjectiveOrder,
    private val startLimit: StartLimit = StartLimit { true },
    private val choice: WorkerChoice = WorkerChoice(loop, runTimes),
    private val rackWaits: RackWaits? = null,
    private val wideTaskRoom: WideTaskRoom? = null,
    poolShares: PoolShares = PoolShares { emptyList() },
    /** Called with a pool in which an answer of the advice service may let tasks start. */
    onAdvice: (String) -> Unit = {},
) {
    private val suspects = SuspectRestarts(loop, choice, log)
    private val adviser = StepAdviser(loop, advice, choice, log, onAdvice)
    private val explainer = WaitExplainer(loop, registry, driver, choice, log, poolShares) { !mayStartAny(it.stepRun, listOf(it)) }

    /** By pool: since when, in loop time, every pass has left a task without capacity. */
    private val capacityShortageSinceMs = HashMap<String, Long>()

    /** For how many milliseconds every pass has left some task of [pool] without a worker that has capacity; 0 when none is. */
    fun capacityShortageMs(pool: String): Long = capacityShortageSinceMs[pool]?.let { loop.nowMs - it } ?: 0

    /** Runs one placement pass over [pools], unless the ownership was last confirmed too long ago to order starts. */
    fun placeWaitingTasks(pools: Collection<String>) {
        if (mayOrder()) pools.forEach(::placeIn)
    }

    private fun placeIn(pool: String) {
        if (driver.isReconciling(pool)) explainer.logReconciling(pool)
        val ready = readySteps(pool)
        if (ready.isEmpty()) {
            capacityShortageSinceMs.remove(pool)
            return
        }
        val capacity =
            PoolCapacity(driver.workers.filter { it.entry.pool == pool && isUsable(it) }.map(::WorkerCapacity), loop.nowMs, runTimes)
        rackWaits?.beginPass()
        suspects.beginPass { driver.workers.filter { it.entry.pool == pool } }
        var isShort = false
        for (candidate in ready) {
            if (placeStep(candidate, capacity)) {
                wideTaskRoom?.onPlaced(candidate.stepRun)
            } else {
                isShort = true
                wideTaskRoom?.onUnplaced(candidate.stepRun, capacity)
            }
        }
        if (isShort) rackWaits?.onShort(pool)
        if (isShort) capacityShortageSinceMs.putIfAbsent(pool, loop.nowMs) else capacityShortageSinceMs.remove(pool)
        explainer.explainWaiting(ready, capacity.workers)
    }

    /** True if [task], which runs, could be started on another worker now. */
    fun hasOtherPlace(task: TaskRun): Boolean {
        val worker = task.worker ?: return false
        val others = driver.workers.filter { it !== worker && it.entry.pool == worker.entry.pool && isUsable(it) }
        return choice.cheapestWorker(task, others.map(::WorkerCapacity)) != null
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
            !worker.hasUnreadableRuns &&
            worker.consecutiveLostHolds == 0 &&
            loop.nowMs >= worker.avoidUntilMs

    /**
     * Assigns the waiting tasks of [candidate]; false when one of them found no worker with capacity, and none that may turn out to be
     * allowed has any.
     */
    private fun placeStep(
        candidate: Candidate,
        capacity: PoolCapacity,
    ): Boolean {
        val stepRun = candidate.stepRun
        // Before the search for capacity: work that a limit holds back is no shortage of capacity.
        if (!mayStartAny(stepRun, candidate.tasks)) return true
        if (!capacity.hasRoomFor(stepRun, choice.expectedEndMs(stepRun))) return false
        val capacities = capacity.workers
        if (stepRun.step.isGang) return placeGang(stepRun, capacities)
        for (task in candidate.tasks.filter { it.phase == TaskPhase.WAITING }) {
            if (!startLimit.mayStart(task)) return true
            if (rackWaits?.holds(task, capacity) == true || suspects.holds(task)) continue
            val chosen = choice.cheapestWorker(task, capacities)
            if (chosen == null && suspects.awaitsIdleWorker(task, capacities)) continue
            assign(task, chosen ?: return adviser.awaitsAdvice(task, capacities))
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
        if (stepRun.waitingCount < stepRun.step.count || stepRun.tasks.any(suspects::holds)) return true
        val freeBefore = capacities.associateWith { it.free }
        val chosen = ArrayList<WorkerCapacity>()
        for (task in stepRun.tasks) {
            val capacity = choice.cheapestWorker(task, capacities, chosen.groupingBy { it }.eachCount()) ?: break
            capacity.free -= stepRun.step.occupied
            chosen.add(capacity)
        }
        freeBefore.forEach { (capacity, free) -> capacity.free = free }
        if (chosen.size < stepRun.tasks.size) return adviser.awaitsAdvice(stepRun.tasks[chosen.size], capacities)
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
        capacity.room?.onAssigned(task.stepRun, choice.expectedEndMs(task.stepRun))
        driver.start(task, capacity.worker)
        suspects.onStarted(task, capacity.worker)
        startLimit.onStarted(task)
    }
}
