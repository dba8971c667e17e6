/*
 * The messages between entries, encoded with protocol buffers.
 */
package io.corianderrock.protocol

import io.corianderrock.coordination.claim.ClaimDecision
import io.corianderrock.coordination.claim.ClaimRequest
import io.corianderrock.coordination.request.Header
import io.corianderrock.coordination.request.UpstreamResponse
import io.corianderrock.state.WorkerObservation
import kotlinx.serialization.Serializable

/** A call for a claim on a key. */
@Serializable
public data class ClaimMessage(
    val key: String,
    val attempt: String,
    val isFirstSend: Boolean = false,
    val firstSentMs: Long = 0,
)

/** The kind of an owner's answer. */
@Serializable
public enum class ClaimReplyKind { GRANTED, COMPLETED, TAKEN, TAKEN_COMPLETED, HISTORY_INCOMPLETE, NOT_OWNER, NOT_DURABLE }

/** An owner's answer; [answer] is set when the kind is COMPLETED. */
@Serializable
public data class ClaimReply(
    val kind: ClaimReplyKind,
    val answer: AnswerMessage? = null,
)

/** One header of a kept answer. */
@Serializable
public data class HeaderMessage(
    val name: String,
    val value: String,
)

/** A whole answer. */
@Serializable
public class AnswerMessage(
    public val status: Int,
    public val headers: List<HeaderMessage>,
    public val body: ByteArray,
)

/** Gives a claim back, or completes it when [answer] is set. */
@Serializable
public data class ClaimResolutionMessage(
    val key: String,
    val attempt: String,
    val answer: AnswerMessage? = null,
)

/** A configuration that the sender has in force, with its declarations as JSON. */
@Serializable
public data class ConfigurationMessage(
    val version: Long,
    val blob: String,
    val changeId: String,
    val author: String,
    val declarationsJson: String,
)

/** Asks for everything that a fresh entry needs. */
@Serializable
public data class SnapshotRequest(
    val instance: String,
)

/** What an entry knows: its configuration as JSON, empty before the first. */
@Serializable
public data class SnapshotMessage(
    val configurationJson: String = "",
)

/** Observations of workers. */
@Serializable
public data class ObservationsMessage(
    val observations: List<WorkerObservation>,
)

/** Asks whether the receiver will send no more work to [instance] in [epoch] and has none there. */
@Serializable
public data class DrainQuestion(
    val instance: String,
    val epoch: Long,
)

/** Whether the receiver has put [DrainQuestion.epoch] in force and how many requests it still has on the instance. */
@Serializable
public data class DrainReply(
    val hasSeenEpoch: Boolean,
    val inFlight: Int,
)

/** An answer without content. */
@Serializable
public data class Acknowledgement(
    val isDone: Boolean = true,
)

/** Converts this call to its message. */
public fun ClaimRequest.asMessage(): ClaimMessage = ClaimMessage(key, attempt, isFirstSend, firstSentMs ?: 0)

/** Converts this message to a call. */
public fun ClaimMessage.asCall(): ClaimRequest = ClaimRequest(key, attempt, isFirstSend, firstSentMs.takeIf { it > 0 })

/** Converts this answer to its message. */
public fun UpstreamResponse.asMessage(): AnswerMessage = AnswerMessage(status, headers.map { HeaderMessage(it.name, it.value) }, body)

/** Converts this message to an answer. */
public fun AnswerMessage.asAnswer(): UpstreamResponse = UpstreamResponse(status, headers.map { Header(it.name, it.value) }, body)

/** Converts this answer of an owner to its message. */
public fun ClaimDecision.asReply(): ClaimReply =
    when (this) {
        is ClaimDecision.Granted -> ClaimReply(ClaimReplyKind.GRANTED)
        is ClaimDecision.Completed -> ClaimReply(ClaimReplyKind.COMPLETED, response.asMessage())
        is ClaimDecision.Held -> ClaimReply(if (isCompleted) ClaimReplyKind.TAKEN_COMPLETED else ClaimReplyKind.TAKEN)
        is ClaimDecision.HistoryIncomplete -> ClaimReply(ClaimReplyKind.HISTORY_INCOMPLETE)
        is ClaimDecision.NotOwner -> ClaimReply(ClaimReplyKind.NOT_OWNER)
        is ClaimDecision.NotDurable -> ClaimReply(ClaimReplyKind.NOT_DURABLE)
    }

/** Converts this message to an owner's answer. */
public fun ClaimReply.asOwnerAnswer(): ClaimDecision =
    when (kind) {
        ClaimReplyKind.GRANTED -> ClaimDecision.Granted
        ClaimReplyKind.COMPLETED -> answer?.let { ClaimDecision.Completed(it.asAnswer()) } ?: ClaimDecision.Held(isCompleted = true)
        ClaimReplyKind.TAKEN -> ClaimDecision.Held(isCompleted = false)
        ClaimReplyKind.TAKEN_COMPLETED -> ClaimDecision.Held(isCompleted = true)
        ClaimReplyKind.HISTORY_INCOMPLETE -> ClaimDecision.HistoryIncomplete
        ClaimReplyKind.NOT_OWNER -> ClaimDecision.NotOwner
        ClaimReplyKind.NOT_DURABLE -> ClaimDecision.NotDurable
    }
