/*
 * The declarative configuration that operators submit. Objects refer to one another by name. All classes are immutable;
 * their only behaviour is lookup. Property names are the keys of the TOML files and of the JSON messages.
 */
package io.corianderrock.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A complete set of declarations. References between objects are resolved within the set. */
@Serializable
public data class Declarations(
    @SerialName("pool") val pools: List<PoolSpec> = emptyList(),
    @SerialName("service") val services: List<ServiceSpec> = emptyList(),
    @SerialName("team") val teams: List<TeamSpec> = emptyList(),
    @SerialName("budget") val budgets: List<BudgetSpec> = emptyList(),
    @SerialName("wave") val waves: List<WaveSpec> = emptyList(),
) {
    /** Returns the pool with the given [name], or null if none is declared. */
    public fun poolNamed(name: String): PoolSpec? = pools.firstOrNull { it.name == name }

    /** Returns the availability budget of the pool with the name [pool], or null if none is declared. */
    public fun budgetOf(pool: String): BudgetSpec? = budgets.firstOrNull { it.pool == pool }
}

/**
 * A pool of workers. The controller assigns [workersPerDataCentre] workers to it in each data centre. [slotsPerWorker]
 * is the limit of concurrent requests to one worker, shared by all entries; [connectionsPerWorker] is the declared
 * limit of connections. Only a pool with [spare] set may be the [ServiceSpec.sparePool] of a service.
 */
@Serializable
public data class PoolSpec(
    val name: String,
    val workersPerDataCentre: Int,
    val slotsPerWorker: Int = 8,
    val connectionsPerWorker: Int = 64,
    val spare: Boolean = false,
)

/**
 * A request service: the paths it serves, the pools that run it, its limits and its service level objectives.
 *
 * [shortRunTimeMs] is the run time above which a request counts as long-running, and [longShare] the largest fraction
 * of slots that long-running requests may hold. [queueLimit] bounds the waiting requests. [availabilityObjective] is a
 * fraction of requests.
 */
@Serializable
public data class ServiceSpec(
    val name: String,
    val pool: String,
    val sparePool: String? = null,
    val pathPrefix: String,
    val requestTimeoutMs: Long = 5_000,
    val shortRunTimeMs: Long = 100,
    val queueLimit: Int = 512,
    val longShare: Double = 0.5,
    val maxBodyBytes: Int = 1_048_576,
    val availabilityObjective: Double = 0.999,
    val latencyObjectiveMs: Long = 500,
    @SerialName("route") val routes: List<RouteSpec> = emptyList(),
)

/** Overrides, for paths under [pathPrefix], the idempotency that the HTTP method implies. */
@Serializable
public data class RouteSpec(
    val pathPrefix: String,
    val idempotent: Boolean,
)

/** A caller team: its [weight] in fair queueing and its quota of [requestsPerSecond] with bursts of [burstRequests]. */
@Serializable
public data class TeamSpec(
    val name: String,
    val weight: Int = 1,
    val requestsPerSecond: Double = 1_000.0,
    val burstRequests: Int = 1_000,
)

/**
 * An availability budget: the largest number of instances of [pool] that may be out of service at once, in total and
 * per data centre, counting both planned maintenance and failures. Planned maintenance leaves [failureReserve]
 * instances of the budget to failures.
 */
@Serializable
public data class BudgetSpec(
    val name: String,
    val pool: String,
    val maxUnavailable: Int,
    val maxUnavailablePerDataCentre: Int,
    val failureReserve: Int = 0,
)

/**
 * A rolling maintenance of whole [pools]: each instance is drained, rebooted, verified and returned to service once. It
 * begins with [canarySize] instances and stops once [stopAfterFailures] instances have failed.
 */
@Serializable
public data class WaveSpec(
    val name: String,
    val pools: List<String>,
    val canarySize: Int = 1,
    val stopAfterFailures: Int = 2,
    val drainTimeoutMs: Long = 60_000,
    val verifyTimeoutMs: Long = 120_000,
    val verifyPath: String = "/",
)
