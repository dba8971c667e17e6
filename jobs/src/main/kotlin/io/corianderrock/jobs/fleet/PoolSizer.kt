/*
 * Compares the supply of instances of each pool with its current and its forecast need.
 */
package io.corianderrock.jobs.fleet

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.InstanceState
import io.corianderrock.jobs.runs.SchedulingSettings
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.WorkerView
import kotlin.math.ceil

/** Supply, shortage and surplus of a pool, in instances. */
internal class PoolState(
    val pool: String,
    val need: PoolNeed,
    val instances: List<InstanceView>,
    /** Instances that serve the pool or are about to join it. */
    val supply: List<InstanceView>,
    /** Instances missing from [supply] for current work. */
    val missing: Int,
    /** Instances missing from [supply] for current and forecast work. */
    val missingWithForecast: Int,
    /** Instances of [supply] needed neither for current nor for forecast work. */
    val idleCount: Int,
    /** The part of [idleCount] that has not been needed for some time and can be cordoned. */
    val surplus: Int,
    /** How many of the instances cordoned as surplus may be emptied and returned to standby; without early draining all of them. */
    val returnCount: Int = Int.MAX_VALUE,
)

internal class PoolSizer(
    private val loop: EventLoop,
    private val log: DecisionLog,
    private val demand: PoolDemand,
    private val capacityShortageMs: (String) -> Long,
    private val settings: SchedulingSettings = SchedulingSettings(),
    private val workerOf: (InstanceView) -> WorkerView?,
) {
    private val surplusRelease = SurplusRelease(loop, settings.drainsSurplusEarly)
    private var forecast = PeakForecast(toleratesUnevenIntervals = settings.toleratesUnevenIntervals)
    private var loggedAtMs = Long.MIN_VALUE / 2

    /** Called on the event loop with all peaks when a new peak has started, so that they are stored for the next owner. */
    var onPeakStarted: (List<DemandPeak>) -> Unit = {}

    /** Continues with the [peaks] that an earlier owner has stored. */
    fun load(peaks: List<DemandPeak>) {
        forecast = PeakForecast(peaks, settings.toleratesUnevenIntervals)
    }

    /** Returns the state of each of [pools]. [capacityOf] gives the capacity of one instance of a pool. */
    fun states(
        pools: List<String>,
        instances: Collection<InstanceView>,
        capacityOf: (String) -> Demand,
    ): List<PoolState> {
        val needs = demand.needs(capacityOf)
        val arriving = needs.filterKeys { it in pools }.mapValues { it.value.arrivingInstances }
        if (forecast.observe(arriving, loop.wallMs)) onPeakStarted(forecast.peaks)
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
        val forecastWanted = maxOf(wanted, ceil(need.longRunningInstances + maxOf(expectedInstances, need.extrapolatedInstances)).toInt())
        val supply = instances.filter { it.instance.state !in ABSENT_STATES && isServing(it) && countsAsSupply(it) }
        val spareUsable = if (settings.keepsUsableInstances) supply.count(::isUsable) - wanted else supply.size
        val cordonedCount = instances.count { it.cordonReason == CordonReason.SURPLUS && !it.isOrdered }
        val missing = maxOf(wanted - supply.size, missingForStuck(pool, supply))
        val release =
            if (missing > 0) Release(0, cordonedCount) else surplusRelease.release(pool, forecastWanted, supply.size, cordonedCount)
        return PoolState(
            pool = pool,
            need = need,
            instances = instances,
            supply = supply,
            missing = maxOf(0, missing),
            missingWithForecast = maxOf(0, missing, forecastWanted - supply.size),
            idleCount = if (missing > 0) 0 else maxOf(0, minOf(supply.size - forecastWanted, spareUsable)),
            surplus = if (missing > 0) 0 else maxOf(0, minOf(release.cordonCount, spareUsable)),
            returnCount = if (settings.drainsSurplusEarly) release.returnCount else Int.MAX_VALUE,
        )
    }

    /**
     * True if tasks can be started on the instance now. Instances that are still joining count as supply, so that no more are
     * ordered, but must not make those that serve callers look superfluous.
     */
    private fun isUsable(view: InstanceView): Boolean =
        !view.isOrdered && view.instance.state == InstanceState.UP && workerOf(view)?.let { it.isListed && it.isReconciled } == true

    /** An instance that is on its way from another pool keeps its cordon there until the order is answered. */
    private fun isServing(view: InstanceView): Boolean = view.cordonReason == null || view.movingTo != null

    /** Requests one instance at a time for tasks that fit on no worker although the total free capacity would suffice. */
    private fun missingForStuck(
        pool: String,
        supply: List<InstanceView>,
    ): Int {
        val isJoining = supply.any { it.instance.state != InstanceState.UP || loop.nowMs - it.joinedAtMs < STUCK_MS }
        return if (!isJoining && capacityShortageMs(pool) > STUCK_MS) 1 else 0
    }

    /** False for instances whose worker has not joined in time, is draining or is avoided after failures. */
    private fun countsAsSupply(view: InstanceView): Boolean {
        if (view.isOrdered) return true
        val worker = workerOf(view) ?: return view.instance.state != InstanceState.UP || loop.nowMs - view.joinedAtMs < JOIN_TIMEOUT_MS
        return worker.drainingSinceMs == null && worker.record.avoidedUntilMs <= loop.nowMs + MAX_AVOIDED_MS
    }

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
            "cordoned",
            state.instances.count { it.cordonReason != null },
            "runningCpuMilli",
            workers.sumOf { it.occupied.cpuMilli },
            "runningMemoryMb",
            workers.sumOf { it.occupied.memoryMb },
            "waitingWorkCoreMs",
            state.need.waitingWorkCoreMs.toLong(),
            "arrivingCpuMilli",
            state.need.arrivingCpuMilli.toLong(),
            "extrapolated",
            state.need.extrapolatedInstances.toInt(),
            "longRunning",
            state.need.longRunningInstanceCount,
            "stuckMs",
            capacityShortageMs(state.pool),
        )
    }

    private companion object {
        /** States of instances that neither serve a pool nor are about to. */
        val ABSENT_STATES = setOf(InstanceState.DOWN, InstanceState.UNKNOWN)

        val NO_NEED = PoolNeed(0, 0, 0, 0.0, 0.0)

        /** Every pool keeps one instance, so that a single short job does not wait for a move. */
        const val MIN_INSTANCES = 1

        /** An instance whose worker is not listed within this time after joining does not count as supply. */
        const val JOIN_TIMEOUT_MS = 4_000L

        /** Instances whose worker is avoided for longer than this do not count as supply. */
        const val MAX_AVOIDED_MS = 2_000L

        /** A pool with a task that has fitted on no worker for this long needs another instance. */
        const val STUCK_MS = 600L

        /** Interval between log lines on the state of each pool. */
        const val LOG_INTERVAL_MS = 1_000L
    }
}
