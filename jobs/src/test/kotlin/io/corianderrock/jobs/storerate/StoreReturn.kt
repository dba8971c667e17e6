/*
 * A store with the platform's rates that comes back to many entries and their callers, and the calls that it then gets.
 * `StoreReturnKt ENTRIES KNOWN` prints them by second, with KNOWN entries in the directory of each; 0 for no budget.
 */
package io.corianderrock.jobs.storerate

import io.corianderrock.jobs.ports.StoreRefusal
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import kotlin.random.Random

private const val OUTAGE_MS = 3_000L
private const val READ_TIMEOUT_MS = 900L

internal fun main(arguments: Array<String>) {
    val (entryCount, knownCount) = arguments.map { it.toInt() }
    StoreReturn(entryCount, knownCount, seed = 1, isBudgeted = knownCount > 0).callsBySecond(seconds = 10).forEachIndexed {
        second,
        calls,
        ->
        println("$second $calls")
    }
}

/**
 * Each entry reads the owner row four times a second, as while the store is lost, and asks for two jobs and stores one job a second
 * for its callers and once more for each call that was withheld or refused, a second later. Like the entries of the platform it stores a
 * job once the store has answered a read for it.
 */
internal class StoreReturn(
    entryCount: Int,
    knownCount: Int,
    seed: Int,
    isBudgeted: Boolean = true,
) {
    /** Calls that reached the store in one second. */
    internal data class Calls(
        var ownershipReads: Int = 0,
        var ownershipRefused: Int = 0,
        var callersReads: Int = 0,
        var callersWrites: Int = 0,
        var refused: Int = 0,
    )

    private val time = SimTime()
    private val random = Random(seed)
    private val startMs = time.nowMs
    private val calls = HashMap<Long, Calls>()
    private val rates = StoreRates()

    /** The store's own buckets: a second of its rate. */
    private val carried =
        StoreCallKind.entries.associateWith { kind ->
            TokenBucket(SimLoop(time), { rates.perS(kind) }, { rates.perS(kind) })
        }

    init {
        repeat(entryCount) {
            val loop = SimLoop(time)
            val meter = StoreCallMeter(loop, { _, _ -> }) { _, _ -> }
            val gate = if (isBudgeted) StoreBudget(loop, rates, { knownCount }, meter, { _, _ -> }, Random(random.nextInt())) else meter
            every(250) { call(gate, StoreCall(StoreCallClass.OWNERSHIP, StoreCallKind.READ)) }
            every(500) { call(gate, StoreCall(StoreCallClass.CALLERS, StoreCallKind.READ)) }
            every(1_000) { store(gate) }
        }
    }

    /** By second after the return. */
    fun callsBySecond(seconds: Int): List<Calls> {
        time.runUntil(startMs + OUTAGE_MS + seconds * 1_000L)
        return (0L until seconds).map { calls[it] ?: Calls() }
    }

    private fun every(
        intervalMs: Long,
        action: () -> Unit,
    ) {
        fun next(delayMs: Long) {
            time.after(delayMs) {
                action()
                next(intervalMs)
            }
        }
        next(random.nextLong(intervalMs))
    }

    private fun store(gate: StoreGate) {
        val again = { time.after(1_000) { store(gate) } }
        call(gate, StoreCall(StoreCallClass.CALLERS, StoreCallKind.READ), again) {
            call(gate, StoreCall(StoreCallClass.CALLERS, StoreCallKind.WRITE), again)
        }
    }

    private fun call(
        gate: StoreGate,
        call: StoreCall,
        again: () -> Unit = { if (call.callClass == StoreCallClass.CALLERS) time.after(1_000) { call(gate, call) } },
        onAnswered: () -> Unit = {},
    ) {
        gate.pass(call, { again() }) { onEnd ->
            val atMs = time.nowMs - startMs - OUTAGE_MS
            val end = if (atMs < 0) StoreCallEnd.Unanswered else answer(call, calls.getOrPut(atMs / 1_000) { Calls() })
            time.after(if (end == StoreCallEnd.Unanswered) READ_TIMEOUT_MS else 4) {
                onEnd(end)
                if (end == StoreCallEnd.Answered) onAnswered() else again()
            }
        }
    }

    private fun answer(
        call: StoreCall,
        second: Calls,
    ): StoreCallEnd {
        val isRefused = !carried.getValue(call.kind).take()
        val isOwnership = call.callClass == StoreCallClass.OWNERSHIP
        when {
            isOwnership -> second.ownershipReads++
            call.kind == StoreCallKind.READ -> second.callersReads++
            else -> second.callersWrites++
        }
        if (isRefused) second.refused++
        if (isRefused && isOwnership) second.ownershipRefused++
        return if (isRefused) StoreCallEnd.Refused(StoreRefusal()) else StoreCallEnd.Answered
    }
}
