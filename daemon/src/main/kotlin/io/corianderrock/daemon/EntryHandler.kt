/*
 * The HTTP interface for callers: converts requests for the pipeline, and its results to responses of the callers' contract.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.request.CallerConnection
import io.corianderrock.coordination.request.EntryRequest
import io.corianderrock.coordination.request.EntryResult
import io.corianderrock.coordination.request.Header
import io.corianderrock.coordination.request.Reason
import io.corianderrock.coordination.request.RequestPipeline
import io.corianderrock.protocol.Secret
import io.corianderrock.protocol.contract.ContractHeaders
import io.corianderrock.protocol.contract.OutcomeBody
import io.corianderrock.protocol.contract.httpStatusOf
import io.corianderrock.transport.ExchangeHandler
import io.corianderrock.transport.HeaderLookup
import io.corianderrock.transport.ServerRefusals
import kotlinx.serialization.json.Json
import org.http4k.core.Body
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.nio.ByteBuffer
import java.util.concurrent.atomic.AtomicLong

/**
 * Serves callers through [pipeline]. While [isLeaving], responses carry `Connection: close`; while [isStopping], new
 * requests are refused. The headers of a forwarded request (request id and hop count) count only with the peer token.
 */
public class EntryHandler(
    private val pipeline: RequestPipeline,
    private val clock: Clock,
    private val instanceId: String,
    private val peerToken: Secret,
    private val isLeaving: () -> Boolean,
    private val isStopping: () -> Boolean,
) : ExchangeHandler {
    private val sequence = AtomicLong()
    private val processId = java.lang.Long.toString(clock.wallMs(), ID_RADIX)

    override fun handle(
        request: Request,
        caller: CallerConnection,
    ): Response {
        val entryRequest = entryRequest(request, caller)
        val result = if (isStopping()) pipeline.refusalOrUnknown(entryRequest, STOPPING) else pipeline.handle(entryRequest)
        val response = response(entryRequest.id, result)
        return if (isLeaving()) response.header("Connection", "close") else response
    }

    private fun entryRequest(
        request: Request,
        caller: CallerConnection,
    ): EntryRequest {
        val isPeer = peerToken.matches(request.header(ContractHeaders.PEER_TOKEN))
        return EntryRequest(
            id = request.header(ContractHeaders.REQUEST_ID)?.takeIf { isPeer } ?: newRequestId(),
            method = request.method.name,
            path = request.uri.toString(),
            headers = request.headers.mapNotNull { (name, value) -> value?.let { Header(name, it) } },
            body = bytesOf(request),
            team = request.header(ContractHeaders.TEAM).orEmpty(),
            idempotencyKey = request.header(ContractHeaders.IDEMPOTENCY_KEY)?.take(MAX_IDEMPOTENCY_KEY_CHARS),
            isFirstSend = request.header(ContractHeaders.REQUEST_ATTEMPT) == FIRST_ATTEMPT,
            requestedTimeoutMs = request.header(ContractHeaders.DEADLINE_MS)?.toLongOrNull()?.coerceAtLeast(0),
            hops = if (isPeer) request.header(ContractHeaders.HOPS)?.toIntOrNull() ?: 0 else 0,
            receivedNs = clock.monotonicNs(),
            caller = caller,
        )
    }

    private fun newRequestId(): String = instanceId + "-" + processId + "-" + java.lang.Long.toString(sequence.incrementAndGet(), ID_RADIX)

    private fun bytesOf(request: Request): ByteArray {
        val payload = request.body.payload
        if (payload.hasArray() && payload.arrayOffset() == 0 && payload.array().size == payload.remaining()) return payload.array()
        return ByteArray(payload.remaining()).also { payload.duplicate().get(it) }
    }

    private fun response(
        requestId: String,
        result: EntryResult,
    ): Response =
        when (result) {
            is EntryResult.Ran -> ranResponse(requestId, result)
            is EntryResult.NotRun -> refusalResponse(result, requestId, result.reason, result.step, result.peer, result.retryAfterMs)
            is EntryResult.Unknown -> refusalResponse(result, requestId, result.reason, result.step, result.peer, retryAfterMs = null)
        }

    private fun ranResponse(
        requestId: String,
        result: EntryResult.Ran,
    ): Response =
        result.response.headers
            .fold(Response(httpStatus(result.response.status))) { response, header -> response.header(header.name, header.value) }
            .header(ContractHeaders.OUTCOME, outcomeOf(result).wireName)
            .header(ContractHeaders.ATTEMPTS, result.attempts.toString())
            .header(ContractHeaders.REQUEST_ID, requestId)
            .body(Body(ByteBuffer.wrap(result.response.body)))

    private companion object {
        const val ID_RADIX = 36
        const val MAX_IDEMPOTENCY_KEY_CHARS = 256
        const val STOPPING_RETRY_AFTER_MS = 100L
        val STOPPING = EntryResult.NotRun(Reason.STOPPING, STOPPING_RETRY_AFTER_MS, step = "receive")
    }
}

/** The responses to requests that the HTTP server refuses before the pipeline, in the form of the callers' contract. */
public fun callerRefusals(): ServerRefusals =
    ServerRefusals(
        overloaded = { serverRefusal(Reason.QUEUE_FULL, it) },
        bodyTooLarge = { serverRefusal(Reason.BODY_TOO_LARGE, it) },
        malformed = { serverRefusal(Reason.MALFORMED, it) },
    )

private fun serverRefusal(
    reason: Reason,
    headers: HeaderLookup,
): Response {
    val isFirstSend = headers.get(ContractHeaders.REQUEST_ATTEMPT) == FIRST_ATTEMPT
    val mayBeResend = headers.get(ContractHeaders.IDEMPOTENCY_KEY) != null && !isFirstSend
    val step = "receive"
    val result = if (mayBeResend) EntryResult.Unknown(reason, step) else EntryResult.NotRun(reason, SERVER_REFUSAL_RETRY_AFTER_MS, step)
    return refusalResponse(result, requestId = "", reason, step, peer = "", SERVER_REFUSAL_RETRY_AFTER_MS)
}

private fun refusalResponse(
    result: EntryResult,
    requestId: String,
    reason: Reason,
    step: String,
    peer: String,
    retryAfterMs: Long?,
): Response {
    val outcome = outcomeOf(result).wireName
    val body = OutcomeBody(outcome, reason.wireName, step, peer, requestId, retryAfterMs)
    val response =
        Response(httpStatus(httpStatusOf(result)))
            .header(ContractHeaders.OUTCOME, outcome)
            .header(ContractHeaders.REASON, reason.wireName)
            .header(ContractHeaders.REQUEST_ID, requestId)
            .header("Content-Type", "application/json")
            .body(Json.encodeToString(OutcomeBody.serializer(), body))
    if (retryAfterMs == null) return response
    return response
        .header(ContractHeaders.RETRY_AFTER_MS, retryAfterMs.toString())
        .header("Retry-After", ((retryAfterMs + MS_PER_SECOND - 1) / MS_PER_SECOND).toString())
}

private fun httpStatus(code: Int): Status = Status(code, "")

private const val FIRST_ATTEMPT = "1"
private const val MS_PER_SECOND = 1_000L
private const val SERVER_REFUSAL_RETRY_AFTER_MS = 200L
