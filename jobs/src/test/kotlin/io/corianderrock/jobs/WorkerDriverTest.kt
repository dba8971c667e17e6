/*
 * A worker that ends and starts again under its id within moments, while orders and rows of its last incarnation are on their way.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.ports.EndRow
import io.corianderrock.jobs.ports.HoldOrder
import io.corianderrock.jobs.ports.Instance
import io.corianderrock.jobs.ports.InstanceState
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.RunningRow
import io.corianderrock.jobs.ports.StartOrder
import io.corianderrock.jobs.ports.StopOrder
import io.corianderrock.jobs.ports.Table
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
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

private const val WORKER = "w"
private const val INSTANCE = "i"
private const val POOL = "pool"
private const val LONGEST_LEASE_MS = 6_000L
private const val ORDER_TIMEOUT_MS = 700L

/** Time in which a worker that is up answers. */
private const val SETTLE_MS = 50L

/** Time in which a transaction of the slow store is on its way and has not been answered. */
private const val IN_FLIGHT_MS = 100L

/** Time in which a stop is answered and confirmed by the next report. */
private const val STOP_MS = 1_500L
private const val TICK_MS = 50L

/** Time after which an order that was delayed on its way has arrived. */
private const val LATEST_ORDER_MS = 12_000L

/** Allowance of the owner for slow clocks and timeouts over the end of a late lease. */
private const val LATE_MARGIN_MS = 2_000L

/** Time in which a worker that does not answer is asked again. */
private const val RETRY_MS = 1_200L

/** A run number that this owner has not given. */
private const val EARLIER_OWNERS_RUN = 7L

/** A step of a worker's time of day, longer than the worker has been up. */
private const val CLOCK_STEP_MS = 60_000L

/** The number of the last end that the worker lists. */
private const val LAST_END = 40L
private val CAPACITY = Demand(8_000, 32_000)

/** An owner with one worker, whose answers the test controls, and one job with one task. */
private class OwnerOfOneWorker(
    var isUp: Boolean = true,
    /** Time after which a hold of the worker fails while it is down. */
    private val failedHoldMs: Long = 1,
) : WorkerLink {
    val time = SimTime()
    private val loop = SimLoop(time)
    private val tables = SlowTables(time)
    val committer = Committer(loop, tables, { _, _ -> }, OwnerRow("e", "e", 1, 1), 1, { 0 }, {})
    private val registry = JobRegistry(loop, committer) { _, _ -> }
    val driver =
        WorkerDriver(
            loop,
            this,
            committer,
            registry,
            log = { _, _ -> },
            epoch = 2,
            longestLeaseMs = LONGEST_LEASE_MS,
            mayOrder = { true },
            onChange = {},
            onFenced = {},
            onRunEnd = {},
        )
    private val startedAtMs = time.nowMs
    private var bornWallMs = time.nowMs

    /** True while answers to starts are lost; the start itself may arrive late. */
    var areStartAnswersLost = false

    /** How many of the next answers to holds are lost. */
    var lostHoldAnswers = 0

    /** For each start order whether the row that records runs on the worker was stored when it was sent. */
    val wasRowStoredAtStart = ArrayList<Boolean>()
    val stoppedRuns = ArrayList<Long>()

    /** What the worker lists. */
    var runningRows = emptyList<RunningRow>()
    var endedRows = emptyList<EndRow>()

    /** The ends that holds have acknowledged, 0 for a hold that acknowledges none. */
    val acknowledgements = ArrayList<Long>()
    var holdCount = 0
        private set
    val task: TaskRun

    init {
        val submission = JobSubmission("job", Queue("queue", POOL), "spec", listOf(Step(1, Demand(1_000, 100))))
        task = registry.load(submission, progress = null, isInherited = false).tasks.first()
        driver.onListed(entry())
        driver.open()
        pass(SETTLE_MS)
    }

    fun pass(durationMs: Long) = time.runUntil(time.nowMs + durationMs)

    /** Lets [durationMs] pass with the checks of leases that the scheduler makes in each tick. */
    fun passTicking(durationMs: Long) {
        val endMs = time.nowMs + durationMs
        while (time.nowMs < endMs) {
            pass(minOf(TICK_MS, endMs - time.nowMs))
            driver.tick()
        }
    }

    /** True if the worker may be given new tasks. */
    val isUsable: Boolean get() = checkNotNull(driver.find(WORKER)).let { it.consecutiveLostHolds == 0 && it.avoidUntilMs <= time.nowMs }

    fun waitUntil(condition: () -> Boolean) {
        val latestMs = time.nowMs + LATEST_ORDER_MS
        while (!condition()) {
            check(time.nowMs < latestMs) { "the condition does not hold within $LATEST_ORDER_MS ms" }
            pass(1)
        }
    }

    fun startTask() = driver.start(task, checkNotNull(driver.find(WORKER)))

    /** Lists the worker in a new incarnation with the same id, whose clock was set back by [clockStepMs]. */
    fun startAgain(clockStepMs: Long = 0) {
        isUp = true
        bornWallMs = time.nowMs - clockStepMs
        driver.onListed(entry())
        pass(SETTLE_MS)
    }

    /** Lists the worker in a new incarnation with the same id that does not answer. */
    fun startAgainUnreached() {
        isUp = false
        bornWallMs = time.nowMs
        driver.onListed(entry())
        pass(SETTLE_MS)
    }

    fun listInstanceAsDown() =
        driver.onInstancesListed(
            listOf(Instance(INSTANCE, POOL, InstanceState.DOWN, "dc", emptyList(), CAPACITY, workerId = null)),
            requestedAtMs = time.nowMs,
        )

    /** Lists another worker of the same instance. */
    fun listOther(bornWallMs: Long) = driver.onListed(entry().copy(id = "other", bornWallMs = bornWallMs))

    private fun entry() = WorkerEntry(WORKER, WORKER, POOL, "dc", INSTANCE, CAPACITY, emptyList(), false, null, bornWallMs)

    override fun start(
        entry: WorkerEntry,
        order: StartOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    ) {
        val key = RowKey(Table.WORKER_LEASES, WORKER)
        val last = tables.changes.lastOrNull { key in it.puts || key in it.deletes }
        wasRowStoredAtStart.add(last != null && key in last.puts)
        if (isUp && !areStartAnswersLost) {
            loop.after(1) { onAnswer(WorkerAnswer.Done(clockMs())) }
        } else {
            loop.after(ORDER_TIMEOUT_MS) { onAnswer(WorkerAnswer.Unanswered("no answer", mayBeCarriedOut = true)) }
        }
    }

    override fun stop(
        entry: WorkerEntry,
        order: StopOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    ) {
        stoppedRuns.add(order.runNumber)
        loop.after(1) { onAnswer(WorkerAnswer.Done(clockMs())) }
    }

    override fun hold(
        entry: WorkerEntry,
        order: HoldOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    ) {
        holdCount++
        acknowledgements.add(order.acknowledgedEnd)
        if (lostHoldAnswers > 0) {
            lostHoldAnswers--
            loop.after(ORDER_TIMEOUT_MS) { onAnswer(WorkerAnswer.Unanswered("no answer", mayBeCarriedOut = true)) }
            return
        }
        val delayMs = if (!isUp) failedHoldMs else maxOf(order.waitMs.toLong(), 1)
        loop.after(delayMs) {
            onAnswer(
                if (isUp) {
                    WorkerAnswer.Listed(clockMs(), bornWallMs, runningRows, endedRows)
                } else {
                    WorkerAnswer.Unanswered("connection refused", mayBeCarriedOut = false)
                },
            )
        }
    }

    private fun clockMs() = time.nowMs - startedAtMs
}

internal class WorkerDriverTest :
    DescribeSpec({
        describe("a worker that is removed and listed again under its id") {
            // Guards against a start that no stored row records: the next owner would not wait for its run (TWICE).
            it("gets a start only once its new row is stored") {
                val owner = OwnerOfOneWorker()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.committer.put(RowKey(Table.PROGRESS, "other")) { "row" }
                owner.pass(IN_FLIGHT_MS)
                owner.driver.onWorkerTerminated(WORKER)
                owner.startAgain()
                owner.startTask()
                owner.pass(6 * ANSWER_MS)
                owner.wasRowStoredAtStart shouldBe listOf(true, true)
            }
        }
        describe("a worker beside whose row another program lists one of the same instance") {
            // Guards against runs that are started again because a row without a start names the instance of a running worker (TWICE).
            it("keeps its tasks if that row does not tell when its worker started") {
                val owner = OwnerOfOneWorker()
                owner.startAgain()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.listOther(bornWallMs = 0)
                owner.pass(ANSWER_MS)
                owner.task.worker?.id shouldBe WORKER
            }
            it("loses them if that worker started later") {
                val owner = OwnerOfOneWorker()
                owner.startAgain()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.listOther(bornWallMs = owner.time.nowMs)
                owner.pass(ANSWER_MS)
                owner.task.worker shouldBe null
            }
        }
        describe("a worker that ends, by the platform's list, while a start is on its way") {
            // Guards against a start that reaches the new incarnation while the task runs elsewhere (TWICE).
            it("is told to stop that run when it starts again under its id") {
                val owner = OwnerOfOneWorker()
                owner.isUp = false
                owner.startTask()
                val run = owner.task.runNumber
                owner.pass(ANSWER_MS + IN_FLIGHT_MS)
                owner.wasRowStoredAtStart.size shouldBe 1
                owner.listInstanceAsDown()
                owner.pass(IN_FLIGHT_MS)
                owner.listInstanceAsDown()
                owner.task.worker shouldBe null
                owner.startAgain()
                owner.stoppedRuns shouldContain run
            }
        }
        describe("a worker whose unanswered start was stopped") {
            // Guards against a late start in a new incarnation, which has no record of the stop, while the task runs elsewhere (TWICE).
            it("is told to stop that run once more when it starts again under its id") {
                val owner = OwnerOfOneWorker()
                owner.areStartAnswersLost = true
                owner.startTask()
                val run = owner.task.runNumber
                owner.pass(ANSWER_MS + ORDER_TIMEOUT_MS + STOP_MS)
                owner.stoppedRuns shouldContain run
                owner.task.worker shouldBe null
                owner.stoppedRuns.clear()
                owner.startAgain()
                owner.stoppedRuns shouldContain run
            }
        }
        describe("a worker of which one answer to a hold is lost") {
            // Guards against a pool that loses a fifth of its capacity when one order in 20 gets no answer.
            it("takes new tasks as soon as it answers the next hold") {
                val owner = OwnerOfOneWorker()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.lostHoldAnswers = 1
                owner.waitUntil { owner.lostHoldAnswers == 0 }
                owner.pass(ORDER_TIMEOUT_MS + ANSWER_MS)
                owner.isUsable shouldBe true
            }
            it("takes no new tasks once it leaves two holds in a row unanswered") {
                val owner = OwnerOfOneWorker()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.lostHoldAnswers = 2
                owner.waitUntil { owner.lostHoldAnswers == 0 }
                owner.pass(ORDER_TIMEOUT_MS + ANSWER_MS)
                owner.isUsable shouldBe false
            }
        }
        describe("a worker that starts again under its id after the answer to a lease extension was lost") {
            // Guards against a task started elsewhere while a late hold, by the clock of the last incarnation, keeps its run going (TWICE).
            it("keeps its tasks while that order can still extend their lease, and no longer") {
                val owner = OwnerOfOneWorker()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.lostHoldAnswers = 1
                owner.waitUntil { owner.lostHoldAnswers == 0 }
                val lostAtMs = owner.time.nowMs
                owner.startAgain()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.isUp = false
                owner.passTicking(lostAtMs + LATEST_ORDER_MS + LONGEST_LEASE_MS - owner.time.nowMs)
                owner.task.worker.shouldNotBeNull()
                owner.passTicking(LATE_MARGIN_MS)
                owner.task.worker.shouldBeNull()
            }
            it("frees its tasks at the end of their lease if that order was answered") {
                val owner = OwnerOfOneWorker()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.isUp = false
                owner.passTicking(LONGEST_LEASE_MS)
                owner.task.worker.shouldBeNull()
                owner.startAgain()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.isUp = false
                owner.passTicking(LONGEST_LEASE_MS)
                owner.task.worker.shouldBeNull()
            }
        }
        describe("a worker that starts again under its id and is not reached") {
            // Guards against a task started elsewhere while a late start of an earlier owner runs in the new incarnation (TWICE).
            it("keeps its tasks until the new incarnation has answered") {
                val owner = OwnerOfOneWorker()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.startAgainUnreached()
                owner.task.worker.shouldNotBeNull()
                owner.isUp = true
                owner.pass(RETRY_MS)
                owner.task.worker.shouldBeNull()
            }

            // Guards against the same where the new incarnation is found to run the task: it must not be started elsewhere beside it.
            it("goes on with the run of a task that the new incarnation lists, whatever its number") {
                val owner = OwnerOfOneWorker()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.runningRows = listOf(RunningRow(owner.task.id, EARLIER_OWNERS_RUN, checkpoint = "", percent = 100))
                owner.startAgain()
                owner.task.worker.shouldNotBeNull()
                owner.task.runNumber shouldBe EARLIER_OWNERS_RUN
                owner.stoppedRuns.shouldBeEmpty()
            }
        }
        describe("a worker that starts again under its id after its clock was set back") {
            // Guards against lists that are taken for those of an earlier incarnation, so that runs count as going on for good (LOST).
            it("frees the tasks that it does not list") {
                val owner = OwnerOfOneWorker()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.isUp = false
                owner.pass(RETRY_MS)
                owner.startAgain(clockStepMs = CLOCK_STEP_MS)
                owner.pass(RETRY_MS)
                owner.task.worker.shouldBeNull()
            }
        }
        describe("an acknowledgement of ended runs") {
            /** An owner that has read the last end of its worker and has not stored it yet. */
            fun ownerWithLastEnd(): OwnerOfOneWorker {
                val owner = OwnerOfOneWorker()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.endedRows = listOf(EndRow(LAST_END, owner.task.id, owner.task.runNumber, EndKind.STOPPED, checkpoint = ""))
                owner.waitUntil { owner.driver.find(WORKER)?.processedEnd == LAST_END }
                owner.acknowledgements.clear()
                return owner
            }

            // Guards against an order by the count of the last incarnation that makes the next one drop ends nobody has read (TWICE).
            it("is not repeated once the worker has answered it") {
                val owner = ownerWithLastEnd()
                owner.waitUntil { LAST_END in owner.acknowledgements }
                owner.pass(SETTLE_MS)
                owner.acknowledgements.clear()
                owner.startTask()
                owner.pass(STOP_MS)
                owner.acknowledgements.toSet() shouldBe setOf(0L)
            }

            // Guards against the same by the first order after a silence, in which the worker may have started again.
            it("is not sent to a worker that left the last order unanswered") {
                val owner = ownerWithLastEnd()
                owner.lostHoldAnswers = 1
                owner.waitUntil { owner.lostHoldAnswers == 0 }
                owner.acknowledgements shouldBe listOf(LAST_END)
                owner.pass(ORDER_TIMEOUT_MS + RETRY_MS)
                owner.acknowledgements.take(3) shouldBe listOf(LAST_END, 0L, LAST_END)
            }
        }
        describe("a start without an answer on a worker that runs other tasks") {
            // Guards against a task that waits for the end of another run before it may start elsewhere.
            it("frees the task as soon as the stop is answered") {
                val owner = OwnerOfOneWorker()
                owner.areStartAnswersLost = true
                owner.startTask()
                owner.pass(ANSWER_MS + ORDER_TIMEOUT_MS + SETTLE_MS)
                owner.task.worker shouldBe null
            }
        }
        describe("a worker that starts again under its id while a hold of its last incarnation is on its way") {
            // Guards against a start of an earlier owner that the new incarnation still takes, as it has seen no fence (TWICE).
            it("is held at once") {
                val owner = OwnerOfOneWorker()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                val before = owner.holdCount
                owner.startAgain()
                owner.holdCount shouldBeGreaterThan before
            }

            // Guards against the same where this owner has not heard of the last incarnation.
            it("is held at once by an owner that has not reached it before") {
                val owner = OwnerOfOneWorker(isUp = false, failedHoldMs = ORDER_TIMEOUT_MS)
                val before = owner.holdCount
                owner.startAgain()
                owner.holdCount shouldBeGreaterThan before
            }
        }
    })
