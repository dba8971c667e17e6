/*
 * Sends requests to upstreams and to entries of other data centres. Verifies that each response is complete and belongs
 * to its request.
 */
package io.corianderrock.transport

import io.corianderrock.coordination.request.AttemptResult
import io.corianderrock.coordination.request.EntryRequest
import io.corianderrock.coordination.request.Header
import io.corianderrock.coordination.request.Reason
import io.corianderrock.coordination.request.UpstreamClient
import io.corianderrock.coordination.request.UpstreamResponse
import io.corianderrock.protocol.contract.ContractHeaders
import io.corianderrock.protocol.contract.RequestOutcome
import okhttp3.Headers
import okhttp3.OkHttpClient
import okhttp3.Response
import okio.Buffer
import java.io.IOException
import java.io.InterruptedIOException
import java.util.concurrent.TimeUnit

/** Notified when an upstream announces in a response that it will shut down. */
public fun interface LeavingListener {
    /** Called on the requesting thread for each response of [host]:[port] that carries the leaving header. */
    public fun onLeaving(
        host: String,
        port: Int,
    )
}

/** An [UpstreamClient] on OkHttp. Adds [extraHeaders] to each request, replacing headers of the same name. */
public class OkHttpUpstreamClient(
    private val client: OkHttpClient,
    private val extraHeaders: List<Header> = emptyList(),
    private val onLeaving: LeavingListener = LeavingListener { _, _ -> },
) : UpstreamClient {
    override fun send(
        host: String,
        port: Int,
        request: EntryRequest,
        timeoutMs: Long,
        maxResponseBytes: Int,
    ): AttemptResult {
        val trace = CallTrace()
        val peer = "$host:$port"
        val outgoing = buildRequest("http://$peer${request.path}", request.method, headersOf(request, timeoutMs), request.body, trace)
        val call = client.newCall(outgoing)
        call.timeout().timeout(timeoutMs.coerceAtLeast(1), TimeUnit.MILLISECONDS)
        return try {
            call.execute().use { response -> checkResponse(response, request, trace, host, port, maxResponseBytes) }
        } catch (e: IOException) {
            failureResult(e, trace, peer)
        }
    }

    private fun checkResponse(
        response: Response,
        request: EntryRequest,
        trace: CallTrace,
        host: String,
        port: Int,
        maxResponseBytes: Int,
    ): AttemptResult {
        val peer = "$host:$port"
        if (response.header(ContractHeaders.LEAVING) != null) onLeaving.onLeaving(host, port)
        if (response.header(ContractHeaders.REQUEST_ID) != request.id) {
            trace.connection?.socket()?.close()
            return AttemptResult.Indeterminate(Reason.ANSWER_MISMATCHED, step = "receive", peer = peer)
        }
        val isFramed = response.header("Content-Length") != null || response.header("Transfer-Encoding") != null
        if (!isFramed && mayHaveBody(response, request)) {
            return AttemptResult.Indeterminate(Reason.ANSWER_INCOMPLETE, step = "receive", peer = peer)
        }
        val body =
            readBodyUpTo(response, maxResponseBytes)
                ?: return AttemptResult.Indeterminate(Reason.ANSWER_TOO_LARGE, step = "receive", peer = peer)
        return resultOf(response, body, peer)
    }

    private fun mayHaveBody(
        response: Response,
        request: EntryRequest,
    ): Boolean = request.method != "HEAD" && response.code != NO_CONTENT && response.code != NOT_MODIFIED

    private fun resultOf(
        response: Response,
        body: ByteArray,
        peer: String,
    ): AttemptResult =
        when (RequestOutcome.parse(response.header(ContractHeaders.OUTCOME))) {
            RequestOutcome.NOT_RUN -> AttemptResult.NotStarted(Reason.UPSTREAM_REFUSED, step = "answer", peer = peer)
            RequestOutcome.UNKNOWN -> AttemptResult.Indeterminate(Reason.UPSTREAM_FAILED, step = "answer", peer = peer)
            RequestOutcome.RAN, null -> AttemptResult.Responded(UpstreamResponse(response.code, endToEndHeaders(response.headers), body))
        }

    private fun readBodyUpTo(
        response: Response,
        maxBytes: Int,
    ): ByteArray? {
        val length = response.body.contentLength()
        if (length > maxBytes) return null
        val source = response.body.source()
        val buffer = Buffer()
        while (source.read(buffer, READ_CHUNK_BYTES) != -1L) {
            if (buffer.size > maxBytes) return null
        }
        return buffer.readByteArray()
    }

    private fun failureResult(
        error: IOException,
        trace: CallTrace,
        peer: String,
    ): AttemptResult {
        if (!trace.hasSentBytes) return AttemptResult.NotStarted(Reason.UPSTREAM_FAILED, step = "connect", peer = peer)
        val reason = if (error is InterruptedIOException) Reason.DEADLINE_PASSED else Reason.ANSWER_INCOMPLETE
        return AttemptResult.Indeterminate(reason, step = "exchange", peer = peer)
    }

    private fun headersOf(
        request: EntryRequest,
        timeoutMs: Long,
    ): Headers {
        val builder = Headers.Builder()
        for (header in request.headers) {
            if (header.name.lowercase() !in NOT_FORWARDED) builder.addUnsafeNonAscii(header.name, header.value)
        }
        builder[ContractHeaders.REQUEST_ID] = request.id
        builder[ContractHeaders.DEADLINE_MS] = timeoutMs.toString()
        if (builder["Accept-Encoding"] == null) builder["Accept-Encoding"] = "identity"
        extraHeaders.forEach { builder[it.name] = it.value }
        return builder.build()
    }

    private fun endToEndHeaders(headers: Headers): List<Header> =
        headers
            .filter { (name, _) -> name.lowercase() !in NOT_RETURNED }
            .map { (name, value) -> Header(name, value) }

    private companion object {
        const val READ_CHUNK_BYTES = 8_192L
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304

        val HOP_BY_HOP =
            setOf("connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length")
        val NOT_FORWARDED =
            HOP_BY_HOP + setOf("host", "expect", "request-id", "entry-hops", "entry-token")
        val NOT_RETURNED =
            HOP_BY_HOP + setOf("request-id", "outcome", "outcome-reason", "outcome-attempts", "worker-leaving", "date")
    }
}
