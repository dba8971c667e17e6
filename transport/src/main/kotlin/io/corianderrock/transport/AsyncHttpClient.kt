/*
 * HTTP calls that report how far they got and deliver their result on an event loop.
 */
package io.corianderrock.transport

import io.corianderrock.jobs.ports.EventLoop
import okhttp3.Call
import okhttp3.Callback
import okhttp3.Dispatcher
import okhttp3.Headers
import okhttp3.Headers.Companion.toHeaders
import okhttp3.OkHttpClient
import okhttp3.Response
import java.io.IOException
import java.net.ConnectException
import java.net.InetAddress
import java.net.Socket
import java.util.concurrent.TimeUnit
import javax.net.SocketFactory

/** The result of one call. */
public sealed interface HttpResult {
    /** A whole answer. */
    public class Answer(
        public val status: Int,
        public val body: ByteArray,
    ) : HttpResult

    /** No whole answer. Without [hasSentBytes] nothing reached the peer; [isRefused] tells that nothing listens there. */
    public data class Failed(
        val reason: String,
        val hasSentBytes: Boolean,
        val isRefused: Boolean,
    ) : HttpResult
}

/** Sends calls without waiting for them. */
public class AsyncHttpClient(
    private val loop: EventLoop,
    limits: ClientLimits = ClientLimits(),
) {
    private val client: OkHttpClient =
        newHttpClient(
            limits,
        ).newBuilder().dispatcher(newDispatcher()).socketFactory(ResettingSocketFactory).build()

    /** Sends one call, once; [onResult] runs on the loop. The whole call takes at most [timeoutMs]. */
    public fun send(
        method: String,
        url: String,
        body: ByteArray,
        timeoutMs: Long,
        headers: Map<String, String> = emptyMap(),
        onResult: (HttpResult) -> Unit,
    ) {
        val trace = CallTrace()
        val call = client.newCall(buildRequest(url, method, headersOf(method, headers), body, trace))
        call.timeout().timeout(timeoutMs, TimeUnit.MILLISECONDS)
        call.enqueue(
            object : Callback {
                override fun onFailure(
                    call: Call,
                    e: IOException,
                ) = deliver(failed(e, trace))

                override fun onResponse(
                    call: Call,
                    response: Response,
                ) = deliver(read(response, trace))

                private fun deliver(result: HttpResult) = loop.post { onResult(result) }
            },
        )
    }

    private fun headersOf(
        method: String,
        headers: Map<String, String>,
    ): Headers = (if (method == "POST") headers + JSON_TYPE else headers).toHeaders()

    private fun read(
        response: Response,
        trace: CallTrace,
    ): HttpResult =
        try {
            response.use { HttpResult.Answer(it.code, it.body.bytes()) }
        } catch (e: IOException) {
            failed(e, trace)
        }

    private fun failed(
        e: IOException,
        trace: CallTrace,
    ): HttpResult {
        val isRefused = e is ConnectException && e.cause?.message?.contains("refused") == true
        return HttpResult.Failed(e.toString(), trace.hasSentBytes, isRefused)
    }

    private fun newDispatcher(): Dispatcher =
        Dispatcher().apply {
            maxRequests = MAX_REQUESTS
            maxRequestsPerHost = MAX_REQUESTS_PER_HOST
        }

    private companion object {
        val JSON_TYPE = mapOf("Content-Type" to "application/json")

        /** A waiting list and two orders for each of about 300 workers, and the calls to the store. */
        const val MAX_REQUESTS = 1_000

        /** Connections that one worker accepts. */
        const val MAX_REQUESTS_PER_HOST = 64
    }
}

/** Makes sockets that reset when closed, so that an order that was given up cannot arrive after a cut has healed. */
private object ResettingSocketFactory : SocketFactory() {
    private val plain = getDefault()

    override fun createSocket(): Socket = resetting(plain.createSocket())

    override fun createSocket(
        host: String,
        port: Int,
    ): Socket = resetting(plain.createSocket(host, port))

    override fun createSocket(
        host: String,
        port: Int,
        localHost: InetAddress,
        localPort: Int,
    ): Socket = resetting(plain.createSocket(host, port, localHost, localPort))

    override fun createSocket(
        host: InetAddress,
        port: Int,
    ): Socket = resetting(plain.createSocket(host, port))

    override fun createSocket(
        address: InetAddress,
        port: Int,
        localAddress: InetAddress,
        localPort: Int,
    ): Socket = resetting(plain.createSocket(address, port, localAddress, localPort))

    private fun resetting(socket: Socket): Socket = socket.apply { setSoLinger(true, 0) }
}
