/*
 * The gRPC messages between entries, encoded as protocol buffers. Field numbers follow the order of the properties, and
 * enum values the order of the entries.
 */
package io.corianderrock.protocol

import io.corianderrock.coordination.claim.ClaimDecision
import io.corianderrock.coordination.claim.ClaimRequest
import io.corianderrock.coordination.request.Header
import io.corianderrock.coordination.request.UpstreamResponse
import io.corianderrock.state.WorkerObservation
import kotlinx.serialization.Serializable

/** Requests a claim on [key] for the request with the id [attempt]. [firstSentMs] is 0 if it is not known. */
@Serializable
public data class ClaimMessage(
    val key: String,
    val attempt: String,
    val isFirstSend: Boolean = false,
    val firstSentMs: Long = 0,
)

/**
 * The kind of a [ClaimReply]. Each entry corresponds to a [ClaimDecision]; TAKEN and TAKEN_COMPLETED to
 * [ClaimDecision.Held].
 */
@Serializable
public enum class ClaimReplyKind { GRANTED, COMPLETED, TAKEN, TAKEN_COMPLETED, HISTORY_INCOMPLETE, NOT_OWNER, NOT_DURABLE }

/** The decision of a key's owner. [answer] is the stored response, set only if [kind] is COMPLETED. */
@Serializable
public data class ClaimReply(
    val kind: ClaimReplyKind,
    val answer: ResponseMessage? = null,
)

/** One header of a [ResponseMessage]. */
@Serializable
public data class HeaderMessage(
    val name: String,
    val value: String,
)

/** A complete response of an upstream. */
@Serializable
public class ResponseMessage(
    public val status: Int,
    public val headers: List<HeaderMessage>,
    public val body: ByteArray,
)

/** Completes the claim that [attempt] holds on [key] with the response [answer], or releases it if [answer] is null. */
@Serializable
public data class ClaimResolutionMessage(
    val key: String,
    val attempt: String,
    val answer: ResponseMessage? = null,
)

/** Distributes the configuration in force at the sender. [declarationsJson] is the JSON of its declarations. */
@Serializable
public data class ConfigurationMessage(
    val version: Long,
    val blob: String,
    val changeId: String,
    val author: String,
    val declarationsJson: String,
)

/** Requests the state that a starting entry needs. [instance] is the id of the sender. */
@Serializable
public data class SnapshotRequest(
    val instance: String,
)

/** The state of an entry: the JSON of its configuration, empty if none has been published. */
@Serializable
public data class SnapshotMessage(
    val configurationJson: String = "",
)

/** Distributes observations of workers. */
@Serializable
public data class ObservationsMessage(
    val observations: List<WorkerObservation>,
)

/** Asks whether the receiver has stopped sending requests to [instance] as of [epoch] and has none in flight there. */
@Serializable
public data class DrainQuery(
    val instance: String,
    val epoch: Long,
)

/**
 * [hasSeenEpoch] is true if [DrainQuery.epoch] is in force at the receiver; [inFlight] counts its requests to the
 * instance.
 */
@Serializable
public data class DrainReply(
    val hasSeenEpoch: Boolean,
    val inFlight: Int,
)

/** A response without content. */
@Serializable
public data class Acknowledgement(
    val isDone: Boolean = true,
)

/** Converts this request to its wire message. */
public fun ClaimRequest.asMessage(): ClaimMessage = ClaimMessage(key, attempt, isFirstSend, firstSentMs ?: 0)

/** Converts this message to a request. */
public fun ClaimMessage.asRequest(): ClaimRequest = ClaimRequest(key, attempt, isFirstSend, firstSentMs.takeIf { it > 0 })

/** Converts this response to its wire message. */
public fun UpstreamResponse.asMessage(): ResponseMessage = ResponseMessage(status, headers.map { HeaderMessage(it.name, it.value) }, body)

/** Converts this message to a response. */
public fun ResponseMessage.asResponse(): UpstreamResponse = UpstreamResponse(status, headers.map { Header(it.name, it.value) }, body)

/** Converts this decision to its wire message. */
public fun ClaimDecision.asReply(): ClaimReply =
    when (this) {
        is ClaimDecision.Granted -> ClaimReply(ClaimReplyKind.GRANTED)
        is ClaimDecision.Completed -> ClaimReply(ClaimReplyKind.COMPLETED, response.asMessage())
        is ClaimDecision.Held -> ClaimReply(if (isCompleted) ClaimReplyKind.TAKEN_COMPLETED else ClaimReplyKind.TAKEN)
        is ClaimDecision.HistoryIncomplete -> ClaimReply(ClaimReplyKind.HISTORY_INCOMPLETE)
        is ClaimDecision.NotOwner -> ClaimReply(ClaimReplyKind.NOT_OWNER)
        is ClaimDecision.NotDurable -> ClaimReply(ClaimReplyKind.NOT_DURABLE)
    }

/** Converts this message to a decision. COMPLETED without a response becomes [ClaimDecision.Held]. */
public fun ClaimReply.asDecision(): ClaimDecision =
    when (kind) {
        ClaimReplyKind.GRANTED -> ClaimDecision.Granted
        ClaimReplyKind.COMPLETED -> answer?.let { ClaimDecision.Completed(it.asResponse()) } ?: ClaimDecision.Held(isCompleted = true)
        ClaimReplyKind.TAKEN -> ClaimDecision.Held(isCompleted = false)
        ClaimReplyKind.TAKEN_COMPLETED -> ClaimDecision.Held(isCompleted = true)
        ClaimReplyKind.HISTORY_INCOMPLETE -> ClaimDecision.HistoryIncomplete
        ClaimReplyKind.NOT_OWNER -> ClaimDecision.NotOwner
        ClaimReplyKind.NOT_DURABLE -> ClaimDecision.NotDurable
    }
