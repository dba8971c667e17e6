/*
 * Calls to a peer that fail: the cause tells a closed connection from a peer that is slow and from one that is not known.
 */
package io.corianderrock.transport

import io.corianderrock.coordination.claim.ClaimRequest
import io.corianderrock.protocol.ClaimMessage
import io.corianderrock.protocol.ClaimReply
import io.corianderrock.protocol.ClaimResolutionMessage
import io.corianderrock.protocol.ConfigurationMessage
import io.corianderrock.protocol.DrainQuery
import io.corianderrock.protocol.DrainReply
import io.corianderrock.protocol.ObservationsMessage
import io.corianderrock.protocol.Secret
import io.corianderrock.protocol.SnapshotMessage
import io.corianderrock.protocol.SnapshotRequest
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import java.util.concurrent.CompletionStage
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private val REQUEST = ClaimRequest("key", "attempt", isFirstSend = true, firstSentMs = null)
private val TOKEN = Secret("peer-client-test")
private const val SHORT_TIMEOUT_MS = 100L
private const val LONG_TIMEOUT_MS = 10_000L
private const val POLL_INTERVAL_MS = 10L

/** Claims and their releases wait until [release] opens; other calls are not made. */
private class SlowPeer(
    private val release: CountDownLatch,
) : PeerService {
    override fun claim(message: ClaimMessage): CompletionStage<ClaimReply> {
        release.await()
        error("the call has ended")
    }

    override fun resolveClaim(message: ClaimResolutionMessage) = release.await()

    override fun configure(message: ConfigurationMessage) = error("not called")

    override fun snapshot(request: SnapshotRequest): SnapshotMessage = error("not called")

    override fun observe(message: ObservationsMessage) = error("not called")

    override fun drain(query: DrainQuery): DrainReply = error("not called")
}

internal class PeerClientTest :
    DescribeSpec({
        // Guards against first claims that are refused since the code on their way runs for the first time (key-owner-unreachable).
        describe("a connection") {
            fun connectsWithin(
                ms: Long,
                service: PeerService,
            ): Boolean =
                PeerServer.start(ListenAddress("127.0.0.1", 0), TOKEN, service).use { server ->
                    PeerClient({ "127.0.0.1:${server.port}" }, TOKEN, SHORT_TIMEOUT_MS).use { client ->
                        val endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms)
                        generateSequence { client.connect("entry") }
                            .onEach { if (!it) TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS) }
                            .takeWhile { System.nanoTime() < endNs }
                            .any { it }
                    }
                }

            it("can be used once the peer has answered a call") {
                connectsWithin(LONG_TIMEOUT_MS, SlowPeer(CountDownLatch(0))) shouldBe true
            }
            it("cannot be used while the peer accepts it and answers no call") {
                val release = CountDownLatch(1)
                connectsWithin(5 * SHORT_TIMEOUT_MS, SlowPeer(release)) shouldBe false
                release.countDown()
            }
        }

        // Guards against failed calls of which the log does not tell the cause.
        describe("a claim call that fails") {
            fun failureOf(
                timeoutMs: Long,
                address: String?,
            ): PeerCallFailure {
                val failures = ArrayList<PeerCallFailure>()
                PeerClient({ address }, TOKEN, onFailure = failures::add).use { it.claim("entry", REQUEST, timeoutMs).shouldBeNull() }
                return failures.single()
            }

            it("names an address that is not known") {
                failureOf(LONG_TIMEOUT_MS, address = null) shouldBe PeerCallFailure("entry", "Claim", "ADDRESS_UNKNOWN", tookMs = 0)
            }
            it("names a peer that does not answer in time") {
                val release = CountDownLatch(1)
                PeerServer.start(ListenAddress("127.0.0.1", 0), TOKEN, SlowPeer(release)).use { server ->
                    failureOf(SHORT_TIMEOUT_MS, "127.0.0.1:${server.port}").cause shouldStartWith "DEADLINE_EXCEEDED"
                    release.countDown()
                }
            }
            it("names a connection that is closed") {
                val server = PeerServer.start(ListenAddress("127.0.0.1", 0), TOKEN, SlowPeer(CountDownLatch(0)))
                val address = "127.0.0.1:${server.port}"
                server.close()
                failureOf(LONG_TIMEOUT_MS, address).cause shouldStartWith "UNAVAILABLE"
            }
        }
    })
