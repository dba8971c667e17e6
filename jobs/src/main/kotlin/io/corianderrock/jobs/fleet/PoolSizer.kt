/*
 * How many instances each pool has, lacks or could do without: now, and ahead of demand that is expected.
 */
package io.corianderrock.jobs.fleet

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.InstanceState
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.WorkerView
import kotlin.math.ceil

/** What a pool has and lacks. */
internal class PoolState(
    val pool: String,
    val need: PoolNeed,
    val instances: List<InstanceView>,
    /** Instances that serve the pool now or will shortly. */
    val supply: List<InstanceView>,
    /** Instances that work which is there needs beyond [supply]. */
    val missing: Int,
    /** The same with the work that is expected. */
    val missingAhead: Int,
    /** Instances that are needed neither now nor for what is expected. */
    val idleCount: Int,
    /** The part of [idleCount] that has not been needed for a while and can be given back. */
    val surplus: Int,
)

internal class PoolSizer(
    private val loop: EventLoop,
    private val log: DecisionLog,
    private val demand: PoolDemand,
    private val stuckForMs: (String) -> Long,
    private val workerOf: (InstanceView) -> WorkerView?,
) {
    /** The largest need of a pool within [SHRINK_AFTER_MS]. */
    private class PeakNeed(
        var count: Int,
        var atMs: Long,
    )

    private val peakNeeds = HashMap<String, PeakNeed>()
    private var forecast = PeakForecast()
    private var loggedAtMs = Long.MIN_VALUE / 2

    /** Called when the forecast has learnt something that the next owner should know. */
    var onLearnt: (List<DemandPeak>) -> Unit = {}

    /** Goes on with the [peaks] that an earlier owner has seen. */
    fun load(peaks: List<DemandPeak>) {
        forecast = PeakForecast(peaks)
    }

    /** Returns the state of each of [pools]; [capacityOf] gives the capacity of an instance of a pool. */
    fun states(
        pools: List<String>,
        instances: Collection<InstanceView>,
        capacityOf: (String) -> Demand,
    ): List<PoolState> {
        val needs = demand.needs(capacityOf)
        val arriving = needs.filterKeys { it in pools }.mapValues { it.value.arrivingInstances }
        if (forecast.observe(arriving, loop.wallMs)) onLearnt(forecast.peaks)
        val expected = forecast.expected(pools, loop.wallMs)
        val byPool = instances.groupBy { it.pool }
        val states = pools.map { stateOf(it, needs[it] ?: NO_NEED, expected[it] ?: 0.0, byPool[it].orEmpty()) }
        logStates(states, expected)
        return states
    }

    private fun stateOf(
        pool: String,
        need: PoolNeed,
        expectedInstances: Double,
        instances: List<InstanceView>,
    ): PoolState {
        val wanted = maxOf(need.instanceCount, MIN_INSTANCES)
        val wantedAhead = maxOf(wanted, ceil(need.longRunningInstances + maxOf(expectedInstances, need.risingInstances)).toInt())
        val supply = instances.filter { it.instance.state != InstanceState.DOWN && it.setAside == null && isUseful(it) }
        val missing = maxOf(wanted - supply.size, missingForStuck(pool, supply))
        return PoolState(
            pool = pool,
            need = need,
            instances = instances,
            supply = supply,
            missing = maxOf(0, missing),
            missingAhead = maxOf(0, missing, wantedAhead - supply.size),
            idleCount = if (missing > 0) 0 else maxOf(0, supply.size - wantedAhead),
            surplus = if (missing > 0) 0 else maxOf(0, supply.size - peakNeed(pool, wantedAhead)),
        )
    }

    /** Tasks that fit nowhere, although the sum of the room would do, get one more instance at a time. */
    private fun missingForStuck(
        pool: String,
        supply: List<InstanceView>,
    ): Int {
        val isJoining = supply.any { it.instance.state != InstanceState.UP || loop.nowMs - it.joinedAtMs < STUCK_MS }
        return if (!isJoining && stuckForMs(pool) > STUCK_MS) 1 else 0
    }

    /** Instances whose worker is leaving or failing do not count as supply. */
    private fun isUseful(view: InstanceView): Boolean {
        if (view.isOrdered) return true
        val worker = workerOf(view) ?: return view.instance.state != InstanceState.UP || loop.nowMs - view.joinedAtMs < JOIN_TIMEOUT_MS
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

    /** Once a second and pool: what decides its size, with its instances by what they are good for now. */
    private fun logStates(
        states: List<PoolState>,
        expected: Map<String, Double>,
    ) {
        if (loop.nowMs - loggedAtMs < LOG_INTERVAL_MS) return
        loggedAtMs = loop.nowMs
        for (state in states) logState(state, expected[state.pool] ?: 0.0)
    }

    private fun logState(
        state: PoolState,
        expected: Double,
    ) {
        val workers = state.supply.mapNotNull(workerOf)
        log.write(
            "pool",
            "pool",
            state.pool,
            "wanted",
            state.need.instanceCount,
            "expected",
            expected.toInt(),
            "instances",
            state.instances.size,
            "supply",
            state.supply.size,
            "up",
            workers.size,
            "setAside",
            state.instances.count { it.setAside != null },
            "runningCpuMilli",
            workers.sumOf { it.occupied.cpuMilli },
            "runningMemoryMb",
            workers.sumOf { it.occupied.memoryMb },
            "waitingWorkCoreMs",
            state.need.waitingWorkCoreMs.toLong(),
            "arrivingCpuMilli",
            state.need.arrivingCpuMilli.toLong(),
            "rising",
            state.need.risingInstances.toInt(),
            "longRunning",
            state.need.longRunningInstanceCount,
            "stuckMs",
            stuckForMs(state.pool),
        )
    }

    private companion object {
        val NO_NEED = PoolNeed(0, 0, 0, 0.0, 0.0)

        /** Every pool keeps one instance, so that a single short job need not wait for a move. */
        const val MIN_INSTANCES = 1

        /** Instances are given back when they have not been needed for this long, about the price of a move. */
        const val SHRINK_AFTER_MS = 1_500L

        /** A worker that has not shown up this long after its instance joined does not count as supply. */
        const val JOIN_TIMEOUT_MS = 4_000L

        /** Workers that are avoided for longer than this do not count as supply. */
        const val AVOIDED_MS = 2_000L

        /** A task that has fitted nowhere for this long needs another instance. */
        const val STUCK_MS = 600L

        /** How often the state of each pool is logged. */
        const val LOG_INTERVAL_MS = 1_000L
    }
}
