/*
 * A random history of maintenance and moves: two controllers and two operators over one platform, entries that route by
 * views of their own, failures, replacements, cuts, pauses, lost answers and a lagging instance list. Every step checks
 * what must always hold.
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

internal class MaintenanceHistory(
    seed: Int,
    private val entriesConfirm: Boolean = true,
    private val workersFail: Boolean = true,
) {
    private val random = Random(seed)
    private val clock = ManualClock()
    private val memory = MemoryPlatform(onReboot = ::onReboot)
    private val actual = LinkedHashMap<String, ListedInstance>()
    private val unlisted = ArrayDeque<ListedInstance>()
    private val entries = DATA_CENTRES.flatMap { dc -> List(2) { EntryModel("entry-$dc-$it", dc) } }
    private val controllers = List(2) { ControllerModel("controller-$it") }
    private val operatorActions = OperatorActions(memory, clock, ::emptySet, ::newId)
    private val violations = ArrayList<String>()
    private var sizeA = WORKERS
    private var isPlatformDown = false
    private var hasFaults = true
    private var ids = 0

    val found: List<String> get() = violations
    val wave: WaveRow? get() = operatorActions.waves().valueOrNull()?.singleOrNull()
    var reboots = 0
        private set
    var moves = 0
        private set

    init {
        DATA_CENTRES.forEach { dc -> repeat(2 * WORKERS) { addWorker(dc) } }
        entries.forEach { memory.transact(Transaction(newId(), emptyList(), listOf(it.row.asWrite()))) }
        showList()
        repeat(3) { round() }
        operatorActions.wave(declarations(), WAVE, WaveAction.START, "operator")
    }

    fun run(steps: Int) {
        repeat(steps) {
            step()
            check()
        }
    }

    /** The wave and the instances that are out of service. */
    val pending: String get() = "$wave ${rows().filter { it.phase.isUnavailable }}"

    /** Ends all faults and lets the controllers work. Returns true once the wave is over and every instance serves. */
    fun settle(): Boolean {
        hasFaults = false
        isPlatformDown = false
        entries.forEach { it.isCut = false }
        controllers.forEach { it.isPaused = false }
        if (wave?.status == WaveStatus.PAUSED) operatorActions.wave(declarations(), WAVE, WaveAction.RESUME, "operator")
        repeat(600) {
            clock.advanceMs(500)
            entries.forEach { entry ->
                entry.finishAll()
                entry.poll()
            }
            showList()
            rows().filter { it.drainedBy != null }.forEach { operatorActions.drain(declarations(), it.id, isReturn = true, "operator") }
            round()
            check()
            if (wave?.status?.isOver == true && rows().none { it.phase.isUnavailable }) return true
        }
        return false
    }

    private fun step() {
        clock.advanceMs(random.nextLong(0, 800))
        when (random.nextInt(24)) {
            0 -> isPlatformDown = !isPlatformDown && random.nextBoolean()
            1 -> entries.random(random).let { it.isCut = !it.isCut }
            2 -> controllers.random(random).let { it.isPaused = !it.isPaused }
            3 -> if (workersFail) replaceWorker()
            4 -> operate()
            5 -> resize()
            in 6..8 -> showList()
            in 9..12 -> entries.random(random).poll()
            in 13..17 -> entries.random(random).work()
            else -> round()
        }
    }

    private fun round() = controllers.filterNot { it.isPaused }.shuffled(random).forEach { it.tick() }

    private fun declarations() =
        Declarations(
            pools = listOf(PoolSpec(POOL_A, sizeA), PoolSpec(POOL_B, 2 * WORKERS - sizeA)),
            budgets = listOf(POOL_A, POOL_B).map { BudgetSpec("$it-budget", it, MAX_OUT, MAX_OUT_LOCALLY) },
            waves = listOf(WaveSpec(WAVE, listOf(POOL_A, POOL_B), stopAfterFailures = 100)),
        )

    private fun operate() {
        val operator = "operator-${random.nextInt(2)}"
        when (random.nextInt(4)) {
            0 -> operatorActions.wave(declarations(), WAVE, WaveAction.entries.random(random), operator)
            1 -> operatorActions.wave(declarations(), WAVE, WaveAction.START, operator)
            else -> actual.keys.random(random).let { operatorActions.drain(declarations(), it, isReturn = random.nextBoolean(), operator) }
        }
    }

    private fun resize() {
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
        unlisted += instance
    }

    private fun showList() {
        memory.publishInstances(unlisted.toList())
        unlisted.clear()
    }

    private fun onReboot(id: String) {
        reboots += 1
        if (entries.any { entry -> entry.inFlight.any { it.instance == id } }) violations += "$id rebooted under a request"
        actual[id]?.let { setActual(it.copy(bootCount = it.bootCount + 1)) }
    }

    private fun rows(): List<InstanceRow> = checkNotNull(memory.scan(INSTANCE_PREFIX).valueOrNull()).map(::decodeInstanceRow)

    private fun check() {
        val rows = rows().associateBy { it.id }
        for (pool in listOf(POOL_A, POOL_B)) {
            val out = rows.values.filter { it.pool == pool && it.phase.isUnavailable }
            if (out.size > MAX_OUT) violations += "$pool has ${out.size} instances out of service by plan"
            out.groupBy { it.dataCentre }.filterValues { it.size > MAX_OUT_LOCALLY }.keys.forEach {
                violations +=
                    "$pool is over its budget in $it"
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
        var isCut = false
        private var view: Map<String, InstanceRow> = emptyMap()

        fun poll() {
            if (!isCut && !isPlatformDown) view = rows().associateBy { it.id }
        }

        fun work() {
            if (inFlight.isNotEmpty() && random.nextBoolean()) inFlight.removeAt(random.nextInt(inFlight.size))
            val usable = view.values.filter { it.dataCentre == dataCentre && it.phase == InstancePhase.ASSIGNED && it.id in actual }
            usable.randomOrNull(random)?.let { inFlight += Request(it.id, it.pool) }
        }

        fun finishAll() = inFlight.clear()

        fun hasDrained(row: InstanceRow): Boolean {
            if (isCut) return false
            poll()
            val hasSeen = (view[row.id]?.epoch ?: 0) >= row.epoch
            return hasSeen && inFlight.none { it.instance == row.id }
        }
    }

    private inner class ControllerModel(
        self: String,
    ) {
        var isPaused = false
        private val platform = FaultyPlatform(memory) { nextFault() }
        private val lease = ControllerLease(platform, clock, self, newId = ::newId)
        private val controller =
            Controller(
                platform = platform,
                clock = clock,
                self = self,
                drainProbe = { entry, row -> !entriesConfirm || entries.first { it.row.id == entry.id }.hasDrained(row) },
                instanceProbe = { instance, _ -> instance.id in actual },
                unhealthy = ::emptySet,
                newId = ::newId,
                moveLimits = MoveLimits(minStayMs = 0),
                listener = { steps, _ -> moves += steps.count { it is Step.ChangeRow && it.kind == "instance-moved" } },
            )

        /** A controller may pause between renewing its lease and acting on it. */
        fun tick() {
            val held = lease.tick() ?: return
            if (hasFaults && random.nextInt(10) == 0) clock.advanceMs(10_000)
            controller.round(declarations(), held)
        }
    }

    private companion object {
        val DATA_CENTRES = listOf("dc-0", "dc-1")
        const val WORKERS = 4
        const val POOL_A = "a"
        const val POOL_B = "b"
        const val WAVE = "update"
        const val MAX_OUT = 3
        const val MAX_OUT_LOCALLY = 2
    }
}
