/*
 * A pool in which the placer is passed over every 10 ms and each task ends when its run time is over.
 */
package io.corianderrock.jobs.placement

import io.corianderrock.jobs.contention.JobRanking
import io.corianderrock.jobs.contention.RemainingGain
import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.ports.AdviceService
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.runs.Committer
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.runs.SchedulingSettings
import io.corianderrock.jobs.runs.WorkerDriver
import io.corianderrock.jobs.runtimes.AnsweringLink
import io.corianderrock.jobs.runtimes.EndedRun
import io.corianderrock.jobs.runtimes.MeanRunTimes
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.TaskId
import io.corianderrock.jobs.state.WorkerView
import io.corianderrock.jobs.world.SilentTables
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import kotlin.random.Random

internal class PlacementPool(
    rackCount: Int,
    workersPerRack: Int,
    settings: SchedulingSettings,
    private val remoteFactor: Double = 1.5,
    private val capacity: Demand = Demand(16_000, 32_000),
    seed: Int = 1,
    private val advice: AdviceService? = null,
) {
    private val random = Random(seed)
    private val time = SimTime()
    private val loop = SimLoop(time)
    val events = ArrayList<String>()
    private val log = DecisionLog { event, _ -> events.add(event) }
    private val committer = Committer(loop, SilentTables, log, OwnerRow("e", "e", 1, 1), 1, { 0 }, {})
    private val registry = JobRegistry(loop, committer, log)
    private val driver = WorkerDriver(loop, AnsweringLink(loop), committer, registry, log, 1, 6_000, { true }, {}, {}, {})
    private val model = MeanRunTimes()
    private val estimator = RunTimeEstimator(model)
    private val choice = WorkerChoice(loop, estimator, settings.packsLongRunningTasks)
    private val placer =
        Placer(
            loop = loop,
            registry = registry,
            driver = driver,
            runTimes = estimator,
            advice = { step, workers, onAnswer -> advice?.ask(step, workers, onAnswer) },
            log = log,
            mayOrder = { true },
            order = if (settings.ranksByRemainingGain) JobRanking(loop, RemainingGain(loop, estimator, model), log) else ObjectiveOrder,
            choice = choice,
            rackWaits = if (settings.waitsForPreferredRack) RackWaits(loop, estimator, choice, remoteFactor) else null,
            wideTaskRoom = if (settings.keepsRoomForWideTasks) WideTaskRoom(loop, choice, log) else null,
        )
    private val running = HashSet<TaskId>()
    private val startedAtMs = LinkedHashMap<TaskId, Long>()
    private val tookMs = LinkedHashMap<String, Long>()
    private var submittedCount = 0

    /** Core-milliseconds of all ended runs. */
    var usedCoreMs = 0.0
        private set

    /** Processor time of all passes, in nanoseconds. */
    var passNs = 0L
        private set
    var passCount = 0
        private set
    val nowMs: Long get() = loop.nowMs
    val workers: List<WorkerView> get() = driver.workers.toList()

    /** How long the passes have left some task without a worker that has capacity, in milliseconds. */
    val capacityShortageMs: Long get() = placer.capacityShortageMs("pool")

    init {
        driver.open()
        for (rack in 0 until rackCount) {
            for (index in 0 until workersPerRack) {
                val id = "w-$rack-$index"
                driver.onListed(WorkerEntry(id, id, "pool", "dc", id, capacity, listOf("kind", "rack-$rack"), false, null, 0))
            }
        }
        time.runUntil(time.nowMs + 100)
    }

    /** Submits a job of [steps], and returns its id. */
    fun submit(
        vararg steps: Step,
        priority: Int = 0,
        queue: String = "q-$priority",
    ): String {
        val id = "job-${submittedCount++}"
        registry.load(
            JobSubmission(
                id,
                Queue(
                    name = queue,
                    pool = "pool",
                    priority = priority,
                    stretchFactor = STRETCH_FACTOR,
                    targetLatencyMs = TARGET_LATENCY_MS,
                    needsAdvice = advice != null,
                ),
                "s",
                steps.toList(),
            ),
            progress = null,
            isInherited = false,
        )
        return id
    }

    /** Begins another incarnation of the worker [id], which runs nothing. */
    fun restart(id: String) {
        val worker = workers.first { it.id == id }
        worker.beginIncarnation(bornWallMs = time.nowMs, time.nowMs, fence = 1)
        worker.isReconciled = true
    }

    /** Calls [action] after [delayMs]. */
    fun after(
        delayMs: Long,
        action: () -> Unit,
    ) = time.after(delayMs, action)

    /** The time from the submission of [id] to its end; null while it runs. */
    fun tookMs(id: String): Long? = tookMs[id]

    /** Loop times at which the tasks of [id] that have started did so. */
    fun startsMs(id: String): List<Long> = startedAtMs.filterKeys { it.jobId == id }.values.toList()

    /** Makes the model expect [durationMs] of the tasks of priority 0. */
    fun teach(
        runCount: Int,
        durationMs: Long,
    ) {
        val step =
            registry.live
                .first()
                .tasks
                .first()
                .stepRun
        repeat(runCount) { model.observe(EndedRun(step, workers.first(), durationMs, EndKind.DONE)) }
    }

    fun ended(): Collection<Long> = tookMs.values

    /** Plays [durationMs] and calls [arrive] before each pass. */
    fun play(
        durationMs: Long,
        arrive: () -> Unit = {},
    ) {
        val endMs = time.nowMs + durationMs
        while (time.nowMs < endMs) {
            arrive()
            val beforeNs = System.nanoTime()
            placer.placeWaitingTasks(listOf("pool"))
            passNs += System.nanoTime() - beforeNs
            passCount++
            registry.live.toList().forEach(::runStarted)
            time.runUntil(time.nowMs + PASS_MS)
        }
    }

    /** Run times are between half and one and a half of the estimate; three in 100 are seven times as long, as at the customers. */
    private fun runStarted(job: JobRun) {
        for (task in job.tasks) {
            val worker = task.worker ?: continue
            if (!running.add(task.id)) continue
            startedAtMs[task.id] = loop.nowMs
            val step = task.stepRun.step
            if (step.isLongRunning) continue
            val isRemote = step.preferredRack != null && step.preferredRack !in worker.entry.labels
            val tail = if (random.nextInt(100) < 3) 7 else 1
            val durationMs = (step.estimateMs * random.nextDouble(0.5, 1.5) * tail * (if (isRemote) remoteFactor else 1.0)).toLong()
            time.after(durationMs) {
                usedCoreMs += step.occupied.cpuMilli / 1_000.0 * durationMs
                model.observe(EndedRun(task.stepRun, worker, durationMs, EndKind.DONE))
                worker.releaseRun(task, loop.nowMs)
                registry.taskDone(task)
                if (job.state.isFinal) tookMs[job.id] = loop.nowMs - job.acceptedAtMs
            }
        }
    }

    private companion object {
        const val PASS_MS = 10L

        /** The objectives of the customers' short work. */
        const val STRETCH_FACTOR = 1.6
        const val TARGET_LATENCY_MS = 600L
    }
}
