/*
 * Covers a server that closes while callers keep sending. Guards against requests that stay counted as in flight for good: a stopping
 * process would wait for them until its grace period is over, and each takes one of the concurrent requests.
 */
package io.corianderrock.transport

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.IOException
import java.net.InetAddress
import java.net.Socket
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

/** Enough for requests to be read just while the connections are closed. */
private const val ROUNDS = 60
private const val CALLERS = 6
private const val SENDING_MS = 30L
private const val CLOSE_TIMEOUT_MS = 1_000L
private const val HOST = "127.0.0.1"

/** Sends requests on connections of their own to [port] until [isOver], without waiting for the whole answer. */
private fun sendUntil(
    isOver: AtomicBoolean,
    port: Int,
) {
    while (!isOver.get()) {
        try {
            Socket(InetAddress.getByName(HOST), port).use { socket ->
                socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())
                socket.getInputStream().read()
            }
        } catch (_: IOException) {
            // The server has closed the connection, as it does when it stops.
        }
    }
}

internal class HttpServerTest :
    DescribeSpec({
        describe("a server that closes while callers send requests on new connections") {
            it("counts no request as in flight afterwards") {
                repeat(ROUNDS) {
                    val server = HttpServer.start(ListenAddress(HOST, 0)) { Response(Status.OK) }
                    val isOver = AtomicBoolean()
                    val port = server.port
                    val callers = List(CALLERS) { thread { sendUntil(isOver, port) } }
                    Thread.sleep(SENDING_MS)
                    val unfinishedCount = server.closeWhenIdle(CLOSE_TIMEOUT_MS)
                    isOver.set(true)
                    callers.forEach { it.join() }
                    unfinishedCount shouldBe 0
                    server.inFlightCount shouldBe 0
                }
            }
        }
    })
