/*
 * Asynchronous HTTP calls that deliver their result on an event loop and report whether the request was sent.
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

/** Result of an HTTP call. */
public sealed interface HttpResult {
    /** A complete response, with any status code. */
    public class Answer(
        public val status: Int,
        public val body: ByteArray,
    ) : HttpResult

    /**
     * No complete response. The peer cannot have received the request unless [hasSentBytes] is set; [isRefused] means
     * that the connection was refused, so no process listens on the address.
     */
    public data class Failed(
        val reason: String,
        val hasSentBytes: Boolean,
        val isRefused: Boolean,
    ) : HttpResult
}

/** Sends HTTP requests without blocking and delivers their results on [loop]. */
public class AsyncHttpClient(
    private val loop: EventLoop,
    limits: ClientLimits = ClientLimits(),
) {
    private val client: OkHttpClient =
        newHttpClient(
            limits,
        ).newBuilder().dispatcher(newDispatcher()).socketFactory(ResetOnCloseSocketFactory).build()

    /** Sends one request, without retries. The call, from connect to last byte, takes at most [timeoutMs]; [onResult] runs on the loop. */
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
                ) = deliver(failure(e, trace))

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
    ): Headers = (if (method == "POST") headers + JSON_CONTENT_TYPE else headers).toHeaders()

    private fun read(
        response: Response,
        trace: CallTrace,
    ): HttpResult =
        try {
            response.use { HttpResult.Answer(it.code, it.body.bytes()) }
        } catch (e: IOException) {
            failure(e, trace)
        }

    private fun failure(
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
        val JSON_CONTENT_TYPE = mapOf("Content-Type" to "application/json")

        /** Allows for a long-polling list and two task requests to each of about 300 workers, plus the calls to the store. */
        const val MAX_REQUESTS = 1_000

        /** The number of connections that one worker accepts. */
        const val MAX_REQUESTS_PER_HOST = 64
    }
}

/**
 * Creates sockets that send a TCP reset on close (`SO_LINGER` of 0), which discards unsent data. Without it, a request
 * that timed out during a network partition could still be delivered after the partition heals.
 */
private object ResetOnCloseSocketFactory : SocketFactory() {
    private val delegate = getDefault()

    override fun createSocket(): Socket = withResetOnClose(delegate.createSocket())

    override fun createSocket(
        host: String,
        port: Int,
    ): Socket = withResetOnClose(delegate.createSocket(host, port))

    override fun createSocket(
        host: String,
        port: Int,
        localHost: InetAddress,
        localPort: Int,
    ): Socket = withResetOnClose(delegate.createSocket(host, port, localHost, localPort))

    override fun createSocket(
        host: InetAddress,
        port: Int,
    ): Socket = withResetOnClose(delegate.createSocket(host, port))

    override fun createSocket(
        address: InetAddress,
        port: Int,
        localAddress: InetAddress,
        localPort: Int,
    ): Socket = withResetOnClose(delegate.createSocket(address, port, localAddress, localPort))

    private fun withResetOnClose(socket: Socket): Socket = socket.apply { setSoLinger(true, 0) }
}
