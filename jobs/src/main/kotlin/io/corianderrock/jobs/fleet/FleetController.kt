/*
 * Moves instances between pools as demand changes and sends them to maintenance. An order ends all runs on the
 * instance, so only empty instances are ordered. At most one owner sends orders at a time, fenced by a token that grows
 * with each owner.
 */
package io.corianderrock.jobs.fleet

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.Instance
import io.corianderrock.jobs.ports.InstanceOrderAnswer
import io.corianderrock.jobs.ports.InstanceService
import io.corianderrock.jobs.ports.InstanceState
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.runs.SchedulingSettings
import io.corianderrock.jobs.runs.WorkerDriver
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobsConfiguration
import io.corianderrock.jobs.state.WorkerView

internal class FleetController(
    private val loop: EventLoop,
    private val service: InstanceService,
    private val driver: WorkerDriver,
    private val log: DecisionLog,
    private val orders: InstanceOrders,
    private val token: Long,
    demand: PoolDemand,
    capacityShortageMs: (String) -> Long,
    private val configuration: () -> JobsConfiguration?,
    private val mayOrder: () -> Boolean,
    settings: SchedulingSettings = SchedulingSettings(),
) {
    private val listing = InstanceListing(loop, service, driver, log)
    private val byId: Map<String, InstanceView> get() = listing.byId
    private var needs: Map<String, PoolNeed> = emptyMap()
    val drainer = Drainer(loop, driver)
    private val ledger = MoveLedger(loop, log, ::workerOf)
    val sizer = PoolSizer(loop, log, demand, capacityShortageMs, settings, ::workerOf)

    val isReady: Boolean get() = listing.hasList && mayOrder()

    /** True if the last list of instances was requested later than [timeMs]. */
    fun isListedSince(timeMs: Long): Boolean = listing.requestedAtMs?.let { it > timeMs } ?: false

    /** Workers of [pool] that are not cordoned. */
    fun workersOf(pool: String): List<WorkerView> = byId.values.filter { it.pool == pool && it.cordonReason == null }.mapNotNull(::workerOf)

    /** True while a long-running task of [pool] has no worker and needs one of the [openWorkerCount] that are not cordoned. */
    fun needsAllForLongRunning(
        pool: String,
        openWorkerCount: Int,
    ): Boolean = needs[pool]?.let { it.hasWaitingLongRunning && openWorkerCount <= it.longRunningInstanceCount } ?: false

    fun find(instanceId: String): InstanceView? = byId[instanceId]

    /** True when nothing can run on the instance: its worker reports no runs, or it has no worker and is in standby. */
    fun isConfirmedEmpty(view: InstanceView): Boolean {
        val worker = workerOf(view)
        if (worker != null) return worker.isEmpty
        return configuration()?.pools?.get(view.instance.pool)?.isStandby == true
    }

    fun workerOf(view: InstanceView): WorkerView? = driver.listedOn(view.instance.id) ?: view.instance.workerId?.let(driver::find)

    fun tick() {
        listing.refresh()
        orders.tick()
        ledger.tick(byId::get)
        if (!isReady) return
        val (standbyPools, pools) =
            configuration()
                ?.pools
                ?.values
                .orEmpty()
                .partition { it.isStandby }
        val standby = standbyPools.firstOrNull()?.name ?: return
        cordonNewWorkers()
        val states = sizer.states(pools.map { it.name }, byId.values, ::capacityOf)
        needs = states.associate { it.pool to it.need }
        for (state in states) if (state.missingWithForecast > 0) reclaimCordoned(state)
        val hasShortage = growAll(states, standby) > 0
        for (state in states) {
            if (state.surplus > 0) shrink(state, hasShortage)
            releaseCordoned(state, standby, hasShortage)
        }
    }

    /**
     * Empties cordoned instances and returns the empty ones to standby, those with the least load first. Instances that the pool may
     * still reclaim are not emptied by stopping tasks, unless another pool needs them.
     */
    private fun releaseCordoned(
        state: PoolState,
        standby: String,
        hasShortage: Boolean,
    ) {
        val cordoned = state.instances.filter { it.cordonReason == CordonReason.SURPLUS }
        if (cordoned.isEmpty()) return
        val serving = state.supply.filter { it.cordonReason == null && !it.isOrdered }.mapNotNull(::workerOf)
        val unordered = cordoned.filter { !it.isOrdered }
        val byLoad = unordered.sortedBy { workerOf(it)?.occupied?.cpuMilli ?: 0 }
        val returning = if (state.returnCount >= unordered.size) cordoned else byLoad.take(state.returnCount)
        for (view in if (hasShortage) cordoned else returning) drain(view, serving, hasShortage)
        for (view in returning) moveToStandbyIfEmpty(view, standby)
    }

    /** A cordon belongs to the instance: it also holds for a worker that has started there since. */
    private fun cordonNewWorkers() {
        for (view in byId.values) if (view.cordonReason != null) workerOf(view)?.isCordoned = true
    }

    /** Called when discovery has listed [entry], before tasks can be placed on its worker: an open order may end them. */
    fun onWorkerListed(entry: WorkerEntry) {
        val view = entry.instanceId?.let(::find) ?: return
        if (view.isOrdered) driver.find(entry.id)?.isCordoned = true
    }

    /** Evicts tasks that can resume elsewhere; long-running ones only while some pool lacks instances. */
    private fun drain(
        view: InstanceView,
        serving: List<WorkerView>,
        hasShortage: Boolean,
    ) {
        val worker = workerOf(view) ?: return
        drainer.evictCheckpointing(worker, serving)
        if (hasShortage) drainer.evictLongRunning(worker)
    }

    /** Uncordons surplus instances of a pool that needs them again. */
    private fun reclaimCordoned(state: PoolState) {
        val own = state.instances.filter { it.cordonReason == CordonReason.SURPLUS && !it.isOrdered && !it.isOutcomeOpen }
        own.take(state.missingWithForecast).forEach(::uncordon)
    }

    /**
     * Distributes idle and standby instances, first for current work, then for forecast work. Returns how many instances
     * are still missing for current work.
     */
    private fun growAll(
        states: List<PoolState>,
        standby: String,
    ): Int {
        val idle = idleInstances(states)
        // An order without an answer may have moved an instance out of standby since it was listed there, and its worker may have runs.
        val inStandby = byId.values.filter { it.pool == standby && isMovable(it) && isConfirmedEmpty(it) }
        // Idle instances of other pools come first: they are already paid for and save the move through standby.
        val spare = ArrayDeque(idle + inStandby)
        val shortageCount = states.sumOf { it.missing } - spare.size
        grow(states, spare, isForCurrentWork = true) { it.missing }
        grow(states, spare, isForCurrentWork = false) { it.missingWithForecast - it.missing }
        return maxOf(0, shortageCount)
    }

    private fun idleInstances(states: List<PoolState>): List<InstanceView> =
        states.flatMap { state ->
            val movable = state.instances.filter { isMovable(it) && isConfirmedEmpty(it) }
            val (surplus, serving) = movable.partition { it.cordonReason == CordonReason.SURPLUS }
            surplus + serving.take(state.idleCount)
        }

    private fun grow(
        states: List<PoolState>,
        spare: ArrayDeque<InstanceView>,
        isForCurrentWork: Boolean,
        missingOf: (PoolState) -> Int,
    ) {
        val shortages = states.map { PoolShortage(it.pool, it.supply.size, missingOf(it)) }
        val shares = shareSpare(shortages, spare.size)
        for (state in states) {
            repeat(shares[state.pool] ?: 0) {
                val view = spare.removeFirstOrNull() ?: return
                if (view.pool == state.pool) {
                    if (!view.isOutcomeOpen) uncordon(view)
                } else {
                    log.write(
                        "pool_grows",
                        "pool",
                        state.pool,
                        "instance",
                        view.instance.id,
                        "from",
                        view.pool,
                        "missing",
                        state.missing,
                        "missingWithForecast",
                        state.missingWithForecast,
                        "need",
                        state.need,
                    )
                    val from = view.pool
                    move(view, state.pool)
                    ledger.onOrdered(view.instance.id, from, state, isForCurrentWork)
                }
            }
        }
    }

    /** True when the instance has no pending order, no retry delay and no recent order of an earlier owner. */
    fun isOrderable(view: InstanceView): Boolean = !view.isOrdered && loop.nowMs >= view.retryAtMs && !orders.isInherited(view.instance.id)

    /** Counts instances, except [alreadyCounted], that an earlier owner may recently have sent to maintenance. */
    fun inheritedMaintenanceCount(
        waveNumber: Int,
        alreadyCounted: List<InstanceView>,
    ): Int = orders.inheritedMaintenanceCount(waveNumber, alreadyCounted.mapTo(HashSet()) { it.instance.id })

    private fun isMovable(view: InstanceView): Boolean =
        isOrderable(view) &&
            view.instance.state == InstanceState.UP &&
            view.cordonReason != CordonReason.MAINTENANCE

    private fun shrink(
        state: PoolState,
        hasShortage: Boolean,
    ) {
        val eligible = state.supply.filter { isMovable(it) && loop.nowMs - it.joinedAtMs > MIN_STAY_MS }
        val candidates = eligible.filter { drainer.canDrainByItself(workerOf(it)) }.sortedBy { workerOf(it)?.occupied?.cpuMilli ?: 0 }
        val chosen = if (candidates.isEmpty() && hasShortage) listOfNotNull(cheapestToDrain(state, eligible)) else candidates
        // Instances of the snapshot that have been ordered to other pools since are no longer there to be released.
        val surplus = maxOf(0, state.surplus - state.supply.count { it.pool != state.pool })
        for (view in chosen.take(surplus)) {
            log.write("pool_shrinks", "pool", state.pool, "instance", view.instance.id, "surplus", state.surplus, "need", state.need)
            cordon(view, CordonReason.SURPLUS)
        }
    }

    /** The instance with the fewest runs, if the rest of the pool can take them; null while another one is drained. */
    private fun cheapestToDrain(
        state: PoolState,
        eligible: List<InstanceView>,
    ): InstanceView? {
        if (state.instances.any { it.cordonReason == CordonReason.SURPLUS }) return null
        val view = eligible.minByOrNull { workerOf(it)?.runs?.size ?: 0 } ?: return null
        val worker = workerOf(view) ?: return null
        val free =
            state.supply
                .mapNotNull(::workerOf)
                .filter { it !== worker }
                .fold(Demand()) { sum, other -> sum + other.free }
        return view.takeIf { worker.occupied.fitsIn(free) }
    }

    fun cordon(
        view: InstanceView,
        reason: CordonReason,
    ) {
        view.cordonReason = reason
        workerOf(view)?.isCordoned = true
    }

    fun uncordon(view: InstanceView) {
        view.cordonReason = null
        workerOf(view)?.isCordoned = false
    }

    private fun moveToStandbyIfEmpty(
        view: InstanceView,
        standby: String,
    ) {
        if (isConfirmedEmpty(view) && isMovable(view)) move(view, standby)
    }

    private fun move(
        view: InstanceView,
        pool: String,
    ) {
        workerOf(view)?.isCordoned = true
        val order = Order("move", moveTo = pool) { it.copy(pool = pool, state = InstanceState.MOVING, workerId = null) }
        send(view, order) { onAnswer -> service.move(view.instance.id, pool, token, onAnswer) }
    }

    /** Orders maintenance of [view] for wave [waveNumber]. [onDone] receives the answer on the event loop. */
    fun maintain(
        view: InstanceView,
        waveNumber: Int,
        onDone: (InstanceOrderAnswer) -> Unit,
    ) {
        val order = Order("maintain", waveNumber = waveNumber) { it.copy(state = InstanceState.MAINTENANCE, workerId = null) }
        send(view, order, onDone) { onAnswer -> service.maintain(view.instance.id, waveNumber, token, onAnswer) }
    }

    /** An order, which ends the instance's worker when it is carried out; [applyTo] returns the state of the instance after that. */
    private class Order(
        val kind: String,
        val moveTo: String? = null,
        val waveNumber: Int? = null,
        val applyTo: (Instance) -> Instance,
    )

    /**
     * Stores [order] and then sends it with [callService], unless the ownership has become uncertain meanwhile or the instance is not as
     * it was when the order was decided on: the order would end runs that have begun since.
     */
    private fun send(
        view: InstanceView,
        order: Order,
        onDone: (InstanceOrderAnswer) -> Unit = {},
        callService: ((InstanceOrderAnswer) -> Unit) -> Unit,
    ) {
        val worker = workerOf(view)
        val wasEmpty = worker?.isEmpty == true
        ledger.onLeaving(view.instance.id)
        view.isOrdered = true
        view.movingTo = order.moveTo
        val onAnswer: (InstanceOrderAnswer) -> Unit = { answer ->
            orders.onAnswered(view.instance.id)
            onOrderAnswered(view, answer, order.kind) {
                view.endingWorker = worker?.entry
                // One with runs joined after an earlier order was carried out: only empty instances are ordered.
                worker?.takeIf { it.isEmpty && driver.find(it.id) === it }?.let { driver.onWorkerTerminated(it.id) }
                view.joinedAtMs = loop.nowMs
                view.instance = order.applyTo(view.instance)
                view.cordonReason = null
            }
            onDone(answer)
        }
        orders.record(view.instance.id, order.waveNumber) { isInTime ->
            val current = workerOf(view)
            when {
                !mayOrder() -> onAnswer(InstanceOrderAnswer.Refused(UNCERTAIN_OWNERSHIP))
                !isInTime -> onAnswer(InstanceOrderAnswer.Refused(STORED_TOO_LATE))
                current !== worker || wasEmpty && current?.isEmpty == false -> onAnswer(InstanceOrderAnswer.Refused(WORKER_CHANGED))
                else -> callService(onAnswer)
            }
        }
    }

    private fun onOrderAnswered(
        view: InstanceView,
        answer: InstanceOrderAnswer,
        kind: String,
        onAccepted: () -> Unit,
    ) {
        log.write("machine_ordered", "order", kind, "instance", view.instance.id, "pool", view.instance.pool, "answer", answer)
        ledger.onAnswered(view.instance.id, answer)
        view.isOrdered = false
        view.movingTo = null
        view.changedAtMs = loop.nowMs
        view.isOutcomeOpen = answer is InstanceOrderAnswer.Unanswered
        when (answer) {
            is InstanceOrderAnswer.Accepted -> onAccepted()
            is InstanceOrderAnswer.Refused -> {
                view.retryAtMs = loop.nowMs + REFUSED_RETRY_MS
            }
            is InstanceOrderAnswer.Unanswered -> {
                view.retryAtMs = loop.nowMs + LOST_RETRY_MS
                // The order may still be carried out and end all runs: place nothing until a list shows the outcome.
                if (view.cordonReason == null) cordon(view, CordonReason.SURPLUS)
            }
        }
        // The instance may have another worker than when the order was sent, which may not have answered yet.
        for (listed in driver.workers) {
            if (listed.entry.instanceId != view.instance.id) continue
            listed.isCordoned = view.cordonReason != null || listed.id == view.endingWorker?.id
        }
    }

    private fun capacityOf(pool: String): Demand =
        byId.values
            .firstOrNull { it.instance.pool == pool }
            ?.instance
            ?.capacity
            ?: byId.values
                .firstOrNull()
                ?.instance
                ?.capacity
            ?: Demand()

    private companion object {
        const val UNCERTAIN_OWNERSHIP = "the ownership became uncertain before the order was sent"
        const val STORED_TOO_LATE = "the order took too long to store"
        const val WORKER_CHANGED = "the worker of the instance is another one or has got runs since the order was decided on"

        /** Least time that an instance stays in a pool after joining it. */
        const val MIN_STAY_MS = 1_500L

        /** Delay before a refused order may be retried. */
        const val REFUSED_RETRY_MS = 500L

        /** Delay before an unanswered order may be retried; orders are idempotent. */
        const val LOST_RETRY_MS = 700L
    }
}
