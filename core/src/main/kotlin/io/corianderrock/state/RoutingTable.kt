/*
 * The routing table: an immutable snapshot derived from the configuration and the fleet view. Readers obtain it from
 * one atomic reference and take no lock.
 */
package io.corianderrock.state

/** A worker that may receive new work. */
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

/** One service with the workers that may serve it: [primary] first, [spare] when the primary pool is short. */
public data class ServiceRoute(
    val spec: ServiceSpec,
    val primary: List<WorkerRoute>,
    val spare: List<WorkerRoute>,
)

/** All services of a configuration version, with the longest path prefix first. */
public data class RoutingTable(
    val configurationVersion: Long,
    val services: List<ServiceRoute>,
)

/** True when this path equals [prefix] or continues it at a segment boundary. */
public fun String.startsWithSegment(prefix: String): Boolean =
    startsWith(prefix) && (length == prefix.length || prefix.endsWith("/") || this[prefix.length] == '/' || this[prefix.length] == '?')

/** Derives the routing table for entries of [dataCentre]; the most cautious of list, row and observation wins. */
public fun buildRoutingTable(
    configuration: Configuration,
    fleet: FleetView,
    dataCentre: String,
    nowMs: Long,
): RoutingTable {
    val byPool = usableWorkers(configuration.declarations, fleet, dataCentre, nowMs).groupBy { it.pool }
    val services =
        configuration.declarations.services.map { spec ->
            ServiceRoute(
                spec = spec,
                primary = byPool[spec.pool].orEmpty(),
                spare = spec.sparePool?.let { byPool[it] }.orEmpty(),
            )
        }
    return RoutingTable(
        configurationVersion = configuration.version,
        services = services.sortedByDescending { it.spec.pathPrefix.length },
    )
}

private fun usableWorkers(
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
