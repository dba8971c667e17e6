/*
 * The budget of one entry for calls to the store. All entries share the rates of the store, so each keeps to its part of them and
 * reduces it while the store is overloaded; calls that keep or win the ownership have a reserve that no other call can use.
 */
package io.corianderrock.jobs.storerate

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.StoreRefusal
import kotlin.random.Random

/**
 * Sends a call at once while the budget lasts. Otherwise it waits for a bounded time, behind calls of more important classes, and
 * is withheld after that; calls of the ownership class never wait. [entryCount] is the number of known entries with this one.
 * Confined to [loop].
 */
public class StoreBudget(
    private val loop: EventLoop,
    rates: StoreRates,
    private val entryCount: () -> Int,
    private val meter: StoreCallMeter,
    log: DecisionLog,
    random: Random = Random.Default,
    onLevel: (StoreCallKind, Double) -> Unit = { _, _ -> },
) : StoreGate {
    private val slowMs = maxOf(LEAST_SLOW_MS, (rates.transactionMs * SLOW_TRANSACTIONS).toLong())
    private val lanes =
        StoreCallKind.entries.associateWith { kind ->
            BudgetLane(kind, loop, rates.perS(kind), ::knownEntryCount, log, random) { onLevel(kind, it) }
        }
    private val openWrites = OpenWrites(loop, slowMs, ::maxOpenWrites, log) { lanes.getValue(StoreCallKind.WRITE).restart() }
    private val partWritesPerS = rates.perS(StoreCallKind.WRITE)
    private var countedAtMs = Long.MIN_VALUE / 2
    private var lastEntryCount = 1
    private var isDrainScheduled = false

    override fun pass(
        call: StoreCall,
        withhold: (StoreRefusal) -> Unit,
        send: (onEnd: (StoreCallEnd) -> Unit) -> Unit,
    ) {
        val lane = lanes.getValue(call.kind)
        val waiting = WaitingCall(call, loop.nowMs, withhold, send)
        when {
            call.isCallersWrite && openWrites.isFull() -> withhold(waiting, openWrites.retryAfterMs())
            lane.take(call) -> start(waiting)
            call.callClass != StoreCallClass.OWNERSHIP && lane.enqueue(waiting) -> scheduleDrain()
            else -> withhold(waiting, lane.retryAfterMs())
        }
    }

    private fun start(waiting: WaitingCall) {
        val sentAtMs = loop.nowMs
        val write = if (waiting.call.kind == StoreCallKind.WRITE) openWrites.onSent() else null
        waiting.send { end ->
            write?.let { openWrites.onEnded(it, end) }
            if (end !is StoreCallEnd.ReadBack) {
                lanes.getValue(waiting.call.kind).onEnded(waiting.call)
                adapt(waiting.call, sentAtMs, end)
            }
            meter.record(waiting.call, end)
            drain()
        }
    }

    /** A refusal concerns calls of one kind; a store that is slow or does not answer is so for all. */
    private fun adapt(
        call: StoreCall,
        sentAtMs: Long,
        end: StoreCallEnd,
    ) {
        val lane = lanes.getValue(call.kind)
        if (end is StoreCallEnd.Answered) lane.onAnswered()
        when {
            end is StoreCallEnd.Refused -> {
                lane.onRefused()
                end.refusal.retryAfterMs?.let(lane::pause)
                lane.lower(call, sentAtMs, RateLevel.REFUSED_FLOOR, "refused")
            }
            end is StoreCallEnd.Unanswered -> lanes.values.forEach { it.lower(call, sentAtMs, RateLevel.REFUSED_FLOOR, "unanswered") }
            call.isTimed && loop.nowMs - sentAtMs >= slowMs ->
                lanes.values.forEach { it.lower(call, sentAtMs, RateLevel.SLOW_FLOOR, "slow") }
        }
    }

    private fun withhold(
        waiting: WaitingCall,
        retryAfterMs: Long,
    ) {
        meter.record(waiting.call, StoreCallEnd.Withheld)
        val refusal = StoreRefusal(retryAfterMs)
        loop.post { waiting.withhold(refusal) }
    }

    private fun drain() {
        for (lane in lanes.values) {
            if (!lane.hasWaiting) continue
            lane.expired().forEach { withhold(it, lane.retryAfterMs()) }
            generateSequence { lane.takeNext() }.forEach {
                if (it.call.isCallersWrite && openWrites.isFull()) {
                    lane.onEnded(it.call)
                    withhold(it, openWrites.retryAfterMs())
                } else {
                    start(it)
                }
            }
        }
        if (lanes.values.any { it.hasWaiting }) scheduleDrain()
    }

    private fun scheduleDrain() {
        if (isDrainScheduled) return
        isDrainScheduled = true
        loop.after(DRAIN_INTERVAL_MS) {
            isDrainScheduled = false
            drain()
        }
    }

    private val StoreCall.isCallersWrite: Boolean get() = callClass == StoreCallClass.CALLERS && kind == StoreCallKind.WRITE

    /** This entry's share of what the part carries in [MAX_BEHIND_S], the longest wait that it accepts itself, while it is slow. */
    private fun maxOpenWrites(): Int = maxOf(1, (partWritesPerS * MAX_BEHIND_S / SLOW_STORE_FACTOR / knownEntryCount()).toInt())

    private fun knownEntryCount(): Int {
        if (loop.nowMs - countedAtMs >= COUNT_INTERVAL_MS) {
            countedAtMs = loop.nowMs
            lastEntryCount = entryCount()
        }
        return lastEntryCount
    }

    private companion object {
        /** A call counts as slow from this duration on, and from [SLOW_TRANSACTIONS] times that of a transaction. */
        const val LEAST_SLOW_MS = 50L
        const val SLOW_TRANSACTIONS = 10

        const val MAX_BEHIND_S = 1.0

        /** How many times as long as usual a transaction takes while the store is slow: it may become so before open writes are carried out. */
        const val SLOW_STORE_FACTOR = 60

        const val DRAIN_INTERVAL_MS = 10L

        /** Entries come and go over seconds. */
        const val COUNT_INTERVAL_MS = 1_000L
    }
}
