/*
 * What is known of instances: the platform's list, the rows that bind an instance to a pool, and what entries observe.
 */
package io.corianderrock.state

import kotlinx.serialization.Serializable

/** The role of an instance in the platform's list. */
@Serializable
public enum class InstanceRole { WORKER, ENTRY }

/** The platform's word on an instance. [GONE] is final: the id is never used again. */
@Serializable
public enum class ListedState { LIVE, LEAVING, GONE }

/** One row of the platform's instance list. The list lags behind the fleet. */
@Serializable
public data class ListedInstance(
    val id: String,
    val role: InstanceRole,
    val dataCentre: String,
    val rack: String,
    val host: String,
    val port: Int,
    val state: ListedState,
    val bootCount: Int = 0,
    val goneAtMs: Long = 0,
)

/** The phase of an instance within its pool. Only [ASSIGNED] instances receive new work; [RETIRED] ones are gone. */
@Serializable
public enum class InstancePhase {
    ASSIGNED,
    DRAINING,
    REBOOTING,
    VERIFYING,
    RETIRED,
    ;

    /** True when the instance counts against its pool's availability budget. */
    public val isUnavailable: Boolean get() = this != ASSIGNED && this != RETIRED
}

/**
 * Binds one instance to exactly one pool. [epoch] rises with every change of the row. [nextPool] is set while the
 * instance drains in order to move, [wave] names the run of a wave while it is maintained, [drainedBy] the operator who
 * keeps it out of service. [maintainedBy] is the run that last maintained it.
 */
@Serializable
public data class InstanceRow(
    val id: String,
    val dataCentre: String,
    val rack: String,
    val pool: String,
    val epoch: Long,
    val phase: InstancePhase,
    val nextPool: String? = null,
    val wave: String? = null,
    val bootCountBefore: Int = 0,
    val phaseSinceMs: Long = 0,
    val assignedSinceMs: Long = 0,
    val maintainedBy: String? = null,
    val drainedBy: String? = null,
)

/** An observation of a worker by an entry. A higher [version] from the same observer replaces a lower one. */
@Serializable
public data class WorkerObservation(
    val worker: String,
    val observer: String,
    val version: Long,
    val isLeaving: Boolean,
    val expiresAtMs: Long,
)

/** The last known fleet: listed instances, pool rows and observations. */
public data class FleetView(
    val listed: Map<String, ListedInstance> = emptyMap(),
    val rows: Map<String, InstanceRow> = emptyMap(),
    val observations: Map<String, WorkerObservation> = emptyMap(),
) {
    /** The workers that an observation in force at [nowMs] calls leaving. */
    public fun leavingWorkers(nowMs: Long): Set<String> =
        observations.values
            .filter { it.isLeaving && it.expiresAtMs > nowMs }
            .map { it.worker }
            .toSet()
}
