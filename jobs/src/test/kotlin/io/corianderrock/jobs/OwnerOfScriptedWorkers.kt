/*
 * An owner over workers whose answers a test scripts, each with its delay, over simulated time.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.ports.EndRow
import io.corianderrock.jobs.ports.HoldOrder
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.PaceOrder
import io.corianderrock.jobs.ports.RunningRow
import io.corianderrock.jobs.ports.StartOrder
import io.corianderrock.jobs.ports.StopOrder
import io.corianderrock.jobs.ports.WorkerAnswer
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.ports.WorkerLink
import io.corianderrock.jobs.runs.Committer
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.runs.WorkerDriver
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime

/** An owner whose workers answer orders as [onStart] and [onStop] say: after how long, and what. */
internal class OwnerOfScriptedWorkers(
    step: Step = Step(1, Demand(1_000, 100)),
    workerCount: Int = 1,
    tablesOf: (SimTime) -> JobTables = { SlowTables(it, answerMs = 5) },
) : WorkerLink {
    val time = SimTime()
    val loop = SimLoop(time)
    private val committer = Committer(loop, tablesOf(time), { _, _ -> }, OwnerRow("e", "e", 1, 1), 1, { 0 }, {})
    val registry = JobRegistry(loop, committer) { _, _ -> }
    var mayOrder = true
    var fencedCount = 0
    val logged = ArrayList<String>()
    val driver =
        WorkerDriver(
            loop,
            this,
            committer,
            registry,
            log = { event, fields -> logged.add("${time.nowMs} $event ${fields.joinToString(" ")}") },
            epoch = 2,
            longestLeaseMs = 6_000,
            mayOrder = { mayOrder },
            onChange = {},
            onFenced = { fencedCount++ },
            onRunEnd = {},
        )
    private val startedAtMs = time.nowMs
    private val bornWallMs = time.nowMs
    val starts = ArrayList<StartOrder>()
    val stops = ArrayList<Pair<String, Long>>()
    val holds = ArrayList<HoldOrder>()
    val job = registry.load(JobSubmission("job", Queue("queue", "pool"), "spec", listOf(step)), null, isInherited = false)
    val tasks = job.tasks.toList()
    val running = HashMap<String, List<RunningRow>>()
    var ended = emptyList<EndRow>()
    var onStart: (WorkerEntry, StartOrder) -> Pair<Long, WorkerAnswer> = { _, _ -> 1L to done() }
    var onStop: (WorkerEntry, StopOrder) -> Pair<Long, WorkerAnswer> = { _, _ -> 1L to done() }

    /** The answer to a hold and its delay; null for the lists of the worker. */
    var onHold: (WorkerEntry, HoldOrder) -> Pair<Long, WorkerAnswer>? = { _, _ -> null }

    /** Time of the answer to a hold; what is listed is read when the hold arrives, 1 ms after it was sent, or when its wait is over. */
    var holdMs = 1L

    init {
        for (index in 0 until workerCount) {
            driver.onListed(entry(index))
        }
        driver.open()
        pass(50)
    }

    /** The row of the worker [index], by itself. */
    fun entry(index: Int = 0) = WorkerEntry("w$index", "w$index", "pool", "dc", "i$index", CAPACITY, emptyList(), false, null, bornWallMs)

    fun cancelJob() = registry.cancel(job) {}

    fun worker(index: Int = 0) = checkNotNull(driver.find("w$index"))

    fun done() = WorkerAnswer.Done(clockMs())

    fun pass(ms: Long) = time.runUntil(time.nowMs + ms)

    /** Lets time pass until [condition] holds. */
    fun passUntil(condition: () -> Boolean) {
        val latestMs = time.nowMs + LATEST_MS
        while (!condition()) {
            check(time.nowMs < latestMs) { "the condition does not hold within $LATEST_MS ms" }
            pass(1)
        }
    }

    fun passTicking(ms: Long) {
        val endMs = time.nowMs + ms
        while (time.nowMs < endMs) {
            pass(minOf(50, endMs - time.nowMs))
            driver.tick()
        }
    }

    fun clockMs() = time.nowMs - startedAtMs

    override fun start(
        entry: WorkerEntry,
        order: StartOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    ) {
        starts.add(order)
        val (afterMs, answer) = onStart(entry, order)
        loop.after(afterMs) { onAnswer(answer) }
    }

    override fun stop(
        entry: WorkerEntry,
        order: StopOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    ) {
        stops.add(entry.id to order.runNumber)
        val (afterMs, answer) = onStop(entry, order)
        loop.after(afterMs) { onAnswer(answer) }
    }

    override fun pace(
        entry: WorkerEntry,
        order: PaceOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    ) {
        loop.after(1) { onAnswer(WorkerAnswer.Done(clockMs())) }
    }

    override fun hold(
        entry: WorkerEntry,
        order: HoldOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    ) {
        holds.add(order)
        onHold(entry, order)?.let { (afterMs, answer) ->
            loop.after(afterMs) { onAnswer(answer) }
            return
        }
        val answerMs = holdMs
        loop.after(maxOf(order.waitMs.toLong(), 1)) {
            val lists = WorkerAnswer.Listed(clockMs(), bornWallMs, running[entry.id].orEmpty(), ended)
            loop.after(answerMs) { onAnswer(lists) }
        }
    }

    companion object {
        private val CAPACITY = Demand(8_000, 32_000)
        private const val LATEST_MS = 12_000L
        val LOST = 700L to WorkerAnswer.Unanswered("no answer", mayBeCarriedOut = true)
    }
}
