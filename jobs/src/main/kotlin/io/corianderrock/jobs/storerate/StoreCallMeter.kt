/*
 * Counts the calls to the store and logs when the store stops and starts again to serve reads or writes.
 */
package io.corianderrock.jobs.storerate

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.StoreRefusal

/** Sends every call at once. Confined to [loop]. */
public class StoreCallMeter(
    private val loop: EventLoop,
    private val log: DecisionLog,
    private val counter: StoreCallCounter,
) : StoreGate {
    private class Outage(
        val sinceMs: Long,
    ) {
        var lastFailureAtMs = sinceMs
        var refusedCount = 0
        var unansweredCount = 0
    }

    private val outages = HashMap<StoreCallKind, Outage>()

    override fun pass(
        call: StoreCall,
        withhold: (StoreRefusal) -> Unit,
        send: (onEnd: (StoreCallEnd) -> Unit) -> Unit,
    ): Unit = send { record(call, it) }

    internal fun record(
        call: StoreCall,
        end: StoreCallEnd,
    ) {
        counter.count(call, end)
        when (end) {
            is StoreCallEnd.Answered -> onAnswered(call.kind)
            is StoreCallEnd.Refused -> onFailed(call, end).refusedCount++
            is StoreCallEnd.Unanswered -> onFailed(call, end).unansweredCount++
            is StoreCallEnd.Withheld, is StoreCallEnd.ReadBack -> Unit
        }
    }

    private fun onFailed(
        call: StoreCall,
        end: StoreCallEnd,
    ): Outage {
        val outage =
            outages.getOrPut(call.kind) {
                log.write("store_unavailable", "kind", call.kind.label, "class", call.callClass.label, "outcome", end.label)
                Outage(loop.nowMs)
            }
        outage.lastFailureAtMs = loop.nowMs
        return outage
    }

    private fun onAnswered(kind: StoreCallKind) {
        val outage = outages[kind] ?: return
        if (loop.nowMs - outage.lastFailureAtMs < SETTLED_MS) return
        outages.remove(kind)
        log.write(
            "store_available",
            "kind",
            kind.label,
            "afterMs",
            loop.nowMs - outage.sinceMs,
            "refused",
            outage.refusedCount,
            "unanswered",
            outage.unansweredCount,
        )
    }

    private companion object {
        /** A store that loses some answers is logged once rather than at each of them. */
        const val SETTLED_MS = 500L
    }
}
