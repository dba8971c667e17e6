/*
 * Claims that wait for their decision at the peer that owns their keys.
 */
package io.corianderrock.transport

import io.corianderrock.coordination.claim.ClaimDecision
import io.corianderrock.coordination.claim.ClaimRequest
import io.corianderrock.protocol.ClaimMessage
import io.corianderrock.protocol.ClaimReply
import io.corianderrock.protocol.ClaimReplyKind
import io.corianderrock.protocol.ClaimResolutionMessage
import io.corianderrock.protocol.ConfigurationMessage
import io.corianderrock.protocol.DrainQuery
import io.corianderrock.protocol.DrainReply
import io.corianderrock.protocol.ObservationsMessage
import io.corianderrock.protocol.Secret
import io.corianderrock.protocol.SnapshotMessage
import io.corianderrock.protocol.SnapshotRequest
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.Callable
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CompletionStage
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

private val TOKEN = Secret("peer-server-test")
private const val CALL_TIMEOUT_MS = 20_000L

/** Twice the threads of the server. */
private const val CLAIMS = 64

/** Claims are decided when [decision] completes; they are counted as they arrive. */
private class WaitingPeer : PeerService {
    val decision = CompletableFuture<ClaimReply>()
    val arrivals = CountDownLatch(CLAIMS)

    override fun claim(message: ClaimMessage): CompletionStage<ClaimReply> {
        arrivals.countDown()
        return decision
    }

    override fun resolveClaim(message: ClaimResolutionMessage) = Unit

    override fun configure(message: ConfigurationMessage) = error("not called")

    override fun snapshot(request: SnapshotRequest): SnapshotMessage = error("not called")

    override fun observe(message: ObservationsMessage) = error("not called")

    override fun drain(query: DrainQuery): DrainReply = error("not called")
}

internal class PeerServerTest :
    DescribeSpec({
        describe("claims that wait for their decision") {
            // Guards against waiting claims that hold all threads of the server, so that other calls get no reply (key-owner-unreachable).
            it("leave the threads of the server to other calls, and are answered once decided") {
                val peer = WaitingPeer()
                val callers = Executors.newFixedThreadPool(CLAIMS)
                PeerServer.start(ListenAddress("127.0.0.1", 0), TOKEN, peer).use { server ->
                    PeerClient({ "127.0.0.1:${server.port}" }, TOKEN, CALL_TIMEOUT_MS).use { client ->
                        val request = ClaimRequest("key", "attempt", isFirstSend = true, firstSentMs = null)
                        val claims = List(CLAIMS) { callers.submit(Callable { client.claim("entry", request, CALL_TIMEOUT_MS) }) }
                        peer.arrivals.await(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS) shouldBe true
                        client.release("entry", "other", "attempt") shouldBe true
                        peer.decision.complete(ClaimReply(ClaimReplyKind.GRANTED))
                        claims.map { it.get() }.toSet() shouldBe setOf(ClaimDecision.Granted)
                    }
                }
                callers.shutdown()
            }
            it("end with a failed call when the decision fails") {
                val peer = WaitingPeer()
                peer.decision.completeExceptionally(IllegalStateException("no decision"))
                val failures = ArrayList<PeerCallFailure>()
                PeerServer.start(ListenAddress("127.0.0.1", 0), TOKEN, peer).use { server ->
                    PeerClient({ "127.0.0.1:${server.port}" }, TOKEN, CALL_TIMEOUT_MS, failures::add).use { client ->
                        val request = ClaimRequest("key", "attempt", isFirstSend = true, firstSentMs = null)
                        client.claim("entry", request, CALL_TIMEOUT_MS) shouldBe null
                    }
                }
                failures.single().cause shouldBe "UNKNOWN"
            }
        }
    })
