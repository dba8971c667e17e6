/*
 * Forwarding of job requests between entries over HTTP: the entry that received a request sends it to the entry that
 * owns the scheduler.
 */
package io.corianderrock.transport

import io.corianderrock.jobs.accounts.JobAccess
import io.corianderrock.jobs.entry.CallerAnswer
import io.corianderrock.jobs.entry.JobRequest
import io.corianderrock.jobs.entry.SchedulerClient
import io.corianderrock.jobs.entry.SchedulerReply
import io.corianderrock.jobs.ownership.PeerDirectory
import io.corianderrock.jobs.ownership.PeerStatus
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.state.JobState
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.JobsConfiguration
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.http4k.core.Body
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.nio.ByteBuffer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicBoolean

@Serializable
internal enum class PeerJobRequestKind { SUBMIT, STATE, CANCEL, PENDING }

@Serializable
internal data class PeerJobRequest(
    val kind: PeerJobRequestKind,
    val id: String = "",
    val queueName: String = "",
    val submission: JobSubmission? = null,
    /** Absent from entries that know no accounts. */
    val access: JobAccess = JobAccess.ALL,
)

@Serializable
internal enum class PeerJobResponseKind { DONE, STATE, PENDING, UNKNOWN, NOT_DONE, UNCERTAIN, NOT_TAKEN, NOT_OWNER }

@Serializable
internal data class PeerJobResponse(
    val kind: PeerJobResponseKind,
    val state: JobState? = null,
    val count: Int = 0,
    val reason: String = "",
    val retryAfterMs: Long = 0,
    val attempt: Int? = null,
)

private val peerJson = Json { ignoreUnknownKeys = true }

private const val JOBS_PATH = "/peer/jobs"

/** Carries the address at which the sender serves its peers. */
internal const val PEER_ADDRESS_HEADER = "Corianderrock-Peer-Address"

/**
 * Forwards job requests to the entry that owns the scheduler, at the address that [ownerAddress] returns.
 *
 * [onConnectionRefused] receives that address when the connection is refused; [onNotOwner] runs when the entry answers that
 * it does not own the scheduler. Both run on the client's event loop, before the reply is delivered.
 */
public class PeerSchedulerClient(
    private val client: AsyncHttpClient,
    private val ownAddress: String,
    private val ownerAddress: () -> String?,
    private val onConnectionRefused: (String) -> Unit,
    private val onNotOwner: () -> Unit,
) : SchedulerClient {
    override fun ask(
        request: JobRequest,
        onReply: (SchedulerReply) -> Unit,
    ) {
        val address = ownerAddress()
        if (address == null) {
            onReply(SchedulerReply.NotHandled("no entry is known to own the scheduler", isNotOwner = true))
            return
        }
        val body = peerJson.encodeToString(PeerJobRequest.serializer(), encodeRequest(request)).toByteArray()
        client.send("POST", "http://$address$JOBS_PATH", body, PEER_TIMEOUT_MS, mapOf(PEER_ADDRESS_HEADER to ownAddress)) { result ->
            val reply = replyOf(result)
            if (reply is SchedulerReply.NotHandled && reply.isConnectionRefused) onConnectionRefused(address)
            if (reply is SchedulerReply.NotHandled && reply.isNotOwner) onNotOwner()
            onReply(reply)
        }
    }

    private fun encodeRequest(request: JobRequest): PeerJobRequest =
        when (request) {
            is JobRequest.Submit -> PeerJobRequest(PeerJobRequestKind.SUBMIT, submission = request.submission)
            is JobRequest.State -> PeerJobRequest(PeerJobRequestKind.STATE, request.id, request.queueName, access = request.access)
            is JobRequest.Cancel -> PeerJobRequest(PeerJobRequestKind.CANCEL, request.id, request.queueName, access = request.access)
            is JobRequest.Pending -> PeerJobRequest(PeerJobRequestKind.PENDING, queueName = request.queueName)
        }

    private fun replyOf(result: HttpResult): SchedulerReply =
        when (result) {
            is HttpResult.Failed ->
                if (result.hasSentBytes) {
                    SchedulerReply.Unanswered(result.reason)
                } else {
                    SchedulerReply.NotHandled(result.reason, isConnectionRefused = result.isRefused)
                }
            is HttpResult.Answer ->
                if (result.status in NOT_READ_STATUSES) SchedulerReply.NotHandled("status ${result.status}") else decode(result)
        }

    private fun decode(answer: HttpResult.Answer): SchedulerReply =
        try {
            replyOf(peerJson.decodeFromString(PeerJobResponse.serializer(), answer.body.decodeToString()))
        } catch (e: SerializationException) {
            SchedulerReply.Unanswered("status ${answer.status} with a body that cannot be decoded: ${e.message}")
        }

    private fun replyOf(answer: PeerJobResponse): SchedulerReply {
        val state = answer.state
        return when (answer.kind) {
            PeerJobResponseKind.DONE -> SchedulerReply.Answer(CallerAnswer.Applied)
            PeerJobResponseKind.STATE ->
                if (state == null) SchedulerReply.Unanswered("field state is missing") else SchedulerReply.Answer(CallerAnswer.State(state))
            PeerJobResponseKind.PENDING -> SchedulerReply.Answer(CallerAnswer.Pending(answer.count))
            PeerJobResponseKind.UNKNOWN -> SchedulerReply.Answer(CallerAnswer.NotFound)
            PeerJobResponseKind.NOT_DONE -> SchedulerReply.Answer(CallerAnswer.NotApplied(answer.reason, answer.retryAfterMs))
            PeerJobResponseKind.UNCERTAIN -> SchedulerReply.Unanswered(answer.reason)
            PeerJobResponseKind.NOT_TAKEN -> SchedulerReply.NotHandled(answer.reason, attempt = answer.attempt)
            PeerJobResponseKind.NOT_OWNER -> SchedulerReply.NotHandled(answer.reason, isNotOwner = true)
        }
    }

    private companion object {
        /** Leaves time to read the store within the caller's 3 s deadline if the scheduler does not answer. */
        const val PEER_TIMEOUT_MS = 1_000L

        /** Answers of a peer that has not passed the request to its scheduler: all that it has read, it answers with 200. */
        val NOT_READ_STATUSES = setOf(400, 404, 413, 503)
    }
}

/**
 * Serves peers: job requests from the scheduler of this process, questions about the owner and the version of the configuration
 * from [status], and the [configuration] itself, null while there is none.
 */
public class PeerJobsHandler(
    private val loop: EventLoop,
    private val scheduler: SchedulerClient,
    private val directory: PeerDirectory,
    private val status: () -> PeerStatus,
    private val configuration: () -> JobsConfiguration? = { null },
) {
    private val compressed = CompressedConfiguration()

    /**
     * Runs job requests on the event loop and blocks for the reply, so it must not be called on that loop. Responds with
     * 404 on another path and 400 on a body that cannot be decoded; all other results are encoded in a 200 response.
     */
    public fun handle(request: Request): Response {
        request.header(PEER_ADDRESS_HEADER)?.let(directory::add)
        return when (request.uri.path) {
            JOBS_PATH -> handleJob(request)
            STATUS_PATH -> Response(Status.OK).body(encodePeerStatus(status()))
            CONFIGURATION_PATH -> configuration()?.let { configurationResponse(request, it) } ?: Response(Status.NOT_FOUND)
            else -> Response(Status.NOT_FOUND)
        }
    }

    private fun configurationResponse(
        request: Request,
        configuration: JobsConfiguration,
    ): Response {
        val acceptsGzip = request.header(ACCEPT_ENCODING_HEADER)?.contains(GZIP) == true
        if (!acceptsGzip) return Response(Status.OK).body(encodePeerConfiguration(configuration))
        return Response(Status.OK).header("Content-Encoding", GZIP).body(Body(ByteBuffer.wrap(compressed.bytesOf(configuration))))
    }

    private fun handleJob(request: Request): Response {
        val jobRequest =
            try {
                decodeRequest(peerJson.decodeFromString(PeerJobRequest.serializer(), request.bodyString()))
            } catch (e: SerializationException) {
                return Response(Status.BAD_REQUEST).body(e.message.orEmpty())
            }
        if (jobRequest == null) return Response(Status.BAD_REQUEST).body("peer request of kind SUBMIT has no 'submission'")
        val reply = CompletableFuture<SchedulerReply>()
        val isDecided = AtomicBoolean()
        loop.post { if (isDecided.compareAndSet(false, true)) scheduler.ask(jobRequest) { reply.complete(it) } }
        val response =
            try {
                responseOf(reply.get(ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS))
            } catch (_: TimeoutException) {
                val hasBegun = !isDecided.compareAndSet(false, true)
                val kind = if (hasBegun) PeerJobResponseKind.UNCERTAIN else PeerJobResponseKind.NOT_TAKEN
                PeerJobResponse(kind, reason = "the scheduler did not answer within $ANSWER_TIMEOUT_MS ms")
            }
        return Response(Status.OK).body(peerJson.encodeToString(PeerJobResponse.serializer(), response))
    }

    private fun decodeRequest(message: PeerJobRequest): JobRequest? =
        when (message.kind) {
            PeerJobRequestKind.SUBMIT -> message.submission?.let(JobRequest::Submit)
            PeerJobRequestKind.STATE -> JobRequest.State(message.id, message.queueName, message.access)
            PeerJobRequestKind.CANCEL -> JobRequest.Cancel(message.id, message.queueName, message.access)
            PeerJobRequestKind.PENDING -> JobRequest.Pending(message.queueName)
        }

    private fun responseOf(reply: SchedulerReply): PeerJobResponse =
        when (reply) {
            is SchedulerReply.NotHandled ->
                PeerJobResponse(
                    if (reply.isNotOwner) PeerJobResponseKind.NOT_OWNER else PeerJobResponseKind.NOT_TAKEN,
                    reason = reply.reason,
                    attempt = reply.attempt,
                )
            is SchedulerReply.Unanswered -> PeerJobResponse(PeerJobResponseKind.UNCERTAIN, reason = reply.reason)
            is SchedulerReply.Answer -> responseOf(reply.answer)
        }

    private fun responseOf(answer: CallerAnswer): PeerJobResponse =
        when (answer) {
            is CallerAnswer.Applied -> PeerJobResponse(PeerJobResponseKind.DONE)
            is CallerAnswer.State -> PeerJobResponse(PeerJobResponseKind.STATE, state = answer.state)
            is CallerAnswer.Pending -> PeerJobResponse(PeerJobResponseKind.PENDING, count = answer.count)
            is CallerAnswer.NotFound -> PeerJobResponse(PeerJobResponseKind.UNKNOWN)
            is CallerAnswer.NotApplied ->
                PeerJobResponse(
                    PeerJobResponseKind.NOT_DONE,
                    reason = answer.reason,
                    retryAfterMs = answer.retryAfterMs,
                )
            is CallerAnswer.Uncertain -> PeerJobResponse(PeerJobResponseKind.UNCERTAIN, reason = answer.reason)
        }

    private companion object {
        /** Below the peer's timeout of 1,000 ms, so that the peer still receives the response. */
        const val ANSWER_TIMEOUT_MS = 900L
    }
}
