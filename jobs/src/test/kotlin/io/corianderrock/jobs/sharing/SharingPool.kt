/*
 * An owner with a placer and a sharing controller over stand-in workers whose tasks disturb each other, over simulated time.
 */
package io.corianderrock.jobs.sharing

import io.corianderrock.jobs.SlowTables
import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.placement.Placer
import io.corianderrock.jobs.placement.RunTimeEstimator
import io.corianderrock.jobs.placement.WorkerChoice
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.ports.HoldOrder
import io.corianderrock.jobs.ports.PaceOrder
import io.corianderrock.jobs.ports.StartOrder
import io.corianderrock.jobs.ports.StopOrder
import io.corianderrock.jobs.ports.WorkerAnswer
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.ports.WorkerLink
import io.corianderrock.jobs.runs.Committer
import io.corianderrock.jobs.runs.DriverWorkers
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.runs.WorkerDriver
import io.corianderrock.jobs.runtimes.MeanRunTimes
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import kotlin.random.Random

/** Shares workers without any control, to show what the stand-in workers do then. */
private object UncontrolledSharing : SharingPolicy {
    override fun mayStartBeside(
        worker: WorkerView,
        step: Step,
    ) = true

    override fun cost(
        worker: WorkerView,
        step: Step,
    ) = 0.0
}

internal class SharingPool(
    seed: Int,
    workerCount: Int,
    private val isControlled: Boolean = true,
    /** Share of the pace orders that are carried out up to 12 s late and not answered. */
    private val lateRatio: Double = 0.0,
    /** By which parts of their target tasks raise the tails of others. */
    parts: List<Double> = Disturbance.DEFAULT_PARTS,
) : WorkerLink {
    private val random = Random(seed)
    val time = SimTime()
    val loop = SimLoop(time)
    val logged = ArrayList<String>()
    private val log = DecisionLog { event, fields -> logged.add("${time.nowMs} $event ${fields.joinToString(" ")}") }
    private val committer = Committer(loop, SlowTables(time, answerMs = 5), log, OwnerRow("e", "e", 1, 1), 1, { 0 }, {})
    private val registry = JobRegistry(loop, committer, log)
    private val driver: WorkerDriver =
        WorkerDriver(
            loop = loop,
            link = this,
            committer = committer,
            registry = registry,
            log = log,
            epoch = 2,
            longestLeaseMs = 6_000,
            mayOrder = { true },
            onChange = {},
            onFenced = {},
            onRunEnd = {},
            onReport = { if (isControlled) controller.onReport(it) },
        )
    private val paceOrders = PaceOrders(loop, this, log, { true }, driver::onFenceRejected)
    val controller: SharingController =
        SharingController(loop, log, DriverWorkers(driver, mayMove = { placer.hasOtherPlace(it) }), paceOrders)
    private val estimator = RunTimeEstimator(MeanRunTimes())
    private val placer: Placer =
        Placer(
            loop = loop,
            registry = registry,
            driver = driver,
            runTimes = estimator,
            advice = { _, _, _ -> },
            log = log,
            mayOrder = { true },
            choice = WorkerChoice(loop, estimator, true, if (isControlled) controller else UncontrolledSharing),
        )
    private val disturbance = Disturbance(time, random, parts)
    val workers = LinkedHashMap<String, DisturbedWorker>()
    val paces = ArrayList<PaceOrder>()

    /** Workers that do not answer. */
    val silent = HashSet<String>()

    init {
        repeat(workerCount) { join("w$it") }
        driver.open()
        play(100)
    }

    /** Adds a worker to the pool. */
    fun join(id: String) {
        val entry = WorkerEntry(id, id, "pool", "dc", id, CAPACITY, listOf("kind", "rack"), false, null, 1)
        workers[id] = DisturbedWorker(entry, time, random, disturbance)
        driver.onListed(entry)
    }

    fun submit(
        id: String,
        step: Step,
    ): JobRun = registry.load(JobSubmission(id, Queue("queue", "pool"), "spec", listOf(step)), null, isInherited = false)

    fun cancel(job: JobRun) = registry.cancel(job) {}

    /** The ids of the workers on which [job] runs. */
    fun placesOf(job: JobRun): List<String> = job.tasks.mapNotNull { it.worker?.id }.toList()

    fun isDone(job: JobRun): Boolean = job.tasks.all { it.stepRun.isDone }

    val longestOverMs: Long get() = workers.values.maxOf { it.longestOverMs }

    /** Plays [durationMs], or until [isOver]. */
    fun play(
        durationMs: Long,
        isOver: () -> Boolean = { false },
    ) {
        val endMs = time.nowMs + durationMs
        while (time.nowMs < endMs && !isOver()) {
            time.runUntil(time.nowMs + DisturbedWorker.STEP_MS)
            workers.values.forEach { it.step() }
            if (time.nowMs % TICK_MS != 0L) continue
            driver.tick()
            if (isControlled) controller.tick()
            placer.placeWaitingTasks(listOf("pool"))
        }
    }

    private fun stepOf(order: StartOrder): Step = checkNotNull(task(order)).stepRun.step

    private fun task(order: StartOrder): TaskRun? = registry.find(order.task.jobId)?.task(order.task)

    private fun send(
        entry: WorkerEntry,
        onAnswer: (WorkerAnswer) -> Unit,
        carryOut: (DisturbedWorker) -> WorkerAnswer,
    ) {
        val worker = workers.getValue(entry.id)
        loop.after(random.nextLong(1, 6)) {
            if (entry.id in silent) {
                loop.after(TIMEOUT_MS) { onAnswer(WorkerAnswer.Unanswered("no answer", mayBeCarriedOut = true)) }
            } else {
                val answer = carryOut(worker)
                loop.after(random.nextLong(1, 6)) { onAnswer(answer) }
            }
        }
    }

    override fun start(
        entry: WorkerEntry,
        order: StartOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    ) = send(entry, onAnswer) {
        it.start(order, stepOf(order))
        WorkerAnswer.Done(it.clockMs)
    }

    override fun stop(
        entry: WorkerEntry,
        order: StopOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    ) = send(entry, onAnswer) {
        it.end(order.task, EndKind.STOPPED)
        WorkerAnswer.Done(it.clockMs)
    }

    override fun pace(
        entry: WorkerEntry,
        order: PaceOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    ) {
        paces.add(order)
        if (random.nextDouble() < lateRatio) {
            time.after(random.nextLong(1_000, 12_000)) { workers.getValue(entry.id).pace(order) }
            loop.after(TIMEOUT_MS) { onAnswer(WorkerAnswer.Unanswered("answer lost", mayBeCarriedOut = true)) }
            return
        }
        send(entry, onAnswer) {
            it.pace(order)
            WorkerAnswer.Done(it.clockMs)
        }
    }

    override fun hold(
        entry: WorkerEntry,
        order: HoldOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    ) = await(entry, order, time.nowMs + order.waitMs, onAnswer)

    private fun await(
        entry: WorkerEntry,
        order: HoldOrder,
        untilMs: Long,
        onAnswer: (WorkerAnswer) -> Unit,
    ) {
        val hasEnd = workers.getValue(entry.id).ended.any { it.number > order.acknowledgedEnd }
        if (time.nowMs < untilMs && !hasEnd) {
            loop.after(DisturbedWorker.STEP_MS) { await(entry, order, untilMs, onAnswer) }
        } else {
            send(entry, onAnswer) { it.lists(order.acknowledgedEnd) }
        }
    }

    private companion object {
        val CAPACITY = Demand(32_000, 131_072)
        const val TICK_MS = 50L
        const val TIMEOUT_MS = 700L
    }
}
