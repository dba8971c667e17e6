/*
 * Receives the result of every request, for metrics and burn counters.
 */
package io.corianderrock.coordination.request

import io.corianderrock.state.ServiceSpec

/** Returns an observer that reports to this one and then to [other]. */
public operator fun RequestObserver.plus(other: RequestObserver): RequestObserver =
    RequestObserver { service, request, result, elapsedNs ->
        onFinished(service, request, result, elapsedNs)
        other.onFinished(service, request, result, elapsedNs)
    }

/** Called once for each request that matched a service. Implementations return quickly and never throw. */
public fun interface RequestObserver {
    /** Reports [result] of [request] to [service], which took [elapsedNs]. */
    public fun onFinished(
        service: ServiceSpec,
        request: EntryRequest,
        result: EntryResult,
        elapsedNs: Long,
    )

    public companion object {
        /** Ignores every result. */
        public val NONE: RequestObserver = RequestObserver { _, _, _, _ -> }
    }
}
