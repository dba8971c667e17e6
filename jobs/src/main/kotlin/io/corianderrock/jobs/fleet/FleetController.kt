/*
 * Moves instances between pools as demand rises and falls, and gives them their maintenance. Each order ends all that
 * runs on an instance, so only empty instances are ordered; at most one owner orders at a time, under rising tokens.
 */
package io.corianderrock.jobs.fleet

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.Instance
import io.corianderrock.jobs.ports.InstanceOrderAnswer
import io.corianderrock.jobs.ports.InstanceService
import io.corianderrock.jobs.ports.InstanceState
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
    stuckForMs: (String) -> Long,
    private val configuration: () -> JobsConfiguration?,
    private val mayOrder: () -> Boolean,
) {
    private val byId = LinkedHashMap<String, InstanceView>()
    private var isListing = false
    private var listedAtMs = Long.MIN_VALUE / 2
    private var hasList = false
    val drainer = Drainer(loop, driver)
    val sizer = PoolSizer(loop, log, demand, stuckForMs, ::workerOf)

    val isReady: Boolean get() = hasList && mayOrder()

    /** Workers that serve [pool]. */
    fun workersOf(pool: String): List<WorkerView> = byId.values.filter { it.pool == pool && it.setAside == null }.mapNotNull(::workerOf)

    fun find(instanceId: String): InstanceView? = byId[instanceId]

    /** True when nothing can run on the instance: its worker says so, or it is switched off in standby. */
    fun isSurelyEmpty(view: InstanceView): Boolean {
        val worker = workerOf(view)
        if (worker != null) return worker.isEmpty
        return configuration()?.pools?.get(view.instance.pool)?.isStandby == true
    }

    fun workerOf(view: InstanceView): WorkerView? = driver.listedOn(view.instance.id) ?: view.instance.workerId?.let(driver::find)

    fun tick() {
        refresh()
        orders.tick()
        if (!isReady) return
        val (standbyPools, pools) =
            configuration()
                ?.pools
                ?.values
                .orEmpty()
                .partition { it.isStandby }
        val standby = standbyPools.firstOrNull()?.name ?: return
        val states = sizer.states(pools.map { it.name }, byId.values, ::capacityOf)
        for (state in states) if (state.missingAhead > 0) takeBack(state)
        val isShort = growAll(states, standby) > 0
        for (state in states) {
            if (state.surplus > 0) shrink(state, isShort)
            val leaving = state.instances.filter { it.setAside == SetAsideReason.SURPLUS }
            if (leaving.isEmpty()) continue
            val serving = state.supply.mapNotNull(::workerOf)
            for (view in leaving) empty(view, serving, isShort)
            for (view in leaving) returnIfEmpty(view, standby)
        }
    }

    /** Moves away what can go on elsewhere; tasks that last only for the sake of a pool that lacks instances. */
    private fun empty(
        view: InstanceView,
        serving: List<WorkerView>,
        isShort: Boolean,
    ) {
        val worker = workerOf(view) ?: return
        drainer.evictSaving(worker, serving)
        if (isShort) drainer.evictLongRunning(worker)
    }

    /** Instances that the pool holds set aside for others serve it first. */
    private fun takeBack(state: PoolState) {
        val own = state.instances.filter { it.setAside == SetAsideReason.SURPLUS && !it.isOrdered }
        own.take(state.missingAhead).forEach(::release)
    }

    /**
     * Deals spare instances out: first for work that is there, then for work that is expected. Returns how many
     * instances work that is there still lacks.
     */
    private fun growAll(
        states: List<PoolState>,
        standby: String,
    ): Int {
        val idle = idleInstances(states)
        val standing = byId.values.filter { it.pool == standby && isMovable(it) }
        // An instance that lies idle in another pool is paid for already, and one move is less than two.
        val spare = ArrayDeque(idle + standing)
        val lackingCount = states.sumOf { it.missing } - spare.size
        grow(states, spare) { it.missing }
        grow(states, spare) { it.missingAhead - it.missing }
        return maxOf(0, lackingCount)
    }

    private fun idleInstances(states: List<PoolState>): List<InstanceView> =
        states.flatMap { state ->
            val movable = state.instances.filter { isMovable(it) && isSurelyEmpty(it) }
            val (surplus, serving) = movable.partition { it.setAside == SetAsideReason.SURPLUS }
            surplus + serving.take(state.idleCount)
        }

    private fun grow(
        states: List<PoolState>,
        spare: ArrayDeque<InstanceView>,
        missingOf: (PoolState) -> Int,
    ) {
        val lacks = states.map { PoolLack(it.pool, it.supply.size, missingOf(it)) }
        val shares = shareSpare(lacks, spare.size)
        for (state in states) {
            repeat(shares[state.pool] ?: 0) {
                val view = spare.removeFirstOrNull() ?: return
                if (view.pool == state.pool) {
                    release(view)
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
                        "missingAhead",
                        state.missingAhead,
                        "need",
                        state.need,
                    )
                    move(view, state.pool)
                }
            }
        }
    }

    /** True when no order to the instance is on its way, was refused just now or was sent lately by an earlier owner. */
    fun isOrderable(view: InstanceView): Boolean = !view.isOrdered && loop.nowMs >= view.retryAtMs && !orders.isInherited(view.instance.id)

    /** Counts instances that an earlier owner may have just sent to maintenance, but for those of [known]. */
    fun inheritedMaintenanceCount(
        waveNumber: Int,
        known: List<InstanceView>,
    ): Int = orders.inheritedMaintenanceCount(waveNumber, known.mapTo(HashSet()) { it.instance.id })

    private fun isMovable(view: InstanceView): Boolean =
        isOrderable(view) &&
            view.instance.state == InstanceState.UP &&
            view.setAside != SetAsideReason.MAINTENANCE

    private fun shrink(
        state: PoolState,
        isShort: Boolean,
    ) {
        val settled = state.supply.filter { isMovable(it) && loop.nowMs - it.joinedAtMs > MIN_STAY_MS }
        val candidates = settled.filter { drainer.canEmptySoon(workerOf(it)) }.sortedBy { workerOf(it)?.occupied?.cpuMilli ?: 0 }
        val chosen = if (candidates.isEmpty() && isShort) listOfNotNull(cheapestToEmpty(state, settled)) else candidates
        for (view in chosen.take(state.surplus)) {
            log.write("pool_shrinks", "pool", state.pool, "instance", view.instance.id, "surplus", state.surplus, "need", state.need)
            setAside(view, SetAsideReason.SURPLUS)
        }
    }

    /** One instance at a time on which tasks last, if the others of the pool have room for them. */
    private fun cheapestToEmpty(
        state: PoolState,
        settled: List<InstanceView>,
    ): InstanceView? {
        if (state.instances.any { it.setAside == SetAsideReason.SURPLUS }) return null
        val view = settled.minByOrNull { workerOf(it)?.runs?.size ?: 0 } ?: return null
        val worker = workerOf(view) ?: return null
        val free =
            state.supply
                .mapNotNull(::workerOf)
                .filter { it !== worker }
                .fold(Demand()) { sum, other -> sum + other.free }
        return view.takeIf { worker.occupied.fitsIn(free) }
    }

    fun setAside(
        view: InstanceView,
        reason: SetAsideReason,
    ) {
        view.setAside = reason
        workerOf(view)?.isCordoned = true
    }

    fun release(view: InstanceView) {
        view.setAside = null
        workerOf(view)?.isCordoned = false
    }

    private fun returnIfEmpty(
        view: InstanceView,
        standby: String,
    ) {
        if (isSurelyEmpty(view) && isMovable(view)) move(view, standby)
    }

    private fun move(
        view: InstanceView,
        pool: String,
    ) {
        workerOf(view)?.isCordoned = true
        val order = Order("move", moveTo = pool) { it.copy(pool = pool, state = InstanceState.MOVING, workerId = null) }
        send(view, order) { onAnswer -> service.move(view.instance.id, pool, token, onAnswer) }
    }

    /** Orders the maintenance of [view] for wave [waveNumber]; [onDone] gets the answer. */
    fun maintain(
        view: InstanceView,
        waveNumber: Int,
        onDone: (InstanceOrderAnswer) -> Unit,
    ) {
        val order = Order("maintain", waveNumber = waveNumber) { it.copy(state = InstanceState.MAINTENANCE, workerId = null) }
        send(view, order, onDone) { onAnswer -> service.maintain(view.instance.id, waveNumber, token, onAnswer) }
    }

    /** An order, which ends the instance's worker when accepted; [after] tells what the instance is then. */
    private class Order(
        val step: String,
        val moveTo: String? = null,
        val waveNumber: Int? = null,
        val after: (Instance) -> Instance,
    )

    /** Records [order], then calls [call] to send it. */
    private fun send(
        view: InstanceView,
        order: Order,
        onDone: (InstanceOrderAnswer) -> Unit = {},
        call: ((InstanceOrderAnswer) -> Unit) -> Unit,
    ) {
        val worker = workerOf(view)
        view.isOrdered = true
        view.movingTo = order.moveTo
        val onAnswer: (InstanceOrderAnswer) -> Unit = { answer ->
            orders.onAnswered(view.instance.id)
            onOrdered(view, answer, order.step) {
                worker?.let { driver.onEnded(it.id) }
                view.joinedAtMs = loop.nowMs
                view.instance = order.after(view.instance)
                view.setAside = null
            }
            onDone(answer)
        }
        orders.record(view.instance.id, order.waveNumber) {
            if (mayOrder()) call(onAnswer) else onAnswer(InstanceOrderAnswer.Refused(UNCERTAIN_OWNERSHIP))
        }
    }

    private fun onOrdered(
        view: InstanceView,
        answer: InstanceOrderAnswer,
        step: String,
        onAccepted: () -> Unit,
    ) {
        log.write("machine_ordered", "step", step, "instance", view.instance.id, "pool", view.instance.pool, "answer", answer)
        view.isOrdered = false
        view.movingTo = null
        view.changedAtMs = loop.nowMs
        when (answer) {
            is InstanceOrderAnswer.Accepted -> onAccepted()
            is InstanceOrderAnswer.Refused -> {
                view.retryAtMs = loop.nowMs + REFUSED_RETRY_MS
                workerOf(view)?.isCordoned = view.setAside != null
            }
            is InstanceOrderAnswer.Lost -> {
                view.retryAtMs = loop.nowMs + LOST_RETRY_MS
                // It may still be carried out and end what runs there: nothing new until a list shows the outcome.
                if (view.setAside == null) setAside(view, SetAsideReason.SURPLUS)
            }
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

    private fun refresh() {
        val isTransit = byId.values.any { it.instance.state != InstanceState.UP }
        val intervalMs = if (isTransit) LIST_INTERVAL_TRANSIT_MS else LIST_INTERVAL_MS
        if (isListing || loop.nowMs - listedAtMs < intervalMs) return
        isListing = true
        val sentAtMs = loop.nowMs
        service.list { instances ->
            isListing = false
            listedAtMs = loop.nowMs
            if (instances == null) {
                log.write("machine_list_lost", "tookMs", loop.nowMs - sentAtMs)
                listedAtMs += LIST_RETRY_MS - LIST_INTERVAL_MS
            } else {
                onList(instances, sentAtMs)
            }
        }
    }

    private fun onList(
        instances: List<Instance>,
        sentAtMs: Long,
    ) {
        hasList = true
        for (instance in instances) {
            val view = byId.getOrPut(instance.id) { InstanceView(instance) }
            if (view.isOrdered || view.changedAtMs >= sentAtMs) continue
            if (view.instance.state != InstanceState.UP && instance.state == InstanceState.UP) view.joinedAtMs = loop.nowMs
            view.instance = instance
            if (instance.state == InstanceState.UP) driver.onInstanceListed(instance.id, instance.workerId)
        }
        val listed = instances.mapTo(HashSet()) { it.id }
        byId.keys.removeAll { it !in listed && byId.getValue(it).changedAtMs < sentAtMs }
    }

    private companion object {
        /** Reason of an order that was not sent. */
        const val UNCERTAIN_OWNERSHIP = "the ownership became uncertain before the order was sent"

        /** Pause before a list that could not be read is asked for again. */
        const val LIST_RETRY_MS = 300L

        /** An instance stays at least this long in a pool that it has joined. */
        const val MIN_STAY_MS = 1_500L

        /** How often the list is read. */
        const val LIST_INTERVAL_MS = 3_000L

        /** How often the list is read while an instance is neither up nor ordered. */
        const val LIST_INTERVAL_TRANSIT_MS = 500L

        /** Pause after a refused order. */
        const val REFUSED_RETRY_MS = 500L

        /** Pause after an order without an answer; repeating it has no further effect. */
        const val LOST_RETRY_MS = 700L
    }
}
