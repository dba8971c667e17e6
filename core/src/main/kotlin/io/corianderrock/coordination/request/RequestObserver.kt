/*
 * Receives the result of every request, for metrics and burn counters.
 */
package io.corianderrock.coordination.request

import io.corianderrock.state.ServiceSpec

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
