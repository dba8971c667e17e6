/*
 * In-memory workers that implement the platform's contract: they check fences and run numbers, measure leases on clocks
 * that may run 2% slow, and list each ended run until its end is acknowledged. Orders may reach them late.
 */
package io.corianderrock.jobs.world

import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.ports.EndRow
import io.corianderrock.jobs.ports.HoldOrder
import io.corianderrock.jobs.ports.PaceOrder
import io.corianderrock.jobs.ports.RunningRow
import io.corianderrock.jobs.ports.StartOrder
import io.corianderrock.jobs.ports.StartRefusal
import io.corianderrock.jobs.ports.StopOrder
import io.corianderrock.jobs.ports.WorkerAnswer
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.ports.WorkerLink
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.TaskId
import kotlin.random.Random

/** One incarnation of a worker on an instance. Its clock starts at 0 and advances at [clockRate]. */
internal class SimWorker(
    val entry: WorkerEntry,
    private val time: SimTime,
    private val clockRate: Double,
    private val checker: InvariantChecker,
    val longestLeaseMs: Long = MAX_LEASE_MS,
    /** The time that the next stop takes. */
    private val stopMs: () -> Long = { 0 },
) {
    class Run(
        val task: TaskId,
        val number: Long,
        val startedAtMs: Long,
        val plan: RunPlan,
        /** Work that the checkpoint of its start saves, in milliseconds. */
        val savedMs: Long,
        /** True if the start was delivered late. */
        val isLate: Boolean,
    ) {
        val demand: Demand get() = plan.demand

        /** When its work ends if nothing interrupts it; a member of a gang works from [SimGang.worksSinceMs] on. */
        val endsAtMs: Long get() = worksSinceMs?.let { it + maxOf(1, plan.durationMs - savedMs) } ?: Long.MAX_VALUE

        private val worksSinceMs: Long? get() = if (plan.gang == null) startedAtMs else plan.gang.worksSinceMs

        /** The checkpoint of its last whole interval of work at [nowMs], or of all its work if it [isStopped]; empty if it saves none. */
        fun checkpoint(
            nowMs: Long,
            isStopped: Boolean = false,
        ): String {
            val intervalMs = plan.checkpointIntervalMs ?: return ""
            val workedMs = savedMs + (worksSinceMs?.let { nowMs - it } ?: 0)
            val keptMs = if (isStopped) workedMs else workedMs / intervalMs * intervalMs
            return if (keptMs == 0L) "" else SimCheckpoint(task, plan.gang != null, keptMs).text
        }

        /** When a stop that was ordered ends the run. */
        var stopsAtMs: Long? = null
    }

    private val bootedAtMs = time.nowMs
    private val running = LinkedHashMap<TaskId, Run>()
    private val ended = ArrayList<Pair<EndRow, Long>>()

    /** The ends that the worker lists, with the times at which they came. */
    val unacknowledgedEnds: List<Pair<EndRow, Long>> get() = ended
    private val highestEndedRun = HashMap<TaskId, Long>()
    private var endCount = 0L
    private var fence = 0L
    private var expiresAtClockMs = 0L

    /** When the lease was seen to be over last, whether or not something ran: an owner that does not reach the worker waits for that time. */
    private var lapsedAtMs = 0L
    var isUp = true
    var isReachable = true

    /** Times up to which stops of a task that are sent here are carried out late. */
    val lateStopsUntilMs = HashMap<TaskId, Long>()
    var isDraining = false

    /** When the first entry was told that the worker drains. */
    var drainToldAtMs: Long? = null

    /** The least time until the worker leaves, told when it begins to drain. */
    var leavesInMs: Long? = null

    /** The worker's row in discovery. */
    val listing: WorkerEntry get() = entry.copy(isDraining = isDraining, leavesInMs = leavesInMs)
    val runs: Collection<Run> get() = running.values
    val runningTasks: Set<TaskId> get() = running.keys
    val free: Demand get() = running.values.fold(entry.capacity) { free, run -> free - run.demand }

    val clockMs: Long get() = ((time.nowMs - bootedAtMs) * clockRate).toLong()

    fun tick() {
        if (!isUp) return
        for (run in running.values.toList()) {
            val kind = run.plan.gang?.endOf(run.task, time.nowMs)
            if (kind != null) end(run, kind)
        }
        for (run in running.values.filter { time.nowMs >= it.endsAtMs }) {
            // The end of a member of a gang ends the others.
            if (running[run.task] === run) end(run, run.plan.end)
        }
        for (run in running.values.filter { run -> run.stopsAtMs.let { it != null && time.nowMs >= it } }) end(run, EndKind.STOPPED)
        if (clockMs > expiresAtClockMs) {
            lapsedAtMs = time.nowMs
            running.values.toList().forEach { end(it, EndKind.LAPSED) }
        }
    }

    fun kill() {
        isUp = false
        checker.onKilled(running.keys)
        for (run in running.values) run.plan.gang?.onEnd(run.task, EndKind.LAPSED, time.nowMs)
        running.clear()
    }

    fun start(
        order: StartOrder,
        plan: RunPlan,
        /** The name of the entry that sent the order. */
        sender: String,
    ): WorkerAnswer {
        tick()
        if (order.fence < fence) return WorkerAnswer.Refused(StartRefusal.FENCE, clockMs)
        fence = order.fence
        if (order.expiresAtWorkerMs <= clockMs) return WorkerAnswer.Refused(StartRefusal.EXPIRED, clockMs)
        if (running[order.task]?.number == order.runNumber) return WorkerAnswer.Done(clockMs)
        extend(order.expiresAtWorkerMs)
        if (order.task in running || order.runNumber <= (highestEndedRun[order.task] ?: 0)) {
            return WorkerAnswer.Refused(StartRefusal.OLD_RUN, clockMs)
        }
        val used =
            running.values.fold(
                Demand(),
            ) { sum, run -> Demand(sum.cpuMilli + run.demand.cpuMilli, sum.memoryMb + run.demand.memoryMb) }
        if (used.cpuMilli + plan.demand.cpuMilli > entry.capacity.cpuMilli) return WorkerAnswer.Refused(StartRefusal.NO_CAPACITY, clockMs)
        checker.onStart(this, order, sender)
        val savedMs = order.checkpoint?.let { SimCheckpoint.savedMs(it) } ?: 0
        running[order.task] = Run(order.task, order.runNumber, time.nowMs, plan, savedMs, checker.isLateDelivery)
        plan.gang?.onStart(order.task, time.nowMs, ::tick)
        return WorkerAnswer.Done(clockMs)
    }

    fun stop(order: StopOrder): WorkerAnswer {
        tick()
        if (order.fence < fence) return WorkerAnswer.Refused(StartRefusal.FENCE, clockMs)
        fence = order.fence
        val run = running[order.task]
        if (run != null && run.number <= order.runNumber && run.stopsAtMs == null) {
            val takesMs = stopMs()
            if (takesMs == 0L) end(run, EndKind.STOPPED) else run.stopsAtMs = time.nowMs + takesMs
        }
        highestEndedRun.merge(order.task, order.runNumber, ::maxOf)
        return WorkerAnswer.Done(clockMs)
    }

    fun hold(
        order: HoldOrder,
        /** The incarnation that the order was sent to: an earlier one if the order comes late. */
        addressee: SimWorker? = this,
    ): WorkerAnswer {
        tick()
        if (order.fence < fence) return WorkerAnswer.Refused(StartRefusal.FENCE, clockMs)
        fence = order.fence
        order.expiresAtWorkerMs?.let {
            if (addressee === this) checker.onLeaseOrdered(this, it - clockMs)
            extend(it)
        }
        for ((end, endedAtMs) in ended.filter { (end, _) -> end.number <= order.acknowledgedEnd }) {
            checker.onEndAcknowledged(this, end, hasLapsed = lapsedAtMs > endedAtMs)
        }
        ended.removeAll { (end, _) -> end.number <= order.acknowledgedEnd }
        val rows = running.values.map { RunningRow(it.task, it.number, it.checkpoint(time.nowMs), 100) }
        return WorkerAnswer.Listed(clockMs, entry.bornWallMs, rows, ended.map { it.first })
    }

    fun hasEndAfter(number: Long): Boolean {
        tick()
        return ended.any { (end, _) -> end.number > number }
    }

    private fun extend(expiresAtMs: Long) {
        expiresAtClockMs = maxOf(expiresAtClockMs, minOf(expiresAtMs, clockMs + longestLeaseMs))
    }

    private fun end(
        run: Run,
        kind: EndKind,
    ) {
        running.remove(run.task)
        highestEndedRun.merge(run.task, run.number, ::maxOf)
        endCount++
        val row = EndRow(endCount, run.task, run.number, kind, run.checkpoint(time.nowMs, isStopped = kind == EndKind.STOPPED))
        ended.add(row to time.nowMs)
        run.plan.gang?.onEnd(run.task, kind, time.nowMs)
        checker.onEnd(this, run, row)
    }

    companion object {
        const val MAX_LEASE_MS = 6_000L
    }
}

/** Duration, outcome and resource demand of a simulated run; one that [crashesWorker] does so soon after its start. */
internal class RunPlan(
    val durationMs: Long,
    val end: EndKind,
    val demand: Demand,
    val crashesWorker: Boolean = false,
    /** The gang of which it is a member; null for none. */
    val gang: SimGang? = null,
    /** Work after which a checkpoint is saved; null if none is. */
    val checkpointIntervalMs: Long? = null,
)

/**
 * Modifies orders and answers in transit. A test disables a safety mechanism with it, to show that the invariant checks then
 * report violations.
 */
internal interface OrderTampering {
    fun start(order: StartOrder): StartOrder = order

    fun hold(
        workerId: String,
        order: HoldOrder,
    ): HoldOrder = order

    fun holdAnswer(
        workerId: String,
        answer: WorkerAnswer,
    ): WorkerAnswer = answer
}

/** The connection of [entry] to the workers, with delays, timeouts and late deliveries. */
internal class SimWorkerLink(
    private val world: JobWorld,
    private val entry: SimEntry,
    private val random: Random,
) : WorkerLink {
    override fun start(
        entry: WorkerEntry,
        order: StartOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    ) {
        val sent = world.tampering.start(order)
        val worker = world.worker(entry.id)
        if (world.lateStartRatio > 0 && worker != null && canReach(worker) && random.nextDouble() < world.lateStartRatio) {
            startLate(worker, sent, onAnswer)
            return
        }
        send(entry, {
            // Stops are late beside a start that is late: a run that began in time could be stopped by nobody.
            it.lateStopsUntilMs.remove(order.task)
            world.start(it, sent, this.entry.name)
        }, onAnswer = { answer ->
            world.events.publish(EventKind.START_ANSWERED, order.task.jobId, world.worker(entry.id))
            onAnswer(answer)
        })
    }

    /** Has [worker] carry out [order] late, with the lease that the order grants counted from its arrival. */
    private fun startLate(
        worker: SimWorker,
        order: StartOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    ) {
        val leaseMs = order.expiresAtWorkerMs - worker.clockMs
        val delayMs = random.nextLong(2_000, 12_000)
        world.lateDeliveriesOverAtMs = maxOf(world.lateDeliveriesOverAtMs, world.time.nowMs + delayMs)
        if (random.nextBoolean()) worker.lateStopsUntilMs[order.task] = world.time.nowMs + random.nextLong(0, MAX_LATE_STOPS_MS)
        world.events.publish(EventKind.START_DELAYED, order.task.jobId, worker)
        world.trace("world", "start_delayed", arrayOf<Any?>(worker.entry.id, order.task, order.runNumber, delayMs))
        world.time.after(delayMs) {
            val renewed = order.copy(expiresAtWorkerMs = worker.clockMs + leaseMs)
            if (worker.isUp) world.checker.duringLateDelivery { world.start(worker, renewed, entry.name) }
            if (worker.runs.any { it.isLate && it.task == order.task }) {
                world.checker.onLateStart(
                    order.task,
                    isSenderRemoved = entry.isRemoved,
                )
            }
        }
        entry.loop.after(TIMEOUT_MS) { onAnswer(WorkerAnswer.Unanswered("answer lost", mayBeCarriedOut = true)) }
    }

    override fun stop(
        entry: WorkerEntry,
        order: StopOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    ) {
        val lateUntilMs = world.worker(entry.id)?.lateStopsUntilMs?.get(order.task) ?: 0
        if (world.time.nowMs < lateUntilMs) {
            world.time.after(random.nextLong(2_000, 12_000)) {
                val worker = world.worker(entry.id)
                if (worker != null && worker.isUp) world.checker.duringLateDelivery { worker.stop(order) }
            }
            this.entry.loop.after(TIMEOUT_MS) { onAnswer(WorkerAnswer.Unanswered("answer lost", mayBeCarriedOut = true)) }
            return
        }
        send(entry, { it.stop(order) }, onAnswer)
    }

    override fun pace(
        entry: WorkerEntry,
        order: PaceOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    ) = send(entry, { WorkerAnswer.Done(it.clockMs) }, onAnswer)

    override fun hold(
        entry: WorkerEntry,
        order: HoldOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    ) {
        val sent = world.tampering.hold(entry.id, order)
        val addressee = world.worker(entry.id)
        if (sent.waitMs == 0) {
            send(entry, { world.tampering.holdAnswer(entry.id, it.hold(sent, addressee)) }, onAnswer)
        } else if (world.workersPollThemselves) {
            var isAnswered = false
            val onFirstAnswer = { answer: WorkerAnswer ->
                if (!isAnswered) onAnswer(answer)
                isAnswered = true
            }
            send(entry, { worker ->
                worker.hold(sent, addressee).also { if (it is WorkerAnswer.Listed) longPoll(entry, sent, onFirstAnswer) }
            }, onAnswer = { if (it !is WorkerAnswer.Listed) onFirstAnswer(it) })
        } else {
            send(entry, { it.hold(sent, addressee) }, onAnswer = { first ->
                if (first is WorkerAnswer.Listed) longPoll(entry, sent, onAnswer) else onAnswer(first)
            })
        }
    }

    private fun longPoll(
        target: WorkerEntry,
        order: HoldOrder,
        onAnswer: (WorkerAnswer) -> Unit,
        waitedMs: Int = 0,
    ) {
        val worker = world.worker(target.id)
        val isDue = worker == null || !canReach(worker) || waitedMs >= order.waitMs || worker.hasEndAfter(order.acknowledgedEnd)
        if (!isDue) {
            val poll = { longPoll(target, order, onAnswer, waitedMs + POLL_MS.toInt()) }
            if (world.workersPollThemselves) world.time.after(POLL_MS, poll) else entry.loop.after(POLL_MS, poll)
            return
        }
        send(target, { world.tampering.holdAnswer(target.id, it.hold(order.copy(expiresAtWorkerMs = null))) }, onAnswer)
    }

    private fun canReach(worker: SimWorker): Boolean =
        worker.isUp && worker.isReachable && !entry.isPartitionedFromWorkers && !world.isSilent(entry, worker.entry.id)

    private fun send(
        target: WorkerEntry,
        order: (SimWorker) -> WorkerAnswer,
        onAnswer: (WorkerAnswer) -> Unit,
    ) {
        val worker = world.worker(target.id)
        if (worker == null || !canReach(worker)) {
            entry.loop.after(TIMEOUT_MS) { onAnswer(WorkerAnswer.Unanswered("no answer", mayBeCarriedOut = true)) }
            return
        }
        if (random.nextDouble() < world.lateDeliveryRatio) {
            val delayMs = random.nextLong(2_000, 12_000)
            world.lateDeliveriesOverAtMs = maxOf(world.lateDeliveriesOverAtMs, world.time.nowMs + delayMs)
            world.time.after(delayMs) {
                val current = world.worker(target.id)
                if (current != null && current.isUp) world.checker.duringLateDelivery { order(current) }
            }
            entry.loop.after(TIMEOUT_MS) { onAnswer(WorkerAnswer.Unanswered("answer lost", mayBeCarriedOut = true)) }
            return
        }
        world.time.after(world.network.nextMs(random)) {
            val answer = if (canReach(worker)) order(worker) else null
            // The answer is lost over a connection that goes silent with the order.
            if (answer == null || world.isSilent(entry, worker.entry.id)) {
                entry.loop.after(TIMEOUT_MS) { onAnswer(WorkerAnswer.Unanswered("no answer", mayBeCarriedOut = true)) }
            } else {
                entry.loop.after(world.network.nextMs(random)) {
                    if (answer is WorkerAnswer.Listed) world.events.onListed(worker, answer.running)
                    onAnswer(answer)
                }
            }
        }
    }

    private companion object {
        const val TIMEOUT_MS = 700L

        /** Longest time for which the stops that follow a late start are late as well: over before its run has to be stopped. */
        const val MAX_LATE_STOPS_MS = 3_500L
        const val POLL_MS = 20L
    }
}
