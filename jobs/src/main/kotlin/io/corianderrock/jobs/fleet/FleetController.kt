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
    private val demand: PoolDemand,
    private val log: DecisionLog,
    private val orders: InstanceOrders,
    private val token: Long,
    private val stuckForMs: (String) -> Long,
    private val configuration: () -> JobsConfiguration?,
    private val mayOrder: () -> Boolean,
) {
    private val byId = LinkedHashMap<String, MachineView>()
    private var isListing = false
    private var listedAtMs = Long.MIN_VALUE / 2
    private var hasList = false
    private var loggedAtMs = Long.MIN_VALUE / 2
    private val peakNeeds = HashMap<String, PeakNeed>()
    val drainer = Drainer(loop, driver)

    /** The largest need of a pool within [SHRINK_AFTER_MS]. */
    private class PeakNeed(
        var count: Int,
        var atMs: Long,
    )

    val isReady: Boolean get() = hasList && mayOrder()

    fun find(machineId: String): MachineView? = byId[machineId]

    /** True when nothing can run on the instance: its worker says so, or it is switched off in standby. */
    fun isSurelyEmpty(view: MachineView): Boolean {
        val worker = workerOf(view)
        if (worker != null) return worker.isEmpty
        return configuration()?.pools?.get(view.machine.pool)?.isStandby == true
    }

    fun workerOf(view: MachineView): WorkerView? =
        driver.workers.firstOrNull { it.entry.machineId == view.machine.id && it.isListed }
            ?: view.machine.workerId?.let(driver::find)

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
        val needs = demand.needs(::capacityOf)
        val supplies = byId.values.groupBy { it.machine.pool }
        val states = pools.map { stateOf(it.name, needs[it.name] ?: NO_NEED, supplies[it.name].orEmpty()) }
        val lacks = states.map { PoolLack(it.pool, it.supply.size, maxOf(0, it.missing)) }
        logPools(states)
        val shares = shareSpare(lacks, byId.values.count { it.machine.pool == standby && isMovable(it) })
        for (state in states) {
            if (state.missing > 0) grow(state, shares[state.pool] ?: 0, standby)
            if (state.surplus > 0) shrink(state)
            for (view in state.machines) if (view.setAside == SetAsideReason.SURPLUS) returnIfEmpty(view, standby)
        }
    }

    /** Once a second and pool: what decides its size, with its machines by what they are good for now. */
    private fun logPools(states: List<PoolState>) {
        if (loop.nowMs - loggedAtMs < LOG_INTERVAL_MS) return
        loggedAtMs = loop.nowMs
        for (state in states) {
            val workers = state.supply.mapNotNull(::workerOf)
            log.write(
                "pool",
                "pool",
                state.pool,
                "wanted",
                state.need.machineCount,
                "machines",
                state.machines.size,
                "supply",
                state.supply.size,
                "up",
                workers.size,
                "setAside",
                state.machines.count { it.setAside != null },
                "runningCpuMilli",
                workers.sumOf { it.occupied.cpuMilli },
                "runningMemoryMb",
                workers.sumOf { it.occupied.memoryMb },
                "waitingWorkCoreMs",
                state.need.waitingWorkCoreMs.toLong(),
                "arrivingCpuMilli",
                state.need.arrivingCpuMilli.toLong(),
                "lasting",
                state.need.lastingMachineCount,
                "stuckMs",
                stuckForMs(state.pool),
            )
        }
    }

    /** What a pool has and lacks now. */
    private class PoolState(
        val pool: String,
        val need: PoolNeed,
        val machines: List<MachineView>,
        val supply: List<MachineView>,
        val missing: Int,
        val surplus: Int,
    )

    private fun stateOf(
        pool: String,
        need: PoolNeed,
        machines: List<MachineView>,
    ): PoolState {
        val wanted = maxOf(need.machineCount, MIN_MACHINES)
        val supply = machines.filter { it.machine.state != MachineState.DOWN && it.setAside == null && isUseful(it) }
        val missing = maxOf(wanted - supply.size, missingForStuck(pool, supply))
        val surplus = if (missing > 0) 0 else supply.size - peakNeed(pool, wanted)
        return PoolState(pool, need, machines, supply, missing, surplus)
    }

    /** Tasks that fit nowhere, although the sum of the room would do, get one more instance at a time. */
    private fun missingForStuck(
        pool: String,
        supply: List<MachineView>,
    ): Int {
        val isJoining = supply.any { it.machine.state != MachineState.UP || loop.nowMs - it.joinedAtMs < STUCK_MS }
        return if (!isJoining && stuckForMs(pool) > STUCK_MS) 1 else 0
    }

    /** Instances whose worker is leaving or failing do not count as supply. */
    private fun isUseful(view: MachineView): Boolean {
        val worker = workerOf(view) ?: return view.machine.state != MachineState.UP || loop.nowMs - view.joinedAtMs < JOIN_TIMEOUT_MS
        return worker.drainingSinceMs == null && worker.avoidUntilMs <= loop.nowMs + AVOIDED_MS
    }

    private fun peakNeed(
        pool: String,
        wanted: Int,
    ): Int {
        val peak = peakNeeds.getOrPut(pool) { PeakNeed(wanted, loop.nowMs) }
        if (wanted >= peak.count || loop.nowMs - peak.atMs > SHRINK_AFTER_MS) {
            peak.count = wanted
            peak.atMs = loop.nowMs
        }
        return peak.count
    }

    private fun grow(
        state: PoolState,
        share: Int,
        standby: String,
    ) {
        var left = state.missing
        for (view in state.machines.filter { it.setAside == SetAsideReason.SURPLUS && !it.isOrdered }.take(left)) {
            release(view)
            left--
        }
        val spare = byId.values.filter { it.machine.pool == standby && isMovable(it) }
        for (view in spare.take(minOf(left, share))) {
            log.write("pool_grows", "pool", state.pool, "machine", view.machine.id, "missing", state.missing, "need", state.need)
            move(view, state.pool)
            left--
        }
        if (left > 0) takeFromOthers(state.pool, left, standby)
    }

    /** With nothing in standby, empty instances that another pool holds set aside as surplus serve as well. */
    private fun takeFromOthers(
        pool: String,
        missing: Int,
        standby: String,
    ) {
        val empty =
            byId.values.filter {
                it.machine.pool != pool &&
                    it.machine.pool != standby &&
                    it.setAside == SetAsideReason.SURPLUS &&
                    isMovable(it) &&
                    isSurelyEmpty(it)
            }
        for (view in empty.take(missing)) {
            log.write("pool_takes", "pool", pool, "machine", view.machine.id, "from", view.machine.pool, "missing", missing)
            move(view, pool)
        }
    }

    /** True when no order to the instance is on its way, was refused just now or was sent lately by an earlier owner. */
    fun isOrderable(view: MachineView): Boolean =
        !view.isOrdered && loop.nowMs >= view.retryAtMs && !orders.isInherited(view.machine.id)

    /** Counts instances that an earlier owner may have just sent to maintenance, but for those of [known]. */
    fun inheritedMaintenanceCount(
        waveNumber: Int,
        known: List<MachineView>,
    ): Int = orders.inheritedMaintenanceCount(waveNumber, known.mapTo(HashSet()) { it.machine.id })

    private fun isMovable(view: MachineView): Boolean =
        isOrderable(view) &&
            view.machine.state == MachineState.UP &&
            view.setAside != SetAsideReason.MAINTENANCE

    private fun shrink(state: PoolState) {
        val candidates =
            state.supply.filter { isMovable(it) && loop.nowMs - it.joinedAtMs > MIN_STAY_MS && drainer.canEmptySoon(workerOf(it)) }
        val ordered = candidates.sortedBy { workerOf(it)?.occupied?.cpuMilli ?: 0 }
        for (view in ordered.take(state.surplus)) {
            log.write("pool_shrinks", "pool", state.pool, "machine", view.machine.id, "surplus", state.surplus, "need", state.need)
            setAside(view, SetAsideReason.SURPLUS)
        }
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
        val moved = { machine: Machine -> machine.copy(pool = pool, state = MachineState.MOVING, workerId = null) }
        order(view, "move", null, moved) { onAnswer -> service.move(view.machine.id, pool, token, onAnswer) }
    }

    /** Orders the maintenance of [view] for wave [waveNumber]; [onDone] gets the answer. */
    fun maintain(
        view: MachineView,
        waveNumber: Int,
        onDone: (MachineAnswer) -> Unit,
    ) {
        val maintained = { machine: Machine -> machine.copy(state = MachineState.MAINTENANCE, workerId = null) }
        order(view, "maintain", waveNumber, maintained, onDone) { onAnswer -> service.maintain(view.machine.id, waveNumber, token, onAnswer) }
    }

    /** Sends an order, which ends the instance's worker when accepted; [after] tells what the instance is then. */
    private fun order(
        view: MachineView,
        step: String,
        waveNumber: Int?,
        after: (Machine) -> Machine,
        onDone: (MachineAnswer) -> Unit = {},
        send: ((MachineAnswer) -> Unit) -> Unit,
    ) {
        val worker = workerOf(view)
        view.isOrdered = true
        val onAnswer: (MachineAnswer) -> Unit = { answer ->
            orders.onAnswered(view.machine.id)
            onOrdered(view, answer, step) {
                worker?.let { driver.onEnded(it.id) }
                view.joinedAtMs = loop.nowMs
                view.machine = after(view.machine)
                view.setAside = null
            }
            onDone(answer)
        }
        orders.record(view.machine.id, waveNumber) {
            if (mayOrder()) send(onAnswer) else onAnswer(MachineAnswer.Refused(UNCERTAIN_OWNERSHIP))
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
        view.changedAtMs = loop.nowMs
        when (answer) {
            is MachineAnswer.Accepted -> onAccepted()
            is MachineAnswer.Refused -> view.retryAtMs = loop.nowMs + REFUSED_RETRY_MS
            is MachineAnswer.Lost -> view.retryAtMs = loop.nowMs + LOST_RETRY_MS
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
        val NO_NEED = PoolNeed(0, 0, 0, 0.0, 0.0)

        /** Reason of an order that was not sent. */
        const val UNCERTAIN_OWNERSHIP = "the ownership became uncertain before the order was sent"

        /** How often the state of each pool is logged. */
        const val LOG_INTERVAL_MS = 1_000L

        /** Pause before a list that could not be read is asked for again. */
        const val LIST_RETRY_MS = 300L

        /** Every pool keeps one instance, so that a single short job need not wait for a move. */
        const val MIN_MACHINES = 1

        /** Instances are given back when they have not been needed for this long, about the price of a move. */
        const val SHRINK_AFTER_MS = 1_500L

        /** An instance stays at least this long in a pool that it has joined. */
        const val MIN_STAY_MS = 1_500L

        /** A worker that has not shown up this long after its instance joined does not count as supply. */
        const val JOIN_TIMEOUT_MS = 4_000L

        /** Workers that are avoided for longer than this do not count as supply. */
        const val AVOIDED_MS = 2_000L

        /** A task that has fitted nowhere for this long needs another instance. */
        const val STUCK_MS = 600L

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
