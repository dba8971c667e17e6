/*
 * The services of the configuration in force, with the state that outlives a configuration.
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
import io.corianderrock.state.startsWithSegment
import java.util.concurrent.ConcurrentHashMap

/** Runs an action after a delay; backed by a timer thread in the daemon and by hand in tests. */
public fun interface DelayedAction {
    /** Runs [action] once after [delayNs]. */
    public fun schedule(
        delayNs: Long,
        action: () -> Unit,
    )
}

/** How requests are scheduled; the baseline differs in both parts. */
public data class SchedulingPolicy(
    val selector: WorkerSelector,
    val separatesClasses: Boolean = true,
    val holdsSlotAfterFailure: Boolean = true,
)

/** One service as the path of a request sees it. */
public class ServiceRuntime internal constructor(
    public val spec: ServiceSpec,
    public val scheduler: ServiceScheduler,
    public val classifier: RunTimeClassifier,
    public val retryBudget: RetryBudget,
    private val quotas: TeamQuotas,
    private val failureHold: FailureHold,
) {
    internal fun takeQuota(
        team: String,
        nowNs: Long,
    ): Long = quotas.of(team)?.tryAcquire(nowNs) ?: 0

    internal fun releaseAfterFailure(
        slot: Slot,
        ranNs: Long,
    ) = failureHold.release(slot, ranNs, classifier.meanNs())

    internal fun releaseAfterTimeout(slot: Slot) = failureHold.release(slot, ranNs = 0, classifier.meanNs())

    internal fun with(spec: ServiceSpec): ServiceRuntime = ServiceRuntime(spec, scheduler, classifier, retryBudget, quotas, failureHold)
}

/** The quotas of all teams of the configuration in force. */
internal class TeamQuotas {
    private class Entry(
        val spec: TeamSpec,
        val quota: TeamQuota,
    )

    @Volatile
    private var entries: Map<String, Entry> = emptyMap()

    fun of(team: String): TeamQuota? = entries[team]?.quota

    fun weightOf(team: String): Int = entries[team]?.spec?.weight ?: 1

    fun update(teams: List<TeamSpec>) {
        val old = entries
        entries =
            teams.associate { spec ->
                val kept = old[spec.name]?.takeIf { it.spec == spec }
                spec.name to (kept ?: Entry(spec, TeamQuota(spec.requestsPerSecond, spec.burstRequests)))
            }
    }
}

/** Keeps the slot of a fast failure for the usual run time, so that failing fast attracts no work. */
internal class FailureHold(
    private val isOn: Boolean,
    private val timer: DelayedAction,
) {
    fun release(
        slot: Slot,
        ranNs: Long,
        usualNs: Long,
    ) {
        val remainingNs = usualNs.coerceAtMost(MAX_HOLD_NS) - ranNs
        if (isOn && remainingNs > 0) timer.schedule(remainingNs) { slot.release() } else slot.release()
    }

    private companion object {
        const val MAX_HOLD_NS = 500 * NS_PER_MS
    }
}

/**
 * Maps paths to services and keeps schedulers, worker states and quotas over changes of the routing table. Readers use
 * one volatile snapshot; [update] is called by one thread at a time.
 */
public class ServiceDirectory(
    private val clock: Clock,
    private val policy: SchedulingPolicy = SchedulingPolicy(LeastLoadedOfTwo(clock)),
    private val healthLimits: HealthLimits = HealthLimits(),
    private val timer: DelayedAction,
    private val slotLimit: (WorkerRoute) -> Int = { it.slots },
) {
    private class Snapshot(
        val version: Long,
        val services: List<ServiceRuntime>,
    )

    private val workers = ConcurrentHashMap<String, WorkerState>()
    private val budgets = ConcurrentHashMap<String, EjectionBudget>()
    private val quotas = TeamQuotas()
    private val failureHold = FailureHold(policy.holdsSlotAfterFailure, timer)

    @Volatile
    private var snapshot = Snapshot(version = 0, services = emptyList())

    /** True once a configuration is in force. */
    public val isReady: Boolean get() = snapshot.version > 0

    /** The services in force. */
    public val all: List<ServiceRuntime> get() = snapshot.services

    /** The states of all known workers. */
    public val workerStates: Collection<WorkerState> get() = workers.values

    /** The version of the configuration in force; 0 before the first. */
    public val configurationVersion: Long get() = snapshot.version

    /** Returns the service with the longest prefix of [path], or null when none matches. */
    public fun serviceFor(path: String): ServiceRuntime? = snapshot.services.firstOrNull { path.startsWithSegment(it.spec.pathPrefix) }

    /** Puts [table] and [teams] in force. */
    @Synchronized
    public fun update(
        table: RoutingTable,
        teams: List<TeamSpec>,
    ) {
        quotas.update(teams)
        retainWorkers(table)
        val old = snapshot.services.associateBy { it.spec.name }
        val next = table.services.map { route -> runtimeFor(route, old[route.spec.name]) }
        snapshot = Snapshot(table.configurationVersion, next)
        next.zip(table.services).forEach { (runtime, route) -> runtime.scheduler.updateWorkers(workerSet(route)) }
    }

    /** Hands free slots to waiting requests of every service and reclassifies overdue work. */
    public fun sweep() {
        for (runtime in snapshot.services) {
            runtime.scheduler.markOverdue(runtime.spec.shortRunTimeMs * NS_PER_MS)
            runtime.scheduler.grantWaiting()
        }
    }

    /** The number of requests of this entry that run on worker [workerId]. */
    public fun usedSlots(workerId: String): Int = workers[workerId]?.usedSlots ?: 0

    /** True when this entry can send no more work to worker [workerId] under the table in force. */
    public fun isClosed(workerId: String): Boolean = workers[workerId]?.isOpen != true

    private fun retainWorkers(table: RoutingTable) {
        val routes = table.services.flatMap { it.primary + it.spare }.associateBy { it.id }
        routes.values.groupBy { it.pool }.forEach { (pool, members) -> budgetOf(pool).resize(members.size) }
        routes.values.forEach { route -> stateOf(route).open(route) }
        workers.values.filter { it.route.id !in routes }.forEach { it.isOpen = false }
        workers.values
            .filter { it.route.id !in routes && it.usedSlots == 0 }
            .forEach { gone -> workers.remove(gone.route.id)?.health?.dispose() }
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
        return if (isCompatible) old.with(route.spec) else newRuntime(route.spec)
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
                onSlotReleased = ::drainOthers,
            )
        return ServiceRuntime(spec, scheduler, classifier, RetryBudget(), quotas, failureHold)
    }

    private fun drainOthers(slot: Slot) {
        val pool = slot.worker.route.pool
        for (runtime in snapshot.services) {
            val usesPool = runtime.spec.pool == pool || runtime.spec.sparePool == pool
            if (usesPool && runtime.scheduler.waitingCount > 0) runtime.scheduler.grantWaiting()
        }
    }
}
