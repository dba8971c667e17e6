/*
 * Simulates maintenance and moves with seeded random steps: two controllers and two operators share one platform, and each
 * entry routes by its own view of the fleet. Injects worker replacements, partitions, controller pauses, platform outages,
 * lost answers and a lagging instance list. The invariants are checked after every step.
 */
package io.corianderrock.coordination.maintenance

import io.corianderrock.coordination.FaultyPlatform
import io.corianderrock.coordination.ManualClock
import io.corianderrock.coordination.MemoryPlatform
import io.corianderrock.coordination.PlatformFault
import io.corianderrock.coordination.Transaction
import io.corianderrock.coordination.fleet.EntryRow
import io.corianderrock.coordination.fleet.INSTANCE_PREFIX
import io.corianderrock.coordination.fleet.asWrite
import io.corianderrock.coordination.fleet.decodeInstanceRow
import io.corianderrock.coordination.lease.ControllerLease
import io.corianderrock.coordination.record.AuditRecord
import io.corianderrock.coordination.record.verifyRecord
import io.corianderrock.coordination.valueOrNull
import io.corianderrock.state.BudgetSpec
import io.corianderrock.state.Declarations
import io.corianderrock.state.InstancePhase
import io.corianderrock.state.InstanceRole
import io.corianderrock.state.InstanceRow
import io.corianderrock.state.ListedInstance
import io.corianderrock.state.ListedState
import io.corianderrock.state.PoolSpec
import io.corianderrock.state.WaveSpec
import kotlin.random.Random

internal class MaintenanceSimulation(
    seed: Int,
    private val entriesConfirm: Boolean = true,
    private val workersFail: Boolean = true,
) {
    private val random = Random(seed)
    private val clock = ManualClock()
    private val memory = MemoryPlatform(onReboot = ::onReboot)
    private val actual = LinkedHashMap<String, ListedInstance>()
    private val unpublished = ArrayDeque<ListedInstance>()
    private val entries = DATA_CENTRES.flatMap { dc -> List(2) { EntryModel("entry-$dc-$it", dc) } }
    private val controllers = List(2) { ControllerModel("controller-$it") }
    private val operatorActions = OperatorActions(memory, clock, ::emptySet, ::newId)
    private val violations = ArrayList<String>()
    private var sizeA = WORKERS
    private var isPlatformDown = false
    private var hasFaults = true
    private var ids = 0

    val violationsFound: List<String> get() = violations
    val wave: WaveRow? get() = operatorActions.waves().valueOrNull()?.singleOrNull()
    var reboots = 0
        private set
    var moves = 0
        private set

    init {
        DATA_CENTRES.forEach { dc -> repeat(2 * WORKERS) { addWorker(dc) } }
        entries.forEach { memory.transact(Transaction(newId(), emptyList(), listOf(it.row.asWrite()))) }
        publishList()
        repeat(3) { tickControllers() }
        operatorActions.changeWave(declarations(), WAVE, WaveAction.START, "operator")
    }

    fun run(steps: Int) {
        repeat(steps) {
            step()
            check()
        }
    }

    /** The wave and the instances that are out of service, as shown by a failed assertion. */
    val pending: String get() = "$wave ${rows().filter { it.phase.isUnavailable }}"

    /** Ends all faults and runs the controllers. Returns true if the wave ends and every instance is in service within 600 rounds. */
    fun runToCompletion(): Boolean {
        hasFaults = false
        isPlatformDown = false
        entries.forEach { it.isPartitioned = false }
        controllers.forEach { it.isPaused = false }
        if (wave?.status == WaveStatus.PAUSED) operatorActions.changeWave(declarations(), WAVE, WaveAction.RESUME, "operator")
        repeat(600) {
            clock.advanceMs(500)
            entries.forEach { entry ->
                entry.finishAll()
                entry.poll()
            }
            publishList()
            rows().filter { it.drainedBy != null }.forEach { operatorActions.drain(declarations(), it.id, isReturn = true, "operator") }
            tickControllers()
            check()
            if (wave?.status?.isTerminal == true && rows().none { it.phase.isUnavailable }) return true
        }
        return false
    }

    private fun step() {
        clock.advanceMs(random.nextLong(0, 800))
        when (random.nextInt(24)) {
            0 -> isPlatformDown = !isPlatformDown && random.nextBoolean()
            1 -> entries.random(random).let { it.isPartitioned = !it.isPartitioned }
            2 -> controllers.random(random).let { it.isPaused = !it.isPaused }
            3 -> if (workersFail) replaceWorker()
            4 -> runOperatorAction()
            5 -> resizePools()
            in 6..8 -> publishList()
            in 9..12 -> entries.random(random).poll()
            in 13..17 -> entries.random(random).serve()
            else -> tickControllers()
        }
    }

    private fun tickControllers() = controllers.filterNot { it.isPaused }.shuffled(random).forEach { it.tick() }

    private fun declarations() =
        Declarations(
            pools = listOf(PoolSpec(POOL_A, sizeA), PoolSpec(POOL_B, 2 * WORKERS - sizeA)),
            budgets = listOf(POOL_A, POOL_B).map { BudgetSpec("$it-budget", it, MAX_UNAVAILABLE, MAX_UNAVAILABLE_PER_DATA_CENTRE) },
            waves = listOf(WaveSpec(WAVE, listOf(POOL_A, POOL_B), stopAfterFailures = 100)),
        )

    private fun runOperatorAction() {
        val operator = "operator-${random.nextInt(2)}"
        when (random.nextInt(4)) {
            0 -> operatorActions.changeWave(declarations(), WAVE, WaveAction.entries.random(random), operator)
            1 -> operatorActions.changeWave(declarations(), WAVE, WaveAction.START, operator)
            else -> actual.keys.random(random).let { operatorActions.drain(declarations(), it, isReturn = random.nextBoolean(), operator) }
        }
    }

    private fun resizePools() {
        sizeA = WORKERS + random.nextInt(-1, 2)
    }

    private fun addWorker(dataCentre: String) {
        val id = "worker-${ids++}"
        setActual(ListedInstance(id, InstanceRole.WORKER, dataCentre, "rack", "127.0.0.1", 1, ListedState.LIVE))
    }

    private fun replaceWorker() {
        val victim = actual.values.random(random)
        setActual(victim.copy(state = ListedState.GONE))
        actual.remove(victim.id)
        entries.forEach { it.inFlight.removeAll { request -> request.instance == victim.id } }
        addWorker(victim.dataCentre)
    }

    private fun setActual(instance: ListedInstance) {
        actual[instance.id] = instance
        unpublished += instance
    }

    private fun publishList() {
        memory.publishInstances(unpublished.toList())
        unpublished.clear()
    }

    private fun onReboot(id: String) {
        reboots += 1
        if (entries.any { entry -> entry.inFlight.any { it.instance == id } }) violations += "$id was rebooted with a request in flight"
        actual[id]?.let { setActual(it.copy(bootCount = it.bootCount + 1)) }
    }

    private fun rows(): List<InstanceRow> = checkNotNull(memory.scan(INSTANCE_PREFIX).valueOrNull()).map(::decodeInstanceRow)

    private fun check() {
        val rows = rows().associateBy { it.id }
        for (pool in listOf(POOL_A, POOL_B)) {
            val out = rows.values.filter { it.pool == pool && it.phase.isUnavailable }
            if (out.size > MAX_UNAVAILABLE) violations += "$pool has ${out.size} instances out of service for planned work"
            out.groupBy { it.dataCentre }.filterValues { it.size > MAX_UNAVAILABLE_PER_DATA_CENTRE }.keys.forEach {
                violations += "$pool exceeds its budget in $it"
            }
        }
        for (request in entries.flatMap { it.inFlight }) {
            val pool = rows[request.instance]?.pool
            if (pool != request.pool) violations += "${request.instance} serves ${request.pool} while it belongs to $pool"
        }
    }

    fun recordDefects(): List<String> {
        val content = checkNotNull(AuditRecord(memory).readAll().valueOrNull())
        return verifyRecord(content.entries, content.head).map { it.problem }
    }

    private fun newId(): String = "id-${ids++}"

    private fun nextFault(): PlatformFault =
        when {
            isPlatformDown -> PlatformFault.DOWN
            hasFaults && random.nextInt(12) == 0 -> PlatformFault.ANSWER_LOST
            else -> PlatformFault.NONE
        }

    private class Request(
        val instance: String,
        val pool: String,
    )

    private inner class EntryModel(
        id: String,
        private val dataCentre: String,
    ) {
        val row = EntryRow(id, dataCentre, "127.0.0.1:1", "127.0.0.1:2", seat = 0)
        val inFlight = ArrayList<Request>()
        var isPartitioned = false
        private var view: Map<String, InstanceRow> = emptyMap()

        fun poll() {
            if (!isPartitioned && !isPlatformDown) view = rows().associateBy { it.id }
        }

        fun serve() {
            if (inFlight.isNotEmpty() && random.nextBoolean()) inFlight.removeAt(random.nextInt(inFlight.size))
            val usable = view.values.filter { it.dataCentre == dataCentre && it.phase == InstancePhase.ASSIGNED && it.id in actual }
            usable.randomOrNull(random)?.let { inFlight += Request(it.id, it.pool) }
        }

        fun finishAll() = inFlight.clear()

        fun hasDrained(row: InstanceRow): Boolean {
            if (isPartitioned) return false
            poll()
            val hasSeen = (view[row.id]?.epoch ?: 0) >= row.epoch
            return hasSeen && inFlight.none { it.instance == row.id }
        }
    }

    private inner class ControllerModel(
        instanceId: String,
    ) {
        var isPaused = false
        private val platform = FaultyPlatform(memory) { nextFault() }
        private val lease = ControllerLease(platform, clock, instanceId, newId = ::newId)
        private val controller =
            Controller(
                platform = platform,
                clock = clock,
                instanceId = instanceId,
                drainProbe = { entry, row -> !entriesConfirm || entries.first { it.row.id == entry.id }.hasDrained(row) },
                instanceProbe = { instance, _ -> instance.id in actual },
                unhealthy = ::emptySet,
                newId = ::newId,
                moveLimits = MoveLimits(minStayMs = 0),
                listener = { changes, _ -> moves += changes.count { it is FleetChange.InstanceChange && it.kind == "instance-moved" } },
            )

        /** May pause between the renewal of the lease and the round, so that the round runs under an expired lease. */
        fun tick() {
            val held = lease.renewOrAcquire() ?: return
            if (hasFaults && random.nextInt(10) == 0) clock.advanceMs(10_000)
            controller.reconcile(declarations(), held)
        }
    }

    private companion object {
        val DATA_CENTRES = listOf("dc-0", "dc-1")
        const val WORKERS = 4
        const val POOL_A = "a"
        const val POOL_B = "b"
        const val WAVE = "update"
        const val MAX_UNAVAILABLE = 3
        const val MAX_UNAVAILABLE_PER_DATA_CENTRE = 2
    }
}
