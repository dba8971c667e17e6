/*
 * The part of an entry's budget that concerns one kind of calls: a reserve that callers' calls cannot use, a share of the rest for
 * every call, and the calls that wait for it.
 */
package io.corianderrock.jobs.storerate

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.StoreRefusal
import kotlin.random.Random

/** A call that has not been sent. */
internal class WaitingCall(
    val call: StoreCall,
    val sinceMs: Long,
    val withhold: (StoreRefusal) -> Unit,
    val send: (onEnd: (StoreCallEnd) -> Unit) -> Unit,
)

/**
 * [totalPerS] is the rate that all entries share, [entryCount] how many these are; [onLevel] is told each change of the level.
 * Confined to [loop].
 */
internal class BudgetLane(
    private val kind: StoreCallKind,
    private val loop: EventLoop,
    private val totalPerS: Double,
    private val entryCount: () -> Int,
    private val log: DecisionLog,
    random: Random,
    private val onLevel: (Double) -> Unit,
) {
    private val level = RateLevel(loop)
    private val reservedPerS = totalPerS * RESERVED_SHARE
    private val reserve = TokenBucket(loop, { reservedPerS }, { maxOf(reservedPerS, MIN_BURST) })
    private val shared = TokenBucket(loop, { sharedPerS * level.value }, { maxOf(sharedPerS * BURST_S, MIN_BURST) * level.value })
    private val queues = StoreCallClass.entries.associateWith { ArrayDeque<WaitingCall>() }
    private var inFlightCount = 0

    /** Until when the store has asked to wait, and when it did so last. */
    private var refusedUntilMs = Long.MIN_VALUE / 2
    private var refusedAtMs = Long.MIN_VALUE / 2

    /** Pauses of what has no reserve after each refusal: with a call a second an entry learns too little for the level alone. */
    private val backoff = RetryBackoff(firstWindowMs = 500, longestWindowMs = LONGEST_BACKOFF_MS, random = random)
    private var backoffUntilMs = Long.MIN_VALUE / 2

    /** When the level was last lowered from the full rate, null while it is full, with the calls withheld since. */
    private var loweredSinceMs: Long? = null
    private var withheldCount = 0

    /** This entry's share of what the reserve leaves. */
    private val sharedPerS: Double get() = maxOf(MIN_RATE_PER_S, totalPerS * (1 - RESERVED_SHARE) / maxOf(1, entryCount()))

    val hasWaiting: Boolean get() = queues.values.any { it.isNotEmpty() }

    /** Takes what [call] needs to be sent now; false if that is not there, or if calls that go first are waiting. */
    fun take(call: StoreCall): Boolean {
        logIfRegained()
        val callClass = call.callClass
        return when {
            callClass != StoreCallClass.OWNERSHIP && queues.any { (other, queue) -> other <= callClass && queue.isNotEmpty() } -> false
            else -> takeReserve(callClass) || takeShared(call)
        }.also { if (it && call.isTimed) inFlightCount++ }
    }

    /** Half of the reserve is kept for the owner row. */
    private fun takeReserve(callClass: StoreCallClass): Boolean =
        when {
            callClass == StoreCallClass.OWNERSHIP ->
                loop.nowMs >= minOf(refusedUntilMs, refusedAtMs + LONGEST_OWNERSHIP_PAUSE_MS) && reserve.take()
            callClass == StoreCallClass.CALLERS -> false
            else -> loop.nowMs >= refusedUntilMs && reserve.take(kept = reservedPerS / 2)
        }

    private fun takeShared(call: StoreCall): Boolean =
        loop.nowMs >= maxOf(refusedUntilMs, backoffUntilMs) && (!call.isTimed || inFlightCount < maxInFlight) && shared.take()

    /** At the usual speed this never binds; while each call takes long, it keeps the calls that are waiting at the store few. */
    private val maxInFlight: Int get() = maxOf(1, (maxOf(MIN_IN_FLIGHT, sharedPerS * IN_FLIGHT_S) * level.value).toInt())

    /** Queues [waiting]; false if too many calls of its class wait already. */
    fun enqueue(waiting: WaitingCall): Boolean {
        val queue = queues.getValue(waiting.call.callClass)
        return queue.size < MAX_WAITING && queue.add(waiting)
    }

    /** Removes and returns the calls that have waited for too long. */
    fun expired(): List<WaitingCall> =
        queues.flatMap { (callClass, queue) ->
            val longestMs = if (callClass == StoreCallClass.CALLERS) CALLERS_WAIT_MS else WAIT_MS
            generateSequence { queue.firstOrNull()?.takeIf { loop.nowMs - it.sinceMs >= longestMs }?.also { queue.removeFirst() } }
        }

    /** Removes and returns the first call that can be sent, whose needs are taken; null if there is none. */
    fun takeNext(): WaitingCall? {
        val queue = queues.values.firstOrNull { it.isNotEmpty() } ?: return null
        val next = queue.removeFirst()
        if (takeReserve(next.call.callClass) || takeShared(next.call)) {
            if (next.call.isTimed) inFlightCount++
            return next
        }
        queue.addFirst(next)
        return null
    }

    /** When a call that cannot be sent now probably could be. */
    fun retryAfterMs(): Long {
        withheldCount++
        val waitingCount = queues.values.sumOf { it.size }
        val waitMs = maxOf(refusedUntilMs - loop.nowMs, backoffUntilMs - loop.nowMs, shared.waitMs(waitingCount + 1))
        return waitMs.coerceIn(1, LONGEST_RETRY_AFTER_MS)
    }

    fun onEnded(call: StoreCall) {
        if (call.isTimed) inFlightCount--
    }

    /** The store has refused a call, or answered one. */
    fun onRefused() {
        if (loop.nowMs >= backoffUntilMs) backoffUntilMs = loop.nowMs + backoff.nextDelayMs()
    }

    /**
     * Begins at the lowest level and after a random pause: nothing was sent for so long that the level tells nothing about the store,
     * and other entries have waited for as long.
     */
    fun restart() {
        level.lowerToFloor()
        onLevel(level.value)
        onRefused()
    }

    fun onAnswered() = backoff.reset()

    /** The store has asked to wait for [delayMs]. */
    fun pause(delayMs: Long) {
        refusedAtMs = loop.nowMs
        refusedUntilMs = maxOf(refusedUntilMs, loop.nowMs + minOf(delayMs, LONGEST_PAUSE_MS))
    }

    /** Lowers the level for [call], which was sent at [sentAtMs]; [cause] is logged if the level was full. */
    fun lower(
        call: StoreCall,
        sentAtMs: Long,
        floor: Double,
        cause: String,
    ) {
        logIfRegained()
        level.lower(sentAtMs, floor)
        onLevel(level.value)
        if (loweredSinceMs != null || level.isFull) return
        loweredSinceMs = loop.nowMs
        withheldCount = 0
        log.write(
            "store_budget_lowered",
            "kind",
            kind.label,
            "cause",
            cause,
            "class",
            call.callClass.label,
            "perS",
            (sharedPerS * level.value).toLong(),
            "entries",
            entryCount(),
        )
    }

    private fun logIfRegained() {
        val sinceMs = loweredSinceMs ?: return
        onLevel(level.value)
        if (!level.isFull) return
        loweredSinceMs = null
        log.write("store_budget_regained", "kind", kind.label, "afterMs", loop.nowMs - sinceMs, "withheld", withheldCount)
    }

    private companion object {
        /** Of 300 transactions a second in a part, 75: the owner sends at most 50, and all candidates together a few claims. */
        const val RESERVED_SHARE = 0.25

        /** A part refuses what would wait for over a second: the bursts of all entries together stay below that. */
        const val BURST_S = 1.0
        const val MIN_BURST = 4.0
        const val MIN_RATE_PER_S = 1.0

        /** Calls in flight at the full rate and 100 ms each, twenty times the usual duration. */
        const val IN_FLIGHT_S = 0.1
        const val MIN_IN_FLIGHT = 4.0

        /** Above what callers send to an entry within [CALLERS_WAIT_MS]. */
        const val MAX_WAITING = 64

        /** Callers of an entry that cannot be served are refused within 150 ms. */
        const val CALLERS_WAIT_MS = 100L

        /** Below the timeout of a read. */
        const val WAIT_MS = 500L

        /** An owner must be found within 1.5 s of the store's return, whatever delay the store has asked for before. */
        const val LONGEST_OWNERSHIP_PAUSE_MS = 1_000L

        /** The feed of the configuration must not stop for longer than a usual outage, whatever the store asks for. */
        const val LONGEST_PAUSE_MS = 10_000L
        const val LONGEST_BACKOFF_MS = 4_000L
        const val LONGEST_RETRY_AFTER_MS = 10_000L
    }
}
