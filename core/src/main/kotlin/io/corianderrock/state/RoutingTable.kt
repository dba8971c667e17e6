/*
 * The routing table: an immutable snapshot derived from the configuration and the fleet view. Request threads read it
 * through an atomic reference, without a lock.
 */
package io.corianderrock.state

/** A worker that may receive new requests. [slots] and [connections] are the limits of its pool per worker. */
public data class WorkerRoute(
    val id: String,
    val dataCentre: String,
    val rack: String,
    val host: String,
    val port: Int,
    val pool: String,
    val slots: Int,
    val connections: Int,
    val epoch: Long,
)

/** A service and the workers that may serve it. [spare] workers are used when the [primary] pool lacks capacity. */
public data class ServiceRoute(
    val spec: ServiceSpec,
    val primary: List<WorkerRoute>,
    val spare: List<WorkerRoute>,
)

/** The services of a configuration version in order of descending path prefix length, so that the first match wins. */
public data class RoutingTable(
    val configurationVersion: Long,
    val services: List<ServiceRoute>,
)

/** Returns true if this path equals [prefix] or extends it at a segment boundary (`/`) or with a query (`?`). */
public fun String.startsWithPathPrefix(prefix: String): Boolean =
    startsWith(prefix) && (length == prefix.length || prefix.endsWith("/") || this[prefix.length] == '/' || this[prefix.length] == '?')

/**
 * Builds the routing table for the entries of [dataCentre]. A worker is included only if it is listed as live, its row
 * is assigned, and no observation valid at [nowMs] reports it as leaving.
 */
public fun buildRoutingTable(
    configuration: Configuration,
    fleet: FleetView,
    dataCentre: String,
    nowMs: Long,
): RoutingTable {
    val workersByPool = routableWorkers(configuration.declarations, fleet, dataCentre, nowMs).groupBy { it.pool }
    val services =
        configuration.declarations.services.map { spec ->
            ServiceRoute(
                spec = spec,
                primary = workersByPool[spec.pool].orEmpty(),
                spare = spec.sparePool?.let { workersByPool[it] }.orEmpty(),
            )
        }
    return RoutingTable(
        configurationVersion = configuration.version,
        services = services.sortedByDescending { it.spec.pathPrefix.length },
    )
}

private fun routableWorkers(
    declarations: Declarations,
    fleet: FleetView,
    dataCentre: String,
    nowMs: Long,
): List<WorkerRoute> {
    val leaving = fleet.leavingWorkers(nowMs)
    return fleet.rows.values
        .filter { it.dataCentre == dataCentre && it.phase == InstancePhase.ASSIGNED && it.id !in leaving }
        .sortedBy { it.id }
        .mapNotNull { row -> workerRoute(declarations, fleet, row) }
}

private fun workerRoute(
    declarations: Declarations,
    fleet: FleetView,
    row: InstanceRow,
): WorkerRoute? {
    val listed = fleet.listed[row.id] ?: return null
    val pool = declarations.poolNamed(row.pool) ?: return null
    if (listed.state != ListedState.LIVE) return null
    return WorkerRoute(
        id = row.id,
        dataCentre = row.dataCentre,
        rack = row.rack,
        host = listed.host,
        port = listed.port,
        pool = row.pool,
        slots = pool.slotsPerWorker,
        connections = pool.connectionsPerWorker,
        epoch = row.epoch,
    )
}
