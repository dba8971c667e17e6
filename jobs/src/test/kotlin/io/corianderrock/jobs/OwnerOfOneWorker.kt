/*
 * An owner with one worker whose answers, lists and restarts a test controls, over a slow store and simulated time.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.ports.EndRow
import io.corianderrock.jobs.ports.HoldOrder
import io.corianderrock.jobs.ports.Instance
import io.corianderrock.jobs.ports.InstanceState
import io.corianderrock.jobs.ports.PaceOrder
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.RunningRow
import io.corianderrock.jobs.ports.StartOrder
import io.corianderrock.jobs.ports.StopOrder
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.ports.WorkerAnswer
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.ports.WorkerLink
import io.corianderrock.jobs.runs.Committer
import io.corianderrock.jobs.runs.JobFinder
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.runs.WorkerDriver
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime

/** An owner with one worker, whose answers the test controls, and the job [submission], with one task by default. */
internal class OwnerOfOneWorker(
    var isUp: Boolean = true,
    /** Time after which a hold of the worker fails while it is down. */
    private val failedHoldMs: Long = 1,
    steps: List<Step> = listOf(Step(1, Demand(1_000, 100))),
    finder: JobFinder = JobFinder { _, onResult -> onResult(true) },
    submission: JobSubmission = JobSubmission("job", Queue("queue", POOL), "spec", steps),
) : WorkerLink {
    val time = SimTime()
    private val loop = SimLoop(time)
    private val tables = SlowTables(time)
    val committer = Committer(loop, tables, { _, _ -> }, OwnerRow("e", "e", 1, 1), 1, { 0 }, {})
    private val registry = JobRegistry(loop, committer) { _, _ -> }

    /** False while the ownership is not confirmed, so that no orders are sent. */
    var mayOrder = true

    /** How often the driver asked whether it may send orders. */
    var mayOrderCount = 0
        private set
    val driver =
        WorkerDriver(
            loop,
            this,
            committer,
            registry,
            log = { _, _ -> },
            epoch = 2,
            longestLeaseMs = LONGEST_LEASE_MS,
            mayOrder = {
                mayOrderCount++
                mayOrder
            },
            onChange = {},
            onFenced = {},
            onRunEnd = {},
            finder = finder,
        )
    private val startedAtMs = time.nowMs

    /** When the running incarnation started, by its own clock. */
    var bornWallMs = time.nowMs

    /** True while answers to starts are lost; the start itself may arrive late. */
    var areStartAnswersLost = false

    /** Time from a start to its answer. */
    var startAnswerDelayMs = 1L

    /** How many of the next answers to holds are lost. */
    var lostHoldAnswers = 0

    /** For each start order whether the row that records runs on the worker was stored when it was sent. */
    val wasRowStoredAtStart = ArrayList<Boolean>()
    val starts = ArrayList<StartOrder>()

    /** The runs that the worker was told to stop. */
    val stoppedRuns = ArrayList<Long>()

    /** Those of [stoppedRuns] whose stop was answered. */
    val answeredStops = ArrayList<Long>()

    /** Those of [answeredStops] that the running incarnation has answered. */
    private val stopsOfIncarnation = HashSet<Long>()

    /** The highest fence that the running incarnation has seen. */
    private var highestFence = 0L
    var areStopAnswersLost = false

    /** How long a stop that is carried out takes to be answered. */
    var stopAnswerMs = 1L

    /** What the worker lists. */
    var runningRows = emptyList<RunningRow>()
    var endedRows = emptyList<EndRow>()

    /** The ends that holds have acknowledged, 0 for a hold that acknowledges none. */
    val acknowledgements = ArrayList<Long>()
    var holdCount = 0
        private set
    private val job: JobRun
    val tasks: List<TaskRun> get() = job.tasks.toList()
    private val firstTask: TaskRun?
    val task: TaskRun get() = checkNotNull(firstTask) { "no occurrence of the job was due when it was loaded" }

    init {
        job = registry.load(submission, progress = null, isInherited = false)
        firstTask = job.tasks.firstOrNull()
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

    /** True if the running incarnation rejects all starts of the run [runNumber] that were sent so far and that may arrive late. */
    fun rejectsLateStart(runNumber: Long): Boolean =
        runNumber in stopsOfIncarnation || starts.filter { it.runNumber == runNumber }.all { it.fence < highestFence }

    fun waitUntil(condition: () -> Boolean) {
        val latestMs = time.nowMs + LATEST_ORDER_MS
        while (!condition()) {
            check(time.nowMs < latestMs) { "the condition does not hold within $LATEST_ORDER_MS ms" }
            pass(1)
        }
    }

    fun startTask(task: TaskRun = this.task) = driver.start(task, checkNotNull(driver.find(WORKER)))

    /** Cancels the job of [task]. */
    fun cancelJob() = registry.cancel(job) {}

    /** Lists the worker in a new incarnation with the same id, whose clock was set back by [clockStepMs]. */
    fun startAgain(clockStepMs: Long = 0) {
        isUp = true
        beginIncarnation(time.nowMs - clockStepMs)
        driver.onListed(entry())
        pass(SETTLE_MS)
    }

    /** Lists the worker in a new incarnation with the same id that does not answer. */
    fun startAgainUnreached() {
        isUp = false
        beginIncarnation(time.nowMs)
        driver.onListed(entry())
        pass(SETTLE_MS)
    }

    private fun beginIncarnation(bornWallMs: Long) {
        this.bornWallMs = bornWallMs
        highestFence = 0
        stopsOfIncarnation.clear()
    }

    fun listInstanceAsDown() = listInstance(InstanceState.DOWN, workerId = null)

    fun listInstanceWith(workerId: String) = listInstance(InstanceState.UP, workerId)

    private fun listInstance(
        state: InstanceState,
        workerId: String?,
    ) = driver.onInstancesListed(
        listOf(Instance(INSTANCE, POOL, state, "dc", emptyList(), CAPACITY, workerId)),
        requestedAtMs = time.nowMs,
    )

    /** Lists another worker of the same instance. */
    fun listOther(bornWallMs: Long) = driver.onListed(otherEntry(bornWallMs))

    fun otherEntry(bornWallMs: Long) = entry().copy(id = OTHER, bornWallMs = bornWallMs)

    /** True if what answers at the address of [OTHER] is a worker. */
    var isOtherWorker = true

    /** The worker that counts as the one of the instance. */
    val workerOfInstance: String? get() = driver.listedOn(INSTANCE)?.id

    fun entry() = WorkerEntry(WORKER, WORKER, POOL, "dc", INSTANCE, CAPACITY, emptyList(), false, null, bornWallMs)

    override fun start(
        entry: WorkerEntry,
        order: StartOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    ) {
        starts.add(order)
        val key = RowKey(Table.WORKER_LEASES, WORKER)
        val last = tables.changes.lastOrNull { key in it.puts || key in it.deletes }
        wasRowStoredAtStart.add(last != null && key in last.puts)
        if (isUp && !areStartAnswersLost) {
            loop.after(startAnswerDelayMs) { onAnswer(WorkerAnswer.Done(clockMs())) }
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
        if (areStopAnswersLost) {
            loop.after(ORDER_TIMEOUT_MS) { onAnswer(WorkerAnswer.Unanswered("no answer", mayBeCarriedOut = true)) }
            return
        }
        answeredStops.add(order.runNumber)
        stopsOfIncarnation.add(order.runNumber)
        highestFence = maxOf(highestFence, order.fence)
        loop.after(stopAnswerMs) { onAnswer(WorkerAnswer.Done(clockMs())) }
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
        if (entry.id == OTHER && !isOtherWorker) {
            loop.after(1) { onAnswer(WorkerAnswer.Unanswered("status 404", mayBeCarriedOut = false)) }
            return
        }
        holdCount++
        acknowledgements.add(order.acknowledgedEnd)
        if (lostHoldAnswers > 0) {
            lostHoldAnswers--
            loop.after(ORDER_TIMEOUT_MS) { onAnswer(WorkerAnswer.Unanswered("no answer", mayBeCarriedOut = true)) }
            return
        }
        if (isUp) highestFence = maxOf(highestFence, order.fence)
        val delayMs = if (!isUp) failedHoldMs else maxOf(order.waitMs.toLong(), 1)
        loop.after(delayMs) {
            onAnswer(
                if (isUp) {
                    WorkerAnswer.Listed(clockMs(), if (entry.id == OTHER) entry.bornWallMs else bornWallMs, runningRows, endedRows)
                } else {
                    WorkerAnswer.Unanswered("connection refused", mayBeCarriedOut = false)
                },
            )
        }
    }

    private fun clockMs() = time.nowMs - startedAtMs

    companion object {
        const val WORKER = "w"

        /** Another entry for the instance of [WORKER]. */
        const val OTHER = "other"
        const val INSTANCE = "i"
        const val POOL = "pool"
        const val LONGEST_LEASE_MS = 6_000L
        const val ORDER_TIMEOUT_MS = 700L

        /** Time in which a worker that is up answers. */
        const val SETTLE_MS = 50L

        /** Time in which a transaction of the slow store is on its way and has not been answered. */
        const val IN_FLIGHT_MS = 100L

        /** Time from the first of several copies of a start, none of which is answered, to the stop of its run. */
        const val START_GIVEN_UP_MS = 2_500L

        /** Time in which a stop is answered and confirmed by the next report. */
        const val STOP_MS = 1_500L
        const val TICK_MS = 50L

        /** Time after which an order that was delayed on its way has arrived. */
        const val LATEST_ORDER_MS = 12_000L

        /** A run number that this owner has not given. */
        const val EARLIER_OWNERS_RUN = 7L

        /** The number of the last end that the worker lists. */
        const val LAST_END = 40L
        private val CAPACITY = Demand(8_000, 32_000)
    }
}
