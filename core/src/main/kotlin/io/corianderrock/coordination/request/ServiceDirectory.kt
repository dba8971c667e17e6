/*
 * The services of the configuration in force, and the runtime state that survives a change of configuration.
 */
package io.corianderrock.coordination.request

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.NS_PER_MS
import io.corianderrock.coordination.admission.AdmissionPolicy
import io.corianderrock.coordination.admission.LeastLoadedOfTwo
import io.corianderrock.coordination.admission.RunTimeClassifier
import io.corianderrock.coordination.admission.ServiceScheduler
import io.corianderrock.coordination.admission.Slot
import io.corianderrock.coordination.admission.TeamQuota
import io.corianderrock.coordination.admission.WorkerSelector
import io.corianderrock.coordination.admission.WorkerSet
import io.corianderrock.coordination.admission.WorkerState
import io.corianderrock.coordination.health.EjectionBudget
import io.corianderrock.coordination.health.HealthLimits
import io.corianderrock.coordination.health.WorkerHealth
import io.corianderrock.state.RoutingTable
import io.corianderrock.state.ServiceRoute
import io.corianderrock.state.ServiceSpec
import io.corianderrock.state.TeamSpec
import io.corianderrock.state.WorkerRoute
import io.corianderrock.state.startsWithPathPrefix
import java.util.concurrent.ConcurrentHashMap

/** Runs actions after a delay; backed by a timer thread in the daemon. */
public fun interface DelayedExecutor {
    /** Runs [action] once after [delayNs]. */
    public fun schedule(
        delayNs: Long,
        action: () -> Unit,
    )
}

/**
 * How requests are scheduled. Baselines for experiments turn off [separatesClasses], the separate queues of short and
 * long work, and [holdsSlotAfterFailure], the delayed release of slots after fast failures.
 */
public data class SchedulingPolicy(
    val selector: WorkerSelector,
    val separatesClasses: Boolean = true,
    val holdsSlotAfterFailure: Boolean = true,
)

/** A service of the configuration with its scheduler, run-time statistics and budgets. */
public class ServiceRuntime internal constructor(
    public val spec: ServiceSpec,
    public val scheduler: ServiceScheduler,
    public val classifier: RunTimeClassifier,
    public val retryBudget: RetryBudget,
    private val quotas: TeamQuotas,
    private val failureSlotHold: FailureSlotHold,
) {
    internal fun acquireQuota(
        team: String,
        nowNs: Long,
    ): Long = quotas.of(team)?.tryAcquire(nowNs) ?: 0

    internal fun releaseAfterFailure(
        slot: Slot,
        ranNs: Long,
    ) = failureSlotHold.release(slot, ranNs, classifier.meanNs())

    internal fun releaseAfterTimeout(slot: Slot) = failureSlotHold.release(slot, ranNs = 0, classifier.meanNs())

    internal fun withSpec(spec: ServiceSpec): ServiceRuntime =
        ServiceRuntime(spec, scheduler, classifier, retryBudget, quotas, failureSlotHold)
}

/** The quotas of all teams of the configuration in force. A quota keeps its state while its declaration is unchanged. */
internal class TeamQuotas {
    private class TeamState(
        val spec: TeamSpec,
        val quota: TeamQuota,
    )

    @Volatile
    private var states: Map<String, TeamState> = emptyMap()

    fun of(team: String): TeamQuota? = states[team]?.quota

    fun weightOf(team: String): Int = states[team]?.spec?.weight ?: 1

    fun update(teams: List<TeamSpec>) {
        val old = states
        states =
            teams.associate { spec ->
                val unchanged = old[spec.name]?.takeIf { it.spec == spec }
                spec.name to (unchanged ?: TeamState(spec, TeamQuota(spec.requestsPerSecond, spec.burstRequests)))
            }
    }
}

/**
 * Holds the slot of a failed request until the mean run time has passed, at most [MAX_HOLD_NS]. Without it, a worker that
 * fails fast looks idle and attracts most of the requests.
 */
internal class FailureSlotHold(
    private val isEnabled: Boolean,
    private val timer: DelayedExecutor,
) {
    fun release(
        slot: Slot,
        ranNs: Long,
        meanRunTimeNs: Long,
    ) {
        val remainingNs = meanRunTimeNs.coerceAtMost(MAX_HOLD_NS) - ranNs
        if (isEnabled && remainingNs > 0) timer.schedule(remainingNs) { slot.release() } else slot.release()
    }

    private companion object {
        const val MAX_HOLD_NS = 500 * NS_PER_MS
    }
}

/**
 * Maps paths to services, and keeps schedulers, worker states and quotas across changes of the routing table. Readers
 * take no lock; they use one volatile snapshot.
 */
public class ServiceDirectory(
    private val clock: Clock,
    private val policy: SchedulingPolicy = SchedulingPolicy(LeastLoadedOfTwo(clock)),
    private val healthLimits: HealthLimits = HealthLimits(),
    private val timer: DelayedExecutor,
    private val slotLimit: (WorkerRoute) -> Int = { it.slots },
) {
    private class Snapshot(
        val version: Long,
        val services: List<ServiceRuntime>,
    )

    private val workers = ConcurrentHashMap<String, WorkerState>()
    private val budgets = ConcurrentHashMap<String, EjectionBudget>()
    private val quotas = TeamQuotas()
    private val failureSlotHold = FailureSlotHold(policy.holdsSlotAfterFailure, timer)

    @Volatile
    private var snapshot = Snapshot(version = 0, services = emptyList())

    /** True once a configuration is in force; until then requests are refused as [Reason.NOT_READY]. */
    public val isReady: Boolean get() = snapshot.version > 0

    /** The services of the configuration in force. */
    public val services: List<ServiceRuntime> get() = snapshot.services

    /** The states of all routed workers, and of removed ones that still have requests. */
    public val workerStates: Collection<WorkerState> get() = workers.values

    /** The version of the configuration in force; 0 before the first one. */
    public val configurationVersion: Long get() = snapshot.version

    /** The service with the longest path prefix that matches [path], or null if none does. */
    public fun serviceFor(path: String): ServiceRuntime? = snapshot.services.firstOrNull { path.startsWithPathPrefix(it.spec.pathPrefix) }

    /** Replaces the routing table and the team quotas in force. Serialized. */
    @Synchronized
    public fun update(
        table: RoutingTable,
        teams: List<TeamSpec>,
    ) {
        quotas.update(teams)
        updateWorkerStates(table)
        val old = snapshot.services.associateBy { it.spec.name }
        val next = table.services.map { route -> runtimeFor(route, old[route.spec.name]) }
        snapshot = Snapshot(table.configurationVersion, next)
        next.zip(table.services).forEach { (runtime, route) -> runtime.scheduler.updateWorkers(workerSet(route)) }
    }

    /** For every service, reclassifies overdue short work as long and grants free slots to waiting requests. */
    public fun sweep() {
        for (runtime in snapshot.services) {
            runtime.scheduler.markOverdue(runtime.spec.shortRunTimeMs * NS_PER_MS)
            runtime.scheduler.grantWaiting()
        }
    }

    /** The number of requests that this entry has in flight on worker [workerId]. */
    public fun usedSlots(workerId: String): Int = workers[workerId]?.usedSlots ?: 0

    /** True if the table in force has no route to worker [workerId], so that this entry sends it no more requests. */
    public fun isClosed(workerId: String): Boolean = workers[workerId]?.isOpen != true

    private fun updateWorkerStates(table: RoutingTable) {
        val routes = table.services.flatMap { it.primary + it.spare }.associateBy { it.id }
        routes.values.groupBy { it.pool }.forEach { (pool, members) -> budgetOf(pool).resize(members.size) }
        routes.values.forEach { route -> stateOf(route).open(route) }
        workers.values.filter { it.route.id !in routes }.forEach { it.isOpen = false }
        workers.values
            .filter { it.route.id !in routes && it.usedSlots == 0 }
            .forEach { unused -> workers.remove(unused.route.id)?.health?.dispose() }
    }

    private fun stateOf(route: WorkerRoute): WorkerState =
        workers.computeIfAbsent(route.id) { WorkerState(route, WorkerHealth(healthLimits, budgetOf(route.pool)), slotLimit) }

    private fun budgetOf(pool: String): EjectionBudget = budgets.computeIfAbsent(pool) { EjectionBudget(healthLimits) }

    private fun workerSet(route: ServiceRoute): WorkerSet =
        WorkerSet(
            primary = route.primary.map(::stateOf),
            spare = route.spare.map(::stateOf),
        )

    private fun runtimeFor(
        route: ServiceRoute,
        old: ServiceRuntime?,
    ): ServiceRuntime {
        val isCompatible = old != null && old.spec.copy(routes = route.spec.routes) == route.spec
        return if (isCompatible) old.withSpec(route.spec) else newRuntime(route.spec)
    }

    private fun newRuntime(spec: ServiceSpec): ServiceRuntime {
        val classifier = RunTimeClassifier(spec.shortRunTimeMs * NS_PER_MS)
        val scheduler =
            ServiceScheduler(
                clock = clock,
                policy = AdmissionPolicy(spec.queueLimit, spec.longShare, separatesClasses = policy.separatesClasses),
                selector = policy.selector,
                classifier = classifier,
                weightOf = quotas::weightOf,
                onSlotReleased = ::grantWaitingInPool,
            )
        return ServiceRuntime(spec, scheduler, classifier, RetryBudget(), quotas, failureSlotHold)
    }

    private fun grantWaitingInPool(slot: Slot) {
        val pool = slot.worker.route.pool
        for (runtime in snapshot.services) {
            val usesPool = runtime.spec.pool == pool || runtime.spec.sparePool == pool
            if (usesPool && runtime.scheduler.waitingCount > 0) runtime.scheduler.grantWaiting()
        }
    }
}
