/*
 * The declared configuration: the objects that operators name and that refer to one another by name.
 * Instances of these classes are immutable and carry no behaviour beyond look-ups.
 */
package io.corianderrock.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One whole set of declarations. All references are by name and are resolved within the set. */
@Serializable
public data class Declarations(
    @SerialName("pool") val pools: List<PoolSpec> = emptyList(),
    @SerialName("service") val services: List<ServiceSpec> = emptyList(),
    @SerialName("team") val teams: List<TeamSpec> = emptyList(),
    @SerialName("budget") val budgets: List<BudgetSpec> = emptyList(),
    @SerialName("wave") val waves: List<WaveSpec> = emptyList(),
) {
    /** Returns the pool called [name], or null when the set has none. */
    public fun poolNamed(name: String): PoolSpec? = pools.firstOrNull { it.name == name }

    /** Returns the budget that limits the unavailability of the pool called [pool], or null when it has none. */
    public fun budgetOf(pool: String): BudgetSpec? = budgets.firstOrNull { it.pool == pool }
}

/** A pool of workers. [workersPerDataCentre] is the size that the controller assigns in each data centre. */
@Serializable
public data class PoolSpec(
    val name: String,
    val workersPerDataCentre: Int,
    val slotsPerWorker: Int = 8,
    val connectionsPerWorker: Int = 64,
    val spare: Boolean = false,
)

/** A request service: which paths it serves, which pool runs it, and what its callers are promised. */
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

/** Overrides the idempotency that the HTTP method implies, for paths that start with [pathPrefix]. */
@Serializable
public data class RouteSpec(
    val pathPrefix: String,
    val idempotent: Boolean,
)

/** A calling team: its [weight] in the queue and its quota of [requestsPerSecond] with a burst of [burstRequests]. */
@Serializable
public data class TeamSpec(
    val name: String,
    val weight: Int = 1,
    val requestsPerSecond: Double = 1_000.0,
    val burstRequests: Int = 1_000,
)

/**
 * An availability budget: how many instances of [pool] may be out of service at once, planned and unplanned together.
 * Planned work leaves [failureReserve] of it to failures.
 */
@Serializable
public data class BudgetSpec(
    val name: String,
    val pool: String,
    val maxUnavailable: Int,
    val maxUnavailablePerDataCentre: Int,
    val failureReserve: Int = 0,
)

/** A maintenance wave over whole pools. It drains, reboots, verifies and returns each instance once. */
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
