/*
 * Covers the order in which entries repeat claims, the delays between them and the timer that starts them.
 */
package io.corianderrock.jobs.ownership

import io.corianderrock.jobs.storerate.RetryBackoff
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val EPOCH = 7L
private val ADDRESSES = List(5) { "entry-$it" }

private class Candidates {
    val time = SimTime()
    private val loop = SimLoop(time)
    val turns = ADDRESSES.associateWith { ClaimTurn(loop, it, Random(it.hashCode())) }

    /** The candidates that wait for none. */
    fun inFront(): List<String> = turns.filter { (_, turn) -> turn.candidateEpoch == EPOCH && turn.frontOf(EPOCH) == null }.keys.toList()

    fun tellEachOther() {
        for ((address, turn) in turns) {
            turns.filterKeys { it != address }.forEach { (_, peer) -> peer.onPeer(address, turn.candidateEpoch) }
        }
    }
}

internal class ClaimTurnTest :
    DescribeSpec({
        describe("candidates for an epoch that know each other") {
            // Guards against entries that all repeat the claim, or that all wait for another one.
            it("let exactly one repeat the claim") {
                val candidates = Candidates()
                candidates.turns.values.forEach { it.onRefused(EPOCH) }
                candidates.tellEachOther()
                candidates.inFront().size shouldBe 1
            }
            it("pass the turn on after three refusals, so that an entry which the store turns away does not keep it") {
                val candidates = Candidates()
                candidates.turns.values.forEach { it.onRefused(EPOCH) }
                candidates.tellEachOther()
                val first = candidates.inFront().single()
                repeat(2) { candidates.turns.getValue(first).onRefused(EPOCH) }
                candidates.tellEachOther()
                val second = candidates.inFront().single()
                (second == first) shouldBe false
            }
            it("stop waiting for one that has given no sign of life for 0.7 s") {
                val candidates = Candidates()
                candidates.turns.values.forEach { it.onRefused(EPOCH) }
                candidates.tellEachOther()
                candidates.time.runUntil(candidates.time.nowMs + 700)
                candidates.inFront() shouldContainExactly ADDRESSES
            }
            it("are none once the row has changed") {
                val candidates = Candidates()
                candidates.turns.values.forEach { it.onRefused(EPOCH) }
                candidates.turns.values.forEach { it.settle() }
                candidates.turns.values.forEach { it.candidateEpoch.shouldBeNull() }
            }
        }
        describe("a candidate that knows no other") {
            // Guards against entries that notice the free ownership later, find no candidate and all claim at once.
            it("does not stand back") {
                val turn = ClaimTurn(SimLoop(SimTime()), "entry", Random(1))
                repeat(10) { turn.onRefused(EPOCH) }
                turn.candidateEpoch shouldBe EPOCH
            }
        }
        describe("an entry that has not claimed yet") {
            it("waits for any candidate for the epoch, and for none of another epoch") {
                val time = SimTime()
                val turn = ClaimTurn(SimLoop(time), "entry", Random(1))
                turn.onPeer("peer", EPOCH)
                turn.frontOf(EPOCH) shouldBe "peer"
                turn.frontOf(EPOCH + 1).shouldBeNull()
                turn.onPeer("peer", null)
                turn.frontOf(EPOCH).shouldBeNull()
            }
        }
        describe("a back-off") {
            it("spreads each delay over a window that doubles up to its bound, above a minimum") {
                val delays = List(1_000) { seed -> RetryBackoff(100, 400, 50, Random(seed)).let { b -> List(4) { b.nextDelayMs() } } }
                for ((retry, windowMs) in listOf(100L, 200L, 400L, 400L).withIndex()) {
                    delays.forEach { it[retry].shouldBeInRange(50..50 + windowMs) }
                    // Full jitter uses the whole window: retries of entries that fail together would otherwise stay together.
                    delays.minOf { it[retry] }.shouldBeInRange(50..50 + windowMs / 50)
                    delays.maxOf { it[retry] }.shouldBeInRange(50 + windowMs * 49 / 50..50 + windowMs)
                }
            }
        }
        describe("a timer that is set from several places") {
            // Guards against chains of timers: each read of a vacant row started the next one, beside those of other reads.
            it("runs its action once, at the earliest of the times") {
                val time = SimTime()
                val startMs = time.nowMs
                val ranAtMs = ArrayList<Long>()
                val timer = EarliestTimer(SimLoop(time)) { ranAtMs.add(time.nowMs - startMs) }
                listOf(50L, 30L, 40L).forEach(timer::runAfter)
                time.runUntil(startMs + 100)
                timer.runAfter(20)
                time.runUntil(startMs + 200)
                ranAtMs shouldContainExactly listOf(30L, 120L)
            }
        }
    })
