/*
 * HTTP server for http4k handlers on Undertow, with limits on body size, concurrent requests and idle time.
 */
package io.corianderrock.transport

import io.corianderrock.coordination.request.CallerConnection
import io.undertow.Undertow
import io.undertow.UndertowOptions
import io.undertow.server.HttpServerExchange
import io.undertow.server.protocol.http.HttpServerConnection
import io.undertow.util.HttpString
import org.http4k.core.Body
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.xnio.Options
import java.io.IOException
import java.net.BindException
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Listen address: an IP address and a port, where port 0 selects a free port. */
public data class ListenAddress(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"
}

/** Resource limits of an HTTP server. Requests beyond [maxConcurrentRequests] are rejected, not queued. */
public data class ServerLimits(
    val maxBodyBytes: Long = 1_048_576,
    val maxHeaderBytes: Int = 16_384,
    val maxConcurrentRequests: Int = 256,
    val ioThreads: Int = 2,
    val readTimeoutMs: Int = 10_000,
    val idleTimeoutMs: Int = 60_000,
)

/** Request handler with access to the connection of the caller. */
public fun interface ExchangeHandler {
    /** Returns the response to [request]. Runs on a worker thread; [caller] tells whether the client is still connected. */
    public fun handle(
        request: Request,
        caller: CallerConnection,
    ): Response
}

/** Header access for a rejected request, whose body is not available. */
public fun interface HeaderLookup {
    /** Returns the first value of the header [name], or null if the request has none. */
    public fun get(name: String): String?
}

/** Responses to requests that are rejected before the handler runs. */
public data class ServerRefusals(
    val overloaded: (HeaderLookup) -> Response = { Response(Status.SERVICE_UNAVAILABLE) },
    val bodyTooLarge: (HeaderLookup) -> Response = { Response(Status.REQUEST_ENTITY_TOO_LARGE) },
    val malformed: (HeaderLookup) -> Response = { Response(Status.BAD_REQUEST) },
)

/** Thrown when a server cannot bind its listen address. */
public class ListenException(
    address: ListenAddress,
    cause: Throwable,
) : Exception("cannot listen on $address: ${cause.message}; free the port or configure another one", cause)

/** A running HTTP server. */
public class HttpServer private constructor(
    private val undertow: Undertow,
    private val inFlight: AtomicInteger,
) : AutoCloseable {
    /** The bound port; differs from the configured one if that was 0. */
    public val port: Int get() = (undertow.listenerInfo.single().address as InetSocketAddress).port

    /** The number of requests that were passed to the handler and are not yet answered. */
    public val inFlightCount: Int get() = inFlight.get()

    /**
     * Waits up to [timeoutMs] milliseconds until no request is in flight, then closes the server with all its connections. Returns
     * the number of requests that were left without an answer. Blocks the calling thread.
     */
    public fun closeWhenIdle(timeoutMs: Long): Int {
        val deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs)
        awaitIdle(deadlineNs)
        undertow.listenerInfo.forEach { it.suspend() }
        // A connection that was accepted before may have a request on its way.
        TimeUnit.MILLISECONDS.sleep(LAST_REQUESTS_MS)
        awaitIdle(deadlineNs)
        val unfinishedCount = inFlightCount
        close()
        return unfinishedCount
    }

    private fun awaitIdle(deadlineNs: Long) {
        while (inFlightCount > 0 && System.nanoTime() < deadlineNs) TimeUnit.MILLISECONDS.sleep(IDLE_POLL_MS)
    }

    override fun close() {
        undertow.stop()
    }

    public companion object {
        /** Interval between checks for requests in flight. */
        private const val IDLE_POLL_MS = 10L

        /** How long a server that closes still reads from its connections. */
        private const val LAST_REQUESTS_MS = 50L

        /** Starts a server for an http4k [handler]. Throws [ListenException] if the address cannot be bound. */
        public fun start(
            address: ListenAddress,
            limits: ServerLimits = ServerLimits(),
            handler: HttpHandler,
        ): HttpServer = start(address, limits, ServerRefusals()) { request, _ -> handler(request) }

        /** Starts a server for [handler]. Throws [ListenException] if the address cannot be bound. */
        public fun start(
            address: ListenAddress,
            limits: ServerLimits,
            refusals: ServerRefusals,
            handler: ExchangeHandler,
        ): HttpServer {
            val inFlight = AtomicInteger()
            val adapter = ExchangeAdapter(handler, limits, refusals, inFlight)
            val undertow = build(address, limits, adapter)
            try {
                undertow.start()
            } catch (e: RuntimeException) {
                if (e.cause !is BindException) throw e
                throw ListenException(address, checkNotNull(e.cause))
            }
            return HttpServer(undertow, inFlight)
        }

        private fun build(
            address: ListenAddress,
            limits: ServerLimits,
            adapter: ExchangeAdapter,
        ): Undertow =
            Undertow
                .builder()
                .addHttpListener(address.port, address.host)
                .setIoThreads(limits.ioThreads)
                .setWorkerThreads(limits.maxConcurrentRequests)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, limits.maxBodyBytes)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeaderBytes)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, limits.idleTimeoutMs)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, limits.readTimeoutMs)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setSocketOption(Options.READ_TIMEOUT, limits.idleTimeoutMs)
                .setSocketOption(Options.TCP_NODELAY, true)
                .setHandler(adapter::onExchange)
                .build()
    }
}

private class ExchangeAdapter(
    private val handler: ExchangeHandler,
    private val limits: ServerLimits,
    private val refusals: ServerRefusals,
    private val inFlight: AtomicInteger,
) {
    fun onExchange(exchange: HttpServerExchange) {
        exchange.requestReceiver.setMaxBufferSize(limits.maxBodyBytes.toInt())
        exchange.requestReceiver.receiveFullBytes(
            { received, body -> onBody(received, body) },
            { received, _ -> respond(received, refusals.bodyTooLarge(headersOf(received)).header("Connection", "close")) },
        )
    }

    private fun onBody(
        exchange: HttpServerExchange,
        body: ByteArray,
    ) {
        val method = methodOf(exchange)
        if (method == null) {
            respond(exchange, refusals.malformed(headersOf(exchange)))
            return
        }
        if (inFlight.incrementAndGet() > limits.maxConcurrentRequests) {
            inFlight.decrementAndGet()
            respond(exchange, refusals.overloaded(headersOf(exchange)))
            return
        }
        if (isCountedUntilComplete(exchange)) exchange.dispatch(Runnable { handle(exchange, method, body) })
    }

    /**
     * Counts [exchange] as in flight until its response has been written, which may take longer than the handler, or its connection is
     * closed. False if that has happened already: the request is dropped, as nobody reads its answer.
     */
    private fun isCountedUntilComplete(exchange: HttpServerExchange): Boolean =
        try {
            exchange.addExchangeCompleteListener { _, next ->
                inFlight.decrementAndGet()
                next.proceed()
            }
            true
        } catch (_: IllegalStateException) {
            inFlight.decrementAndGet()
            false
        }

    private fun handle(
        exchange: HttpServerExchange,
        method: Method,
        body: ByteArray,
    ) {
        // The connection may have been closed since the request was read; nothing of it has begun.
        if (exchange.isComplete) return
        val response = handler.handle(requestOf(exchange, method, body), UndertowCallerConnection(exchange))
        respond(exchange, response)
    }

    private fun headersOf(exchange: HttpServerExchange): HeaderLookup = HeaderLookup { exchange.requestHeaders.getFirst(it) }

    private fun methodOf(exchange: HttpServerExchange): Method? =
        Method.entries.firstOrNull { it.name == exchange.requestMethod.toString() }

    private fun requestOf(
        exchange: HttpServerExchange,
        method: Method,
        body: ByteArray,
    ): Request {
        val query = exchange.queryString
        val target = if (query.isEmpty()) exchange.requestURI else exchange.requestURI + "?" + query
        val headers = ArrayList<Pair<String, String?>>()
        for (values in exchange.requestHeaders) {
            values.forEach { headers.add(values.headerName.toString() to it) }
        }
        return Request(method, target).headers(headers).body(Body(ByteBuffer.wrap(body)))
    }

    private fun respond(
        exchange: HttpServerExchange,
        response: Response,
    ) {
        exchange.statusCode = response.status.code
        for ((name, value) in response.headers) {
            if (value != null) exchange.responseHeaders.add(HttpString(name), value)
        }
        exchange.responseSender.send(response.body.payload.duplicate())
    }
}

/**
 * Detects that the client has closed the connection by reading one byte from it. This is safe because the request has
 * been read completely; a byte that was read belongs to the next request and is pushed back.
 */
private class UndertowCallerConnection(
    private val exchange: HttpServerExchange,
) : CallerConnection {
    private val readBuffer = ByteBuffer.allocate(1)

    @Volatile
    private var isClosed = false

    override fun isGone(): Boolean {
        if (isClosed) return true
        if (!exchange.connection.isOpen) return true
        isClosed = readsEndOfStream()
        return isClosed
    }

    private fun readsEndOfStream(): Boolean {
        val connection = exchange.connection as? HttpServerConnection ?: return false
        if (connection.extraBytes != null) return false
        readBuffer.clear()
        return try {
            when (connection.originalSourceConduit.read(readBuffer)) {
                -1 -> true
                0 -> false
                else -> unreadByte(connection)
            }
        } catch (_: IOException) {
            true
        }
    }

    private fun unreadByte(connection: HttpServerConnection): Boolean {
        val pooled = connection.byteBufferPool.allocate()
        readBuffer.flip()
        pooled.buffer.put(readBuffer).flip()
        connection.ungetRequestBytes(pooled)
        return false
    }
}
