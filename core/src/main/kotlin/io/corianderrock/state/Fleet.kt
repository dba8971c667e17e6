/*
 * The state of instances: the platform's instance list, the rows that assign instances to pools, and the observations
 * that entries exchange.
 */
package io.corianderrock.state

import kotlinx.serialization.Serializable

/** The role of an instance in the platform's list. */
@Serializable
public enum class InstanceRole { WORKER, ENTRY }

/** The lifecycle state of an instance in the platform's list. [GONE] is terminal: the id is never reused. */
@Serializable
public enum class ListedState { LIVE, LEAVING, GONE }

/**
 * An instance in the platform's list. The list is eventually consistent with the fleet. [bootCount] increases with each
 * reboot; [goneAtMs] is the wall-clock time of termination in milliseconds, or 0 if it is not known.
 */
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

/**
 * The phase of an instance within its pool. Only [ASSIGNED] instances receive new requests; [RETIRED] instances have
 * terminated.
 */
@Serializable
public enum class InstancePhase {
    ASSIGNED,
    DRAINING,
    REBOOTING,
    VERIFYING,
    RETIRED,
    ;

    /** True if an instance in this phase counts against the availability budget of its pool. */
    public val isUnavailable: Boolean get() = this != ASSIGNED && this != RETIRED
}

/**
 * The assignment of an instance to exactly one pool. [epoch] increases with every change of the row. [nextPool] is set
 * while the instance drains in order to move to that pool. [wave] is the id of the wave run that maintains the instance
 * now, [maintainedBy] of the one that did so last. [drainedBy] is the operator who drained the instance.
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

/**
 * An observation of a worker by an entry, valid until [expiresAtMs]. Of two observations by the same observer, the one
 * with the higher [version] replaces the other.
 */
@Serializable
public data class WorkerObservation(
    val worker: String,
    val observer: String,
    val version: Long,
    val isLeaving: Boolean,
    val expiresAtMs: Long,
)

/** A snapshot of the fleet: listed instances and assignment rows by instance id, and observations. */
public data class FleetView(
    val listed: Map<String, ListedInstance> = emptyMap(),
    val rows: Map<String, InstanceRow> = emptyMap(),
    val observations: Map<String, WorkerObservation> = emptyMap(),
) {
    /** Returns the ids of the workers that an observation still valid at [nowMs] reports as leaving. */
    public fun leavingWorkers(nowMs: Long): Set<String> =
        observations.values
            .filter { it.isLeaving && it.expiresAtMs > nowMs }
            .map { it.worker }
            .toSet()
}
