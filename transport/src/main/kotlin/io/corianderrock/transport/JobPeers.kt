/*
 * Questions about jobs between entries, over HTTP: the entry that was asked passes them to the entry that schedules.
 */
package io.corianderrock.transport

import io.corianderrock.jobs.entry.CallerAnswer
import io.corianderrock.jobs.entry.JobRequest
import io.corianderrock.jobs.entry.SchedulerClient
import io.corianderrock.jobs.entry.SchedulerReply
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.state.JobState
import io.corianderrock.jobs.state.JobSubmission
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

@Serializable
internal enum class PeerQuestionKind { SUBMIT, STATE, CANCEL, PENDING }

@Serializable
internal data class PeerQuestion(
    val kind: PeerQuestionKind,
    val id: String = "",
    val queueName: String = "",
    val submission: JobSubmission? = null,
)

@Serializable
internal enum class PeerAnswerKind { DONE, STATE, PENDING, UNKNOWN, NOT_DONE, UNCERTAIN, NOT_TAKEN, NOT_OWNER }

@Serializable
internal data class PeerAnswer(
    val kind: PeerAnswerKind,
    val state: JobState? = null,
    val count: Int = 0,
    val reason: String = "",
    val retryAfterMs: Long = 0,
)

private val peerJson = Json { ignoreUnknownKeys = true }

private const val JOBS_PATH = "/peer/jobs"

/** Asks the scheduler at the address that [ownerAddress] returns. */
public class PeerScheduler(
    private val client: AsyncHttpClient,
    private val ownerAddress: () -> String?,
    private val onProcessGone: (String) -> Unit,
    private val onNotOwner: () -> Unit,
) : SchedulerClient {
    override fun ask(
        request: JobRequest,
        onReply: (SchedulerReply) -> Unit,
    ) {
        val address = ownerAddress()
        if (address == null) {
            onReply(SchedulerReply.NotHandled("no owner is known"))
            return
        }
        val body = peerJson.encodeToString(PeerQuestion.serializer(), questionOf(request)).toByteArray()
        client.send("POST", "http://$address$JOBS_PATH", body, PEER_TIMEOUT_MS) { result ->
            val reply = replyOf(result)
            if (reply is SchedulerReply.NotHandled && reply.isConnectionRefused) onProcessGone(address)
            if (reply is SchedulerReply.NotHandled && reply.isNotOwner) onNotOwner()
            onReply(reply)
        }
    }

    private fun questionOf(request: JobRequest): PeerQuestion =
        when (request) {
            is JobRequest.Submit -> PeerQuestion(PeerQuestionKind.SUBMIT, submission = request.submission)
            is JobRequest.State -> PeerQuestion(PeerQuestionKind.STATE, request.id, request.queueName)
            is JobRequest.Cancel -> PeerQuestion(PeerQuestionKind.CANCEL, request.id, request.queueName)
            is JobRequest.Pending -> PeerQuestion(PeerQuestionKind.PENDING, queueName = request.queueName)
        }

    private fun replyOf(result: HttpResult): SchedulerReply =
        when (result) {
            is HttpResult.Failed ->
                if (result.hasSentBytes) {
                    SchedulerReply.Unanswered(result.reason)
                } else {
                    SchedulerReply.NotHandled(result.reason, isConnectionRefused = result.isRefused)
                }
            is HttpResult.Answer -> decode(result)
        }

    private fun decode(answer: HttpResult.Answer): SchedulerReply =
        try {
            replyOf(peerJson.decodeFromString(PeerAnswer.serializer(), answer.body.decodeToString()))
        } catch (e: SerializationException) {
            SchedulerReply.Unanswered("status ${answer.status} with an unreadable body: ${e.message}")
        }

    private fun replyOf(answer: PeerAnswer): SchedulerReply {
        val state = answer.state
        return when (answer.kind) {
            PeerAnswerKind.DONE -> SchedulerReply.Answer(CallerAnswer.Applied)
            PeerAnswerKind.STATE ->
                if (state == null) SchedulerReply.Unanswered("a state is missing") else SchedulerReply.Answer(CallerAnswer.State(state))
            PeerAnswerKind.PENDING -> SchedulerReply.Answer(CallerAnswer.Pending(answer.count))
            PeerAnswerKind.UNKNOWN -> SchedulerReply.Answer(CallerAnswer.NotFound)
            PeerAnswerKind.NOT_DONE -> SchedulerReply.Answer(CallerAnswer.NotApplied(answer.reason, answer.retryAfterMs))
            PeerAnswerKind.UNCERTAIN -> SchedulerReply.Unanswered(answer.reason)
            PeerAnswerKind.NOT_TAKEN -> SchedulerReply.NotHandled(answer.reason)
            PeerAnswerKind.NOT_OWNER -> SchedulerReply.NotHandled(answer.reason, isNotOwner = true)
        }
    }

    private companion object {
        /** Longest wait for the scheduler; the store is asked in what is left of a caller's 3 s. */
        const val PEER_TIMEOUT_MS = 1_000L
    }
}

/** Answers the questions of peers out of the scheduler of this process. */
public class PeerJobsHandler(
    private val loop: EventLoop,
    private val scheduler: SchedulerClient,
) {
    /** Answers [request]. */
    public fun handle(request: Request): Response {
        if (request.uri.path != JOBS_PATH) return Response(Status.NOT_FOUND)
        val question =
            try {
                requestOf(peerJson.decodeFromString(PeerQuestion.serializer(), request.bodyString()))
            } catch (e: SerializationException) {
                return Response(Status.BAD_REQUEST).body(e.message.orEmpty())
            }
        if (question == null) return Response(Status.BAD_REQUEST).body("a submission is missing")
        val reply = CompletableFuture<SchedulerReply>()
        loop.post { scheduler.ask(question) { reply.complete(it) } }
        val answer =
            try {
                answerOf(reply.get(ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS))
            } catch (_: TimeoutException) {
                PeerAnswer(PeerAnswerKind.UNCERTAIN, reason = "the scheduler did not answer within $ANSWER_TIMEOUT_MS ms")
            }
        return Response(Status.OK).body(peerJson.encodeToString(PeerAnswer.serializer(), answer))
    }

    private fun requestOf(question: PeerQuestion): JobRequest? =
        when (question.kind) {
            PeerQuestionKind.SUBMIT -> question.submission?.let(JobRequest::Submit)
            PeerQuestionKind.STATE -> JobRequest.State(question.id, question.queueName)
            PeerQuestionKind.CANCEL -> JobRequest.Cancel(question.id, question.queueName)
            PeerQuestionKind.PENDING -> JobRequest.Pending(question.queueName)
        }

    private fun answerOf(reply: SchedulerReply): PeerAnswer =
        when (reply) {
            is SchedulerReply.NotHandled ->
                PeerAnswer(if (reply.isNotOwner) PeerAnswerKind.NOT_OWNER else PeerAnswerKind.NOT_TAKEN, reason = reply.reason)
            is SchedulerReply.Unanswered -> PeerAnswer(PeerAnswerKind.UNCERTAIN, reason = reply.reason)
            is SchedulerReply.Answer -> answerOf(reply.answer)
        }

    private fun answerOf(answer: CallerAnswer): PeerAnswer =
        when (answer) {
            is CallerAnswer.Applied -> PeerAnswer(PeerAnswerKind.DONE)
            is CallerAnswer.State -> PeerAnswer(PeerAnswerKind.STATE, state = answer.state)
            is CallerAnswer.Pending -> PeerAnswer(PeerAnswerKind.PENDING, count = answer.count)
            is CallerAnswer.NotFound -> PeerAnswer(PeerAnswerKind.UNKNOWN)
            is CallerAnswer.NotApplied -> PeerAnswer(PeerAnswerKind.NOT_DONE, reason = answer.reason, retryAfterMs = answer.retryAfterMs)
            is CallerAnswer.Uncertain -> PeerAnswer(PeerAnswerKind.UNCERTAIN, reason = answer.reason)
        }

    private companion object {
        /** A little under the peer's own time-out. */
        const val ANSWER_TIMEOUT_MS = 900L
    }
}
