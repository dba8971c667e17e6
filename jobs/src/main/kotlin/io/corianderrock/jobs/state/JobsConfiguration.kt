/*
 * One immutable version of the configuration of queues and pools.
 */
package io.corianderrock.jobs.state

import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient

/** A queue and the requests that address it: those to [host] with a path that begins with [pathPrefix]. */
@Serializable
public data class QueueRoute(
    val host: String,
    val pathPrefix: String,
    val queue: Queue,
    /** True when calls on this route need no key; its jobs belong to no account. */
    val isPublic: Boolean = false,
)

/** A pool of instances that run the tasks of some queues. */
@Serializable
public data class Pool(
    val name: String,
    /** True for a pool whose instances are switched off and cost nothing. */
    val isStandby: Boolean = false,
    /** True when the workers refuse starts that exceed their capacity; other workers start every task they are sent. */
    val checksAdmission: Boolean = false,
)

/** One version of the configuration; a later one has a higher [version]. */
@Serializable
public data class JobsConfiguration(
    val version: Long,
    val routes: List<QueueRoute>,
    val pools: Map<String, Pool>,
    /** The client accounts by name; null where the deployment has none, so that no call needs a key. */
    val accounts: Map<String, ClientAccount>? = null,
) {
    @Transient
    private val routesByHost: Map<String, List<QueueRoute>> =
        routes.groupBy { it.host }.mapValues { (_, list) -> list.sortedByDescending { it.pathPrefix.length } }

    /** Returns the route at [host] with the longest [QueueRoute.pathPrefix] that [path] begins with, or null when none matches. */
    public fun route(
        host: String,
        path: String,
    ): QueueRoute? = routesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }
}

/** A maintenance wave: each of [instanceIds] undergoes maintenance within [durationS] seconds, at most [maxConcurrent] at once. */
public data class MaintenanceWave(
    val number: Int,
    val instanceIds: List<String>,
    val durationS: Double,
    val maxConcurrent: Int,
)
