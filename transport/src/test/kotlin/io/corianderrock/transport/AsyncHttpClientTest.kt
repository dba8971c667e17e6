/*
 * Calls of the asynchronous HTTP client against servers that answer, refuse, stay silent or break off. Whether the request may
 * have been received decides whether it may be sent again.
 */
package io.corianderrock.transport

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import org.xnio.OptionMap
import org.xnio.Options
import org.xnio.Xnio
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import java.net.UnknownHostException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val OK_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

internal class AsyncHttpClientTest :
    DescribeSpec({
        val loop = ThreadEventLoop("client-test")
        val client = AsyncHttpClient(loop, ClientLimits(connectTimeoutMs = 300))
        afterSpec { loop.close() }

        describe("a server that answers") {
            it("gets later calls over the connection of the first") {
                RawServer { it.answer(OK_ANSWER) }.use { server ->
                    repeat(5) {
                        client
                            .call(server, "hello")
                            .shouldBeInstanceOf<HttpResult.Answer>()
                            .body
                            .decodeToString() shouldBe "ok"
                    }
                    server.connectionCount.get() shouldBe 1
                }
            }
            it("may send its answer in chunks") {
                val chunks = "HTTP/1.1 409 Conflict\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
                RawServer { it.answer(chunks) }.use { server ->
                    val answer = client.call(server, "hello").shouldBeInstanceOf<HttpResult.Answer>()
                    answer.status shouldBe 409
                    answer.body.decodeToString() shouldBe "abcdefg"
                }
            }
            it("gets a body that is larger than the buffers of the sockets, and sends one back") {
                val size = 3_000_000
                RawServer { request ->
                    request.answer("HTTP/1.1 200 OK\r\nContent-Length: $size\r\n\r\n" + "x".repeat(size))
                }.use { server ->
                    client
                        .call(server, "y".repeat(size), timeoutMs = 5_000)
                        .shouldBeInstanceOf<HttpResult.Answer>()
                        .body.size shouldBe size
                    server.requestSizes.single() shouldBe size
                }
            }
            it("gets no more connections than it accepts, and still all of the calls") {
                val answers = CopyOnWriteArrayList<HttpResult>()
                RawServer { request -> request.answer(OK_ANSWER, afterMs = 20) }.use { server ->
                    val results = List(300) { client.start(server, "hello", timeoutMs = 5_000) }
                    results.forEach { answers.add(it.get(6, TimeUnit.SECONDS)) }
                    answers.filterIsInstance<HttpResult.Answer>() shouldHaveSize 300
                    server.connectionCount.get() shouldBeLessThan 65
                }
            }
        }
        describe("an answer that arrives in parts, over longer than the time limit") {
            val parts = listOf("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n1", "2", "3", "4", "5", "6", "7", "8")

            // Guards against large configurations that a slow link never carries whole, as each attempt is ended and begun anew (CONFIG).
            it("is received whole if the call allows for its transfer") {
                RawServer { request -> parts.forEach { request.answer(it, afterMs = 100) } }.use { server ->
                    client
                        .call(server, "hello", timeoutMs = 400, transferMs = 4_000)
                        .shouldBeInstanceOf<HttpResult.Answer>()
                        .body
                        .decodeToString() shouldBe "12345678"
                }
            }
            it("ends the call otherwise, which says how much has arrived") {
                RawServer { request -> parts.forEach { request.answer(it, afterMs = 100) } }.use { server ->
                    val failed = client.call(server, "hello", timeoutMs = 400).shouldBeInstanceOf<HttpResult.Failed>()
                    failed.hasSentBytes shouldBe true
                    failed.reason shouldContain "bytes received"
                }
            }
            it("ends the call once a pause reaches the time limit, long before the end of the transfer time") {
                RawServer { request ->
                    parts.take(3).forEach { request.answer(it, afterMs = 100) }.also { request.waitForReset() }
                }.use { server ->
                    val startNs = System.nanoTime()
                    client.call(server, "hello", timeoutMs = 400, transferMs = 20_000).shouldBeInstanceOf<HttpResult.Failed>()
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs) shouldBeLessThan 10_000
                }
            }
            it("ends the call at the end of the transfer time, however many parts arrive") {
                RawServer { request ->
                    repeat(60) {
                        request.answer(
                            if (it ==
                                0
                            ) {
                                parts[0].replace("8", "80")
                            } else {
                                "x"
                            },
                            afterMs = 100,
                        )
                    }
                }.use { server ->
                    client.call(server, "hello", timeoutMs = 400, transferMs = 800).shouldBeInstanceOf<HttpResult.Failed>()
                }
            }
        }
        describe("a call to an address that is not valid") {
            // Guards against calls that wait out their time because a malformed row names the address.
            for (authority in listOf(
                "",
                "a b:80",
                "[::1",
                ":80",
                "127.0.0.1",
                "127.0.0.1:0",
                "127.0.0.1:65536",
                "127.0.0.1:99999999999",
                "user@127.0.0.1:80",
                "127.0.0.1:80\n",
                "127.1:80",
                "[fe80::1%eth0]:80",
                "x".repeat(5_000) + ":80",
            )) {
                it("fails at once without having been sent: '${authority.take(30).trim()}', ${authority.length} characters") {
                    val startNs = System.nanoTime()
                    val failed = client.call(authority, "hello", timeoutMs = 5_000).shouldBeInstanceOf<HttpResult.Failed>()
                    failed.hasSentBytes shouldBe false
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs) shouldBeLessThan 1_000
                    failed.reason shouldContain "is not a host and a port"
                }
            }
            it("does not take the connection of a call to a sound one") {
                RawServer { it.answer(OK_ANSWER) }.use { server ->
                    repeat(200) { client.call("[::1", "hello", timeoutMs = 200) }
                    client.call(server, "hello").shouldBeInstanceOf<HttpResult.Answer>()
                }
            }
        }
        describe("a host name whose look-up takes long") {
            // Guards against a name server that holds up the calls to all other hosts.
            it("delays only the calls to that host, which share one look-up and connect once it is over") {
                val canAnswer = CountDownLatch(1)
                val lookUps = AtomicInteger()
                val lookUp = { _: String ->
                    lookUps.incrementAndGet()
                    canAnswer.await()
                    InetAddress.getLoopbackAddress()
                }
                val named = AsyncHttpClient(loop, ClientLimits(connectTimeoutMs = 300), lookUp)
                RawServer { it.answer(OK_ANSWER) }.use { server ->
                    val calls = List(200) { named.start("worker.example:${server.port}", "hello", timeoutMs = 400) }
                    named.call(server, "hello").shouldBeInstanceOf<HttpResult.Answer>()
                    val results = calls.map { it.get(2, TimeUnit.SECONDS).shouldBeInstanceOf<HttpResult.Failed>() }
                    results.none { it.hasSentBytes } shouldBe true
                    lookUps.get() shouldBe 1
                    canAnswer.countDown()
                    named.call("worker.example:${server.port}", "hello").shouldBeInstanceOf<HttpResult.Answer>()
                }
            }
            it("makes the call fail where there is no such host") {
                val unknown = AsyncHttpClient(loop, ClientLimits(), lookUp = { throw UnknownHostException(it) })
                val failed = unknown.call("worker.example:80", "hello").shouldBeInstanceOf<HttpResult.Failed>()
                failed.hasSentBytes shouldBe false
                failed.reason shouldContain "look-up of worker.example failed"
            }
        }
        describe("a host that accepts no connection") {
            // Guards against attempts that were given up and keep the places of later calls, which then end without an attempt of their own.
            it("gets an attempt for each of more calls than it may have connections, and is reached once it accepts connections again") {
                ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { listener ->
                    val filling = fillQueue(listener)
                    val authority = "127.0.0.1:${listener.localPort}"
                    val given = List(200) { client.start(authority, "hello", timeoutMs = 20_000) }.map { it.get(30, TimeUnit.SECONDS) }
                    given.map { (it as HttpResult.Failed).reason }.filterNot { "no connection within 300 ms" in it }.shouldBeEmpty()
                    filling.forEach { _ -> listener.accept().close() }
                    // The system repeats an unanswered attempt every second at first, unless its socket was closed.
                    listener.soTimeout = 1_500
                    shouldThrow<SocketTimeoutException> { listener.accept() }
                    listener.soTimeout = 0
                    thread(isDaemon = true) { answerOnce(listener.accept()) }
                    client.call(authority, "hello", timeoutMs = 5_000).shouldBeInstanceOf<HttpResult.Answer>()
                    filling.forEach { it.close() }
                }
            }
        }
        describe("an I/O thread that was held up past a time limit") {
            // Guards against calls that fail although the peer was in time: due timers run before channels that are ready.
            it("takes the answer that has arrived meanwhile") {
                val isRead = CountDownLatch(1)
                val mayAnswer = CountDownLatch(1)
                val hasAnswered = CountDownLatch(1)
                RawServer {
                    isRead.countDown()
                    mayAnswer.await()
                    it.answer(OK_ANSWER)
                    hasAnswered.countDown()
                }.use { server ->
                    val fixture = HeldThread(server, ClientLimits(connectTimeoutMs = 3_000))
                    fixture.start(timeoutMs = 3_000)
                    isRead.await(5, TimeUnit.SECONDS) shouldBe true
                    fixture.holdUp {
                        mayAnswer.countDown()
                        hasAnswered.await(5, TimeUnit.SECONDS)
                        Thread.sleep(3_100)
                    }
                    fixture.result.get(5, TimeUnit.SECONDS).shouldBeInstanceOf<HttpResult.Answer>()
                }
            }
            it("takes the connection that has been made meanwhile") {
                RawServer { it.answer(OK_ANSWER) }.use { server ->
                    val fixture = HeldThread(server, ClientLimits(connectTimeoutMs = 100))
                    fixture.start(timeoutMs = 10_000, heldUpMs = 500)
                    fixture.result.get(15, TimeUnit.SECONDS).shouldBeInstanceOf<HttpResult.Answer>()
                }
            }

            // Guards against requests that are sent after their caller was to be told that they were not.
            it("sends no request after the time of the call, and keeps the connection for later ones") {
                RawServer { it.answer(OK_ANSWER) }.use { server ->
                    val fixture = HeldThread(server, ClientLimits(connectTimeoutMs = 100))
                    fixture.start(timeoutMs = 200, heldUpMs = 500)
                    val failed = fixture.result.get(15, TimeUnit.SECONDS).shouldBeInstanceOf<HttpResult.Failed>()
                    failed.hasSentBytes shouldBe false
                    server.requestSizes.shouldBeEmpty()
                    fixture.start(timeoutMs = 5_000)
                    fixture.result.get(15, TimeUnit.SECONDS).shouldBeInstanceOf<HttpResult.Answer>()
                    server.connectionCount.get() shouldBe 1
                }
            }
        }
        describe("an answer that is not valid") {
            // Guards against calls that wait out their time, and against memory filled by one answer.
            for (answer in listOf(
                "nonsense\r\n\r\n",
                "HTTP/1.1 abc OK\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 33000000\r\n\r\n" + "x".repeat(33_000_000),
            )) {
                it("makes the call fail at once, and later ones use another connection: ${answer.take(50).trim().lines()}") {
                    val attempts = AtomicInteger()
                    RawServer { it.answer(if (attempts.getAndIncrement() == 0) answer else OK_ANSWER) }.use { server ->
                        val startNs = System.nanoTime()
                        client.call(server, "hello", timeoutMs = 5_000).shouldBeInstanceOf<HttpResult.Failed>().hasSentBytes shouldBe true
                        TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs) shouldBeLessThan 4_000
                        client.call(server, "hello").shouldBeInstanceOf<HttpResult.Answer>()
                    }
                }
            }
        }
        describe("a header that cannot be sent as it is") {
            // Guards against header lines that another program's row adds to a request.
            for (value in listOf("a\nX-Other: 1", "a\r\n\r\n", "a\u0000", "\u00e9")) {
                it("makes the call fail at once: ${value.map { it.code }}") {
                    RawServer { it.answer(OK_ANSWER) }.use { server ->
                        val result = CompletableFuture<HttpResult>()
                        val url = "http://127.0.0.1:${server.port}/path"
                        client.send("POST", url, ByteArray(0), 1_000, mapOf("X-Name" to value)) { result.complete(it) }
                        result.get(3, TimeUnit.SECONDS).shouldBeInstanceOf<HttpResult.Failed>().hasSentBytes shouldBe false
                        server.connectionCount.get() shouldBe 0
                    }
                }
            }
        }
        describe("a call without an answer") {
            it("is known not to have been received where nothing listens") {
                val port = ServerSocket(0).use { it.localPort }
                val failed = client.call("127.0.0.1:$port", "hello").shouldBeInstanceOf<HttpResult.Failed>()
                failed.isRefused shouldBe true
                failed.hasSentBytes shouldBe false
            }
            it("may have been received where the server stays silent, and its connection is reset") {
                RawServer { it.waitForReset() }.use { server ->
                    val failed = client.call(server, "hello", timeoutMs = 200).shouldBeInstanceOf<HttpResult.Failed>()
                    failed.isRefused shouldBe false
                    failed.hasSentBytes shouldBe true
                    server.resetSeen.get(2, TimeUnit.SECONDS) shouldBe true
                }
            }
            it("may have been received where the server closes within its answer") {
                RawServer { it.answer("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nok", isLast = true) }.use { server ->
                    client.call(server, "hello").shouldBeInstanceOf<HttpResult.Failed>().hasSentBytes shouldBe true
                }
            }
            it("does not keep later calls from a server that is sound again") {
                val attempts = AtomicInteger()
                RawServer { if (attempts.getAndIncrement() == 0) it.waitForReset() else it.answer(OK_ANSWER) }.use { server ->
                    client.call(server, "hello", timeoutMs = 200).shouldBeInstanceOf<HttpResult.Failed>()
                    client.call(server, "hello").shouldBeInstanceOf<HttpResult.Answer>()
                }
            }
        }
        describe("a host whose open connections have gone silent while new ones work") {
            // Guards against an order that is repeated over one silent idle connection after the other (UNASKED, LOST).
            it("is reached by the third attempt, however many connections were idle") {
                val silentUpTo = AtomicInteger()
                RawServer { request ->
                    if (request.connectionNumber <= silentUpTo.get()) request.waitForReset() else request.answer(OK_ANSWER, afterMs = 50)
                }.use { server ->
                    List(8) { client.start(server, "stop", timeoutMs = 2_000) }.forEach { it.get(3, TimeUnit.SECONDS) }
                    server.connectionCount.get() shouldBe 8
                    silentUpTo.set(8)
                    var attempts = 1
                    while (client.call(server, "stop", timeoutMs = 200) is HttpResult.Failed) attempts++
                    attempts shouldBeLessThan 4
                }
            }
        }
    })

private fun AsyncHttpClient.start(
    server: RawServer,
    body: String,
    timeoutMs: Long,
): CompletableFuture<HttpResult> = start("127.0.0.1:${server.port}", body, timeoutMs)

private fun AsyncHttpClient.start(
    authority: String,
    body: String,
    timeoutMs: Long,
    transferMs: Long = 0,
): CompletableFuture<HttpResult> {
    val result = CompletableFuture<HttpResult>()
    send("POST", "http://$authority/path", body.toByteArray(), timeoutMs, transferMs = transferMs) { result.complete(it) }
    return result
}

private fun AsyncHttpClient.call(
    server: RawServer,
    body: String,
    timeoutMs: Long = 1_000,
    transferMs: Long = 0,
): HttpResult = call("127.0.0.1:${server.port}", body, timeoutMs, transferMs)

private fun AsyncHttpClient.call(
    authority: String,
    body: String,
    timeoutMs: Long = 1_000,
    transferMs: Long = 0,
): HttpResult = start(authority, body, timeoutMs, transferMs).get(timeoutMs + transferMs + 2_000, TimeUnit.MILLISECONDS)

/** Connects to [listener] until the system takes no more connections. Returns those that wait to be accepted. */
private fun fillQueue(listener: ServerSocket): List<Socket> {
    val filling = ArrayList<Socket>()
    while (true) {
        val socket = Socket()
        try {
            socket.connect(listener.localSocketAddress, 500)
            filling.add(socket)
        } catch (_: SocketTimeoutException) {
            socket.close()
            return filling
        }
    }
}

/** Calls to [server] over an I/O thread of their own, which the test can hold up. */
private class HeldThread(
    private val server: RawServer,
    limits: ClientLimits,
) {
    private val ioThread = Xnio.getInstance().createWorker(OptionMap.create(Options.THREAD_DAEMON, true)).ioThread
    private val timers = IoTimers(ioThread)
    private val target = checkNotNull(HostPort.parse("127.0.0.1:${server.port}"))
    private val connections =
        HostConnections(target, HostLookup(ioThread) { error("no name is looked up") }, ioThread, timers, limits)

    @Volatile
    var result = CompletableFuture<HttpResult>()
        private set

    /** Starts a call and holds the thread up for [heldUpMs] before it handles any event of its connection. */
    fun start(
        timeoutMs: Long,
        heldUpMs: Long = 0,
    ) {
        val ended = CompletableFuture<HttpResult>().also { result = it }
        val request = HttpCallRequest("POST", "127.0.0.1:${server.port}", "/path", emptyMap(), "hello".toByteArray())
        val call = HttpCall(request, timers) { ended.complete(it) }
        holdUp {
            call.startTimer(timeoutMs, transferMs = 0)
            connections.start(call)
            Thread.sleep(heldUpMs)
        }
    }

    fun holdUp(action: () -> Unit) = ioThread.execute(action)
}

private fun answerOnce(socket: Socket) =
    socket.use {
        it.inputStream.read(ByteArray(1_000))
        it.outputStream.write(OK_ANSWER.toByteArray())
    }

/** One request that a [RawServer] has read. */
private class RawRequest(
    private val server: RawServer,
    private val socket: Socket,
    /** Counted from 1 in the order of the connections. */
    val connectionNumber: Int,
) {
    var isConnectionOver = false
        private set

    fun answer(
        text: String,
        afterMs: Long = 0,
        isLast: Boolean = false,
    ) {
        if (afterMs > 0) Thread.sleep(afterMs)
        socket.outputStream.write(text.toByteArray())
        socket.outputStream.flush()
        isConnectionOver = isLast
    }

    fun waitForReset() {
        val isReset =
            try {
                socket.inputStream.read() >= 0
            } catch (e: IOException) {
                e.message?.contains("reset") == true
            }
        server.resetSeen.complete(isReset)
        isConnectionOver = true
    }
}

/** A server that reads whole requests and leaves the answer to [onRequest]. */
private class RawServer(
    private val onRequest: (RawRequest) -> Unit,
) : AutoCloseable {
    private val listener = ServerSocket(0, 400, InetAddress.getLoopbackAddress())
    val port: Int get() = listener.localPort
    val connectionCount = AtomicInteger()
    val requestSizes = CopyOnWriteArrayList<Int>()
    val resetSeen = CompletableFuture<Boolean>()

    init {
        thread(isDaemon = true) {
            try {
                while (true) listener.accept().let { socket -> thread(isDaemon = true) { serve(socket) } }
            } catch (_: IOException) {
                // The listener was closed at the end of the test.
            }
        }
    }

    private fun serve(socket: Socket) {
        val number = connectionCount.incrementAndGet()
        try {
            val input = socket.inputStream.buffered()
            while (true) {
                val lines = generateSequence { readLine(input) }.takeWhile { it.isNotEmpty() }.toList()
                if (lines.isEmpty()) break
                val size = lines.first { it.startsWith("Content-Length") }.substringAfter(": ").toInt()
                requestSizes.add(input.readNBytes(size).size)
                val request = RawRequest(this, socket, number)
                onRequest(request)
                if (request.isConnectionOver) break
            }
        } catch (_: IOException) {
            // The client has closed the connection.
        } finally {
            socket.close()
        }
    }

    private fun readLine(input: InputStream): String? {
        val line = StringBuilder()
        while (true) {
            val next = input.read()
            if (next < 0) return null
            if (next == '\n'.code) return line.toString().trimEnd('\r')
            line.append(next.toChar())
        }
    }

    override fun close() = listener.close()
}
