/*
 * Failed claims: the caller is told one reason for all of them, the observer which of them it was. Each test brings about one
 * failure.
 */
package io.corianderrock.coordination.claim

import io.corianderrock.coordination.ManualClock
import io.corianderrock.coordination.MemoryPlatform
import io.corianderrock.coordination.request.Reason
import io.corianderrock.coordination.request.UpstreamResponse
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

/** Two entries over one table. Entry `a` owns all ranges; claims are sent to entry `b`. */
private class TwoEntries {
    private val clock = ManualClock()
    private val memory = MemoryPlatform()
    private var nextId = 0
    private var isCommitting = true
    private var isAnswering = true

    /** Time from a call to its answer, or to the end of its connection if entry `a` does not answer. */
    var answerDelayMs = 0L
    val callTimeoutsMs = ArrayList<Long>()
    val failures = ArrayList<Pair<ClaimFailure, String>>()
    private val owner = newOwner("a")
    private val other = newOwner("b")
    private val claims = RoutedClaims(other, "b", Peers(), { it.run() }, clock) { failure, _, peer, _ -> failures += failure to peer }

    init {
        for (entry in listOf(owner, other)) entry.sendHeartbeat()
        owner.rebalance(CLAIM_RANGES)
        other.rebalance(0)
    }

    private fun newOwner(instance: String): ClaimOwner {
        lateinit var owner: ClaimOwner
        val wait =
            CommitWait { committed, _ ->
                if (isCommitting) owner.log.commitPending(waitMs = 0)
                committed.getNow(false)
            }
        val limits = ClaimLimits()
        val limiter = CommitRateLimiter(limits, clock) { clock.advanceMs(1) }
        owner = ClaimOwner(memory, clock, "process-$instance", instance, limits, { null }, { "id-${nextId++}" }, wait, limiter)
        return owner
    }

    /** Entry `a` releases all ranges, and entry `b` has not acquired them. */
    fun releaseRanges() = owner.rebalance(0)

    fun stopCommitting() {
        isCommitting = false
    }

    fun closeConnection() {
        isAnswering = false
    }

    fun scan() = other.rebalance(0)

    fun claim(): ClaimResult = claims.claim(ClaimRequest("key", "attempt-${nextId++}", isFirstSend = true, firstSentMs = null))

    private inner class Peers : PeerClaims {
        override fun claim(
            instance: String,
            request: ClaimRequest,
            timeoutMs: Long,
        ): ClaimDecision? {
            callTimeoutsMs += timeoutMs
            clock.advanceMs(minOf(answerDelayMs, timeoutMs))
            return if (isAnswering && answerDelayMs < timeoutMs) owner.claim(request) else null
        }

        override fun release(
            instance: String,
            key: String,
            attempt: String,
        ): Boolean = isAnswering

        override fun complete(
            instance: String,
            key: String,
            attempt: String,
            response: UpstreamResponse,
        ): Boolean = isAnswering
    }
}

private fun TwoEntries.failsWith(
    failure: ClaimFailure,
    peer: String,
) {
    val result = claim().shouldBeInstanceOf<ClaimResult.Unavailable>()
    result.reason shouldBe Reason.KEY_OWNER_UNREACHABLE
    failures shouldBe listOf(failure to peer)
}

class RoutedClaimsTest :
    DescribeSpec({
        // Guards against refusals of which the log does not tell the cause.
        describe("a claim at another entry") {
            it("is granted and reports no failure") {
                val entries = TwoEntries()
                entries.claim() shouldBe ClaimResult.Granted
                entries.failures shouldBe emptyList()
            }
            // Guards against claims refused on a busy machine: two calls of 600 ms each were given up before their answers came.
            it("is granted by an answer that comes within the time for all calls") {
                val entries = TwoEntries().apply { answerDelayMs = 1_100 }
                entries.claim() shouldBe ClaimResult.Granted
                entries.callTimeoutsMs shouldBe listOf(1_200L)
            }
            it("is sent again for the remaining time when the connection ends") {
                val entries = TwoEntries().apply { answerDelayMs = 500 }
                entries.closeConnection()
                entries.failsWith(ClaimFailure.NO_REPLY, "a")
                entries.callTimeoutsMs shouldBe listOf(1_200L, 700L)
            }
            it("fails after the time for all calls when the owner is silent") {
                val entries = TwoEntries().apply { answerDelayMs = 5_000 }
                entries.failsWith(ClaimFailure.NO_REPLY, "a")
                entries.callTimeoutsMs shouldBe listOf(1_200L)
            }
            it("fails for want of a reply when the connection is closed") {
                TwoEntries().apply { closeConnection() }.failsWith(ClaimFailure.NO_REPLY, "a")
            }
            it("fails at the former owner while the range moves") {
                TwoEntries().apply { releaseRanges() }.failsWith(ClaimFailure.NOT_OWNER, "a")
            }
            it("fails without an owner when the scan falls between release and acquisition") {
                val entries = TwoEntries()
                entries.releaseRanges()
                entries.scan()
                entries.failsWith(ClaimFailure.NO_OWNER, "")
            }
            it("fails when the owner does not commit it in time") {
                TwoEntries().apply { stopCommitting() }.failsWith(ClaimFailure.NOT_DURABLE, "a")
            }
        }
    })
