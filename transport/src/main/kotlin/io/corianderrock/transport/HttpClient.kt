/*
 * OkHttp client without automatic retries, and the request construction that its users share.
 */
package io.corianderrock.transport

import okhttp3.Call
import okhttp3.Connection
import okhttp3.ConnectionPool
import okhttp3.EventListener
import okhttp3.Headers
import okhttp3.OkHttpClient
import okhttp3.Protocol
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.RequestBody.Companion.toRequestBody
import java.util.concurrent.TimeUnit

/** Connection limits of an HTTP client. */
public data class ClientLimits(
    val connectTimeoutMs: Long = 500,
    val maxIdleConnections: Int = 512,
    val idleTimeoutMs: Long = 20_000,
)

/** Progress of one call; tells a request that was never sent from one that the peer may have received. */
internal class CallTrace {
    @Volatile
    var hasSentBytes: Boolean = false

    @Volatile
    var connection: Connection? = null
}

private object TraceListener : EventListener() {
    override fun connectionAcquired(
        call: Call,
        connection: Connection,
    ) {
        traceOf(call)?.connection = connection
    }

    override fun requestHeadersStart(call: Call) {
        traceOf(call)?.hasSentBytes = true
    }

    private fun traceOf(call: Call): CallTrace? = call.request().tag(CallTrace::class.java)
}

/** Creates an HTTP/1.1 client that sends each request once: no retries and no redirects. Calls set their own timeouts. */
public fun newHttpClient(limits: ClientLimits = ClientLimits()): OkHttpClient =
    OkHttpClient
        .Builder()
        .protocols(listOf(Protocol.HTTP_1_1))
        .connectTimeout(limits.connectTimeoutMs, TimeUnit.MILLISECONDS)
        .readTimeout(0, TimeUnit.MILLISECONDS)
        .writeTimeout(0, TimeUnit.MILLISECONDS)
        .connectionPool(ConnectionPool(limits.maxIdleConnections, limits.idleTimeoutMs, TimeUnit.MILLISECONDS))
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .followSslRedirects(false)
        .eventListener(TraceListener)
        .build()

/** Builds a request tagged with [trace]. GET and HEAD carry no body; other methods always do, even an empty one. */
internal fun buildRequest(
    url: String,
    method: String,
    headers: Headers,
    body: ByteArray,
    trace: CallTrace,
): Request =
    Request
        .Builder()
        .url(url)
        .headers(headers)
        .method(method, bodyOf(method, body))
        .tag(CallTrace::class.java, trace)
        .build()

private fun bodyOf(
    method: String,
    body: ByteArray,
): RequestBody? {
    val isBodiless = method == "GET" || method == "HEAD"
    return if (isBodiless) null else body.toRequestBody()
}
