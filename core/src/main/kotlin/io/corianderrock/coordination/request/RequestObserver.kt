/*
 * Observers of request results, for metrics and error budgets.
 */
package io.corianderrock.coordination.request

import io.corianderrock.state.ServiceSpec

/** Combines two observers; this one is called before [other]. */
public operator fun RequestObserver.plus(other: RequestObserver): RequestObserver =
    RequestObserver { service, request, result, elapsedNs ->
        onFinished(service, request, result, elapsedNs)
        other.onFinished(service, request, result, elapsedNs)
    }

/** Called once for each request that matched a service, on its thread. Implementations must not block or throw. */
public fun interface RequestObserver {
    /** Called after [request] to [service] finished with [result]; [elapsedNs] is the time spent in the pipeline. */
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
