/*
 * One HTTP call on a connection of the asynchronous client.
 */
package io.corianderrock.transport

import io.undertow.client.ClientCallback
import io.undertow.client.ClientConnection
import io.undertow.client.ClientExchange
import io.undertow.client.ClientRequest
import io.undertow.util.Headers
import io.undertow.util.HttpString
import io.undertow.util.Protocols
import org.xnio.ChannelExceptionHandler
import org.xnio.ChannelListeners
import org.xnio.IoUtils
import org.xnio.channels.StreamSinkChannel
import org.xnio.channels.StreamSourceChannel
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit

internal class HttpCallRequest(
    val method: String,
    val authority: String,
    val path: String,
    val headers: Map<String, String>,
    val body: ByteArray,
)

/**
 * Confined to the thread of [timers]. [onResult] is called once, on that thread. Throws [IllegalArgumentException] if a header cannot be
 * sent as it is.
 */
internal class HttpCall(
    private val request: HttpCallRequest,
    private val timers: IoTimers,
    private val onResult: (HttpResult) -> Unit,
) {
    private var timer: IoTimer? = null
    private var endNs = Long.MAX_VALUE
    private var connection: ClientConnection? = null
    private var onReusable: (ClientConnection) -> Unit = {}
    private var onBroken: () -> Unit = {}
    private val received = ByteArrayOutputStream()
    private var receivedAtNs = 0L
    private val message = clientRequest()
    var isDone = false
        private set

    /** Called when the call ends before it has a connection. */
    var onAbandoned: () -> Unit = {}

    /**
     * Ends the call after [timeoutMs]. An answer of which parts arrive may take up to [transferMs] longer, as long as no pause between
     * them reaches [timeoutMs].
     */
    fun startTimer(
        timeoutMs: Long,
        transferMs: Long,
    ) {
        endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs)
        val transferEndNs = endNs + TimeUnit.MILLISECONDS.toNanos(transferMs)
        await(timeoutMs, timeoutMs, transferEndNs)
    }

    private fun await(
        delayMs: Long,
        timeoutMs: Long,
        transferEndNs: Long,
    ) {
        timer = timers.start(delayMs) { onTimer(timeoutMs, transferEndNs) }
    }

    private fun onTimer(
        timeoutMs: Long,
        transferEndNs: Long,
    ) {
        val nowNs = System.nanoTime()
        val pauseEndNs = receivedAtNs + TimeUnit.MILLISECONDS.toNanos(timeoutMs)
        val leftMs = if (received.size() == 0) 0 else TimeUnit.NANOSECONDS.toMillis(minOf(pauseEndNs - nowNs, transferEndNs - nowNs))
        if (leftMs > 0) {
            await(leftMs, timeoutMs, transferEndNs)
        } else {
            fail(IOException("no complete answer within $timeoutMs ms, ${received.size()} bytes received"))
        }
    }

    /** True if the call has ended. Ends it, as not sent, if it has no connection by the end of its time. */
    fun endIfLate(): Boolean {
        if (!isDone && System.nanoTime() - endNs >= 0) fail(IOException("no connection within the time limit"))
        return isDone
    }

    /** Sends the request on [chosen], which is passed to [onReusable] once the response is complete. [onBroken] is called if the call fails. */
    fun sendOn(
        chosen: ClientConnection,
        onReusable: (ClientConnection) -> Unit,
        onBroken: () -> Unit,
    ) {
        connection = chosen
        this.onReusable = onReusable
        this.onBroken = onBroken
        val onSending =
            callback { exchange ->
                exchange.setResponseListener(callback { read(it, it.responseChannel) })
                if (request.body.isNotEmpty()) write(exchange.requestChannel, ByteBuffer.wrap(request.body))
            }
        orFail { chosen.sendRequest(message, onSending) }
    }

    /** Ends the call with [exception], unless it has ended. The request may have been received once it had a connection. */
    fun fail(exception: IOException) {
        if (isDone) return
        val used = connection
        val isRefused = used == null && exception.message?.contains("refused") == true
        end(HttpResult.Failed(exception.toString(), hasSentBytes = used != null, isRefused = isRefused))
        if (used == null) {
            onAbandoned()
        } else {
            reset(used)
            onBroken()
        }
    }

    private fun end(result: HttpResult) {
        isDone = true
        timer?.cancel()
        onResult(result)
    }

    private fun clientRequest(): ClientRequest {
        val message =
            ClientRequest()
                .setMethod(HttpString(request.method))
                .setPath(request.path)
                .setProtocol(Protocols.HTTP_1_1)
        val fields = message.requestHeaders
        fields.put(Headers.HOST, request.authority)
        if (request.method == "POST") fields.put(Headers.CONTENT_TYPE, "application/json")
        if (request.method != "GET") fields.put(Headers.CONTENT_LENGTH, request.body.size.toString())
        for ((name, value) in request.headers) {
            require(value.all { it in ' '..'~' }) { "header $name has a character that is not printable ASCII" }
            fields.put(HttpString(name), value)
        }
        return message
    }

    private fun callback(onCompleted: (ClientExchange) -> Unit): ClientCallback<ClientExchange> =
        object : ClientCallback<ClientExchange> {
            override fun completed(exchange: ClientExchange) = orFail { onCompleted(exchange) }

            override fun failed(e: IOException) = fail(e)
        }

    private fun write(
        channel: StreamSinkChannel,
        body: ByteBuffer,
    ): Unit =
        orFail {
            while (body.hasRemaining()) {
                if (channel.write(body) > 0) continue
                channel.writeSetter.set { write(channel, body) }
                channel.resumeWrites()
                return@orFail
            }
            channel.shutdownWrites()
            if (!channel.flush()) flushLater(channel)
        }

    private fun flushLater(channel: StreamSinkChannel) {
        val onError = ChannelExceptionHandler<StreamSinkChannel> { _, e -> fail(e) }
        channel.writeSetter.set(ChannelListeners.flushingChannelListener(null, onError))
        channel.resumeWrites()
    }

    private fun read(
        exchange: ClientExchange,
        channel: StreamSourceChannel,
    ): Unit =
        orFail {
            val pooled = exchange.connection.bufferPool.allocate()
            pooled.use {
                val buffer = pooled.buffer
                while (true) {
                    buffer.clear()
                    val count = channel.read(buffer)
                    if (count < 0) break
                    if (count == 0) {
                        channel.readSetter.set { read(exchange, channel) }
                        channel.resumeReads()
                        return@orFail
                    }
                    if (received.size() + count > MAX_ANSWER_BYTES) throw IOException("the answer has more than $MAX_ANSWER_BYTES bytes")
                    received.write(buffer.array(), buffer.arrayOffset(), count)
                    receivedAtNs = System.nanoTime()
                }
            }
            complete(exchange)
        }

    private fun complete(exchange: ClientExchange) {
        if (isDone) return
        val response = exchange.response
        val retryAfterS =
            response.responseHeaders
                .getFirst(Headers.RETRY_AFTER)
                ?.trim()
                ?.toLongOrNull()
        val retryAfterMs = retryAfterS?.takeIf { it in 0..MAX_RETRY_AFTER_S }?.let(TimeUnit.SECONDS::toMillis)
        end(HttpResult.Answer(response.responseCode, received.toByteArray(), retryAfterMs))
        onReusable(exchange.connection)
    }

    private fun orFail(action: () -> Unit) {
        try {
            action()
        } catch (e: IOException) {
            fail(e)
        } catch (e: RuntimeException) {
            fail(IOException("unexpected failure: $e", e))
        }
    }

    private companion object {
        /** Many times the largest page of the store, 1 MB in Base64. */
        const val MAX_ANSWER_BYTES = 32_000_000

        /** Longer delays are taken for a fault of the peer. */
        const val MAX_RETRY_AFTER_S = 3_600L
    }
}

/** Resets [connection]. Its own `close` would send what is pending and wait for the peer, so the connection below is closed. */
internal fun reset(connection: ClientConnection) {
    try {
        if (connection.isOpen) IoUtils.safeClose(connection.performUpgrade())
    } catch (_: IOException) {
        IoUtils.safeClose(connection)
    } catch (_: RuntimeException) {
        IoUtils.safeClose(connection)
    }
}
