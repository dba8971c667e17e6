/*
 * Moves instances between pools as demand rises and falls, and gives them their maintenance. Each order ends all that
 * runs on an instance, so only empty instances are ordered; at most one owner orders at a time, under rising tokens.
 */
package io.corianderrock.jobs.fleet

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.Machine
import io.corianderrock.jobs.ports.MachineAnswer
import io.corianderrock.jobs.ports.MachineService
import io.corianderrock.jobs.ports.MachineState
import io.corianderrock.jobs.runs.WorkerDriver
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobsConfiguration
import io.corianderrock.jobs.state.WorkerView

internal class FleetController(
    private val loop: EventLoop,
    private val service: MachineService,
    private val driver: WorkerDriver,
    private val log: DecisionLog,
    private val orders: InstanceOrders,
    private val token: Long,
    demand: PoolDemand,
    stuckForMs: (String) -> Long,
    private val configuration: () -> JobsConfiguration?,
    private val mayOrder: () -> Boolean,
) {
    private val byId = LinkedHashMap<String, MachineView>()
    private var isListing = false
    private var listedAtMs = Long.MIN_VALUE / 2
    private var hasList = false
    val drainer = Drainer(loop, driver)
    val sizer = PoolSizer(loop, log, demand, stuckForMs, ::workerOf)

    val isReady: Boolean get() = hasList && mayOrder()

    /** Workers that serve [pool]. */
    fun workersOf(pool: String): List<WorkerView> = byId.values.filter { it.pool == pool && it.setAside == null }.mapNotNull(::workerOf)

    fun find(machineId: String): MachineView? = byId[machineId]

    /** True when nothing can run on the instance: its worker says so, or it is switched off in standby. */
    fun isSurelyEmpty(view: MachineView): Boolean {
        val worker = workerOf(view)
        if (worker != null) return worker.isEmpty
        return configuration()?.pools?.get(view.machine.pool)?.isStandby == true
    }

    fun workerOf(view: MachineView): WorkerView? = driver.listedOn(view.machine.id) ?: view.machine.workerId?.let(driver::find)

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
            val leaving = state.machines.filter { it.setAside == SetAsideReason.SURPLUS }
            if (leaving.isEmpty()) continue
            val serving = state.supply.mapNotNull(::workerOf)
            for (view in leaving) empty(view, serving, isShort)
            for (view in leaving) returnIfEmpty(view, standby)
        }
    }

    /** Moves away what can go on elsewhere; tasks that last only for the sake of a pool that lacks instances. */
    private fun empty(
        view: MachineView,
        serving: List<WorkerView>,
        isShort: Boolean,
    ) {
        val worker = workerOf(view) ?: return
        drainer.evictSaving(worker, serving)
        if (isShort) drainer.evictLasting(worker)
    }

    /** Instances that the pool holds set aside for others serve it first. */
    private fun takeBack(state: PoolState) {
        val own = state.machines.filter { it.setAside == SetAsideReason.SURPLUS && !it.isOrdered }
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
        val idle = idleMachines(states)
        val standing = byId.values.filter { it.pool == standby && isMovable(it) }
        // An instance that lies idle in another pool is paid for already, and one move is less than two.
        val spare = ArrayDeque(idle + standing)
        val lackingCount = states.sumOf { it.missing } - spare.size
        grow(states, spare) { it.missing }
        grow(states, spare) { it.missingAhead - it.missing }
        return maxOf(0, lackingCount)
    }

    private fun idleMachines(states: List<PoolState>): List<MachineView> =
        states.flatMap { state ->
            val movable = state.machines.filter { isMovable(it) && isSurelyEmpty(it) }
            val (surplus, serving) = movable.partition { it.setAside == SetAsideReason.SURPLUS }
            surplus + serving.take(state.idleCount)
        }

    private fun grow(
        states: List<PoolState>,
        spare: ArrayDeque<MachineView>,
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
                        "machine",
                        view.machine.id,
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
    fun isOrderable(view: MachineView): Boolean = !view.isOrdered && loop.nowMs >= view.retryAtMs && !orders.isInherited(view.machine.id)

    /** Counts instances that an earlier owner may have just sent to maintenance, but for those of [known]. */
    fun inheritedMaintenanceCount(
        waveNumber: Int,
        known: List<MachineView>,
    ): Int = orders.inheritedMaintenanceCount(waveNumber, known.mapTo(HashSet()) { it.machine.id })

    private fun isMovable(view: MachineView): Boolean =
        isOrderable(view) &&
            view.machine.state == MachineState.UP &&
            view.setAside != SetAsideReason.MAINTENANCE

    private fun shrink(
        state: PoolState,
        isShort: Boolean,
    ) {
        val settled = state.supply.filter { isMovable(it) && loop.nowMs - it.joinedAtMs > MIN_STAY_MS }
        val candidates = settled.filter { drainer.canEmptySoon(workerOf(it)) }.sortedBy { workerOf(it)?.occupied?.cpuMilli ?: 0 }
        val chosen = if (candidates.isEmpty() && isShort) listOfNotNull(cheapestToEmpty(state, settled)) else candidates
        for (view in chosen.take(state.surplus)) {
            log.write("pool_shrinks", "pool", state.pool, "machine", view.machine.id, "surplus", state.surplus, "need", state.need)
            setAside(view, SetAsideReason.SURPLUS)
        }
    }

    /** One instance at a time on which tasks last, if the others of the pool have room for them. */
    private fun cheapestToEmpty(
        state: PoolState,
        settled: List<MachineView>,
    ): MachineView? {
        if (state.machines.any { it.setAside == SetAsideReason.SURPLUS }) return null
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
        view: MachineView,
        reason: SetAsideReason,
    ) {
        view.setAside = reason
        workerOf(view)?.isSetAside = true
    }

    fun release(view: MachineView) {
        view.setAside = null
        workerOf(view)?.isSetAside = false
    }

    private fun returnIfEmpty(
        view: MachineView,
        standby: String,
    ) {
        if (isSurelyEmpty(view) && isMovable(view)) move(view, standby)
    }

    private fun move(
        view: MachineView,
        pool: String,
    ) {
        workerOf(view)?.isSetAside = true
        val order = Order("move", moveTo = pool) { it.copy(pool = pool, state = MachineState.MOVING, workerId = null) }
        send(view, order) { onAnswer -> service.move(view.machine.id, pool, token, onAnswer) }
    }

    /** Orders the maintenance of [view] for wave [waveNumber]; [onDone] gets the answer. */
    fun maintain(
        view: MachineView,
        waveNumber: Int,
        onDone: (MachineAnswer) -> Unit,
    ) {
        val order = Order("maintain", waveNumber = waveNumber) { it.copy(state = MachineState.MAINTENANCE, workerId = null) }
        send(view, order, onDone) { onAnswer -> service.maintain(view.machine.id, waveNumber, token, onAnswer) }
    }

    /** An order, which ends the instance's worker when accepted; [after] tells what the instance is then. */
    private class Order(
        val step: String,
        val moveTo: String? = null,
        val waveNumber: Int? = null,
        val after: (Machine) -> Machine,
    )

    /** Records [order], then calls [call] to send it. */
    private fun send(
        view: MachineView,
        order: Order,
        onDone: (MachineAnswer) -> Unit = {},
        call: ((MachineAnswer) -> Unit) -> Unit,
    ) {
        val worker = workerOf(view)
        view.isOrdered = true
        view.movingTo = order.moveTo
        val onAnswer: (MachineAnswer) -> Unit = { answer ->
            orders.onAnswered(view.machine.id)
            onOrdered(view, answer, order.step) {
                worker?.let { driver.onEnded(it.id) }
                view.joinedAtMs = loop.nowMs
                view.machine = order.after(view.machine)
                view.setAside = null
            }
            onDone(answer)
        }
        orders.record(view.machine.id, order.waveNumber) {
            if (mayOrder()) call(onAnswer) else onAnswer(MachineAnswer.Refused(UNCERTAIN_OWNERSHIP))
        }
    }

    private fun onOrdered(
        view: MachineView,
        answer: MachineAnswer,
        step: String,
        onAccepted: () -> Unit,
    ) {
        log.write("machine_ordered", "step", step, "machine", view.machine.id, "pool", view.machine.pool, "answer", answer)
        view.isOrdered = false
        view.movingTo = null
        view.changedAtMs = loop.nowMs
        when (answer) {
            is MachineAnswer.Accepted -> onAccepted()
            is MachineAnswer.Refused -> {
                view.retryAtMs = loop.nowMs + REFUSED_RETRY_MS
                workerOf(view)?.isSetAside = view.setAside != null
            }
            is MachineAnswer.Lost -> {
                view.retryAtMs = loop.nowMs + LOST_RETRY_MS
                // It may still be carried out and end what runs there: nothing new until a list shows the outcome.
                if (view.setAside == null) setAside(view, SetAsideReason.SURPLUS)
            }
        }
    }

    private fun capacityOf(pool: String): Demand =
        byId.values
            .firstOrNull { it.machine.pool == pool }
            ?.machine
            ?.capacity
            ?: byId.values
                .firstOrNull()
                ?.machine
                ?.capacity
            ?: Demand()

    private fun refresh() {
        val isTransit = byId.values.any { it.machine.state != MachineState.UP }
        val intervalMs = if (isTransit) LIST_INTERVAL_TRANSIT_MS else LIST_INTERVAL_MS
        if (isListing || loop.nowMs - listedAtMs < intervalMs) return
        isListing = true
        val sentAtMs = loop.nowMs
        service.list { machines ->
            isListing = false
            listedAtMs = loop.nowMs
            if (machines == null) {
                log.write("machine_list_lost", "tookMs", loop.nowMs - sentAtMs)
                listedAtMs += LIST_RETRY_MS - LIST_INTERVAL_MS
            } else {
                onList(machines, sentAtMs)
            }
        }
    }

    private fun onList(
        machines: List<Machine>,
        sentAtMs: Long,
    ) {
        hasList = true
        for (machine in machines) {
            val view = byId.getOrPut(machine.id) { MachineView(machine) }
            if (view.isOrdered || view.changedAtMs >= sentAtMs) continue
            if (view.machine.state != MachineState.UP && machine.state == MachineState.UP) view.joinedAtMs = loop.nowMs
            view.machine = machine
            if (machine.state == MachineState.UP) driver.onMachineListed(machine.id, machine.workerId)
        }
        val listed = machines.mapTo(HashSet()) { it.id }
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
