/*
 * The configuration of queues and pools, as one immutable version.
 */
package io.corianderrock.jobs.state

/** A queue and the paths that select it. */
public data class QueueRoute(
    val host: String,
    val pathPrefix: String,
    val queue: Queue,
)

/** A pool of instances that run the tasks of some queues. */
public data class Pool(
    val name: String,
    /** Instances of a standby pool are switched off and cost nothing. */
    val isStandby: Boolean = false,
    /** Workers that check admission reject what does not fit; others start whatever they are told to. */
    val checksAdmission: Boolean = false,
)

/** One version of the configuration. Versions rise. */
public data class JobsConfiguration(
    val version: Long,
    val routes: List<QueueRoute>,
    val pools: Map<String, Pool>,
) {
    private val routesByHost: Map<String, List<QueueRoute>> =
        routes.groupBy { it.host }.mapValues { (_, list) -> list.sortedByDescending { it.pathPrefix.length } }

    /** Returns the route with the longest prefix of [path] at [host], or null. */
    public fun route(
        host: String,
        path: String,
    ): QueueRoute? = routesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }
}

/** A wave: each of [instanceIds] has its maintenance within [durationS], at most [maxConcurrent] at once. */
public data class MaintenanceWave(
    val number: Int,
    val instanceIds: List<String>,
    val durationS: Double,
    val maxConcurrent: Int,
)
