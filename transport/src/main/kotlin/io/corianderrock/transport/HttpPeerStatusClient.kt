/*
 * Asks peers over HTTP what they know about the ownership and which version of the configuration they have in force.
 */
package io.corianderrock.transport

import io.corianderrock.jobs.ownership.ConfigurationSighting
import io.corianderrock.jobs.ownership.OwnerSighting
import io.corianderrock.jobs.ownership.PeerStatus
import io.corianderrock.jobs.ownership.PeerStatusClient
import io.corianderrock.jobs.ownership.PeerStatusResult
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

@Serializable
private data class PeerStatusMessage(
    val ownerAddress: String = "",
    val ownerEpoch: Long = 0,
    val isOwner: Boolean = false,
    val canWrite: Boolean = true,
    val claimedEpoch: Long? = null,
    val configurationVersion: Long? = null,
    /** Time since the configuration was confirmed by the store; null if it never was. */
    val configurationConfirmedAgoMs: Long? = null,
    val dataCentre: String? = null,
)

internal const val STATUS_PATH = "/peer/status"

private val statusJson = Json { ignoreUnknownKeys = true }

internal fun encodePeerStatus(status: PeerStatus): String {
    val owner = status.owner
    val message =
        PeerStatusMessage(
            ownerAddress = owner?.address.orEmpty(),
            ownerEpoch = owner?.epoch ?: 0,
            isOwner = status.isOwner,
            canWrite = status.canWrite,
            claimedEpoch = status.claimedEpoch,
            configurationVersion = status.configuration?.version,
            configurationConfirmedAgoMs = status.configuration?.confirmedAgoMs,
            dataCentre = status.dataCentre,
        )
    return statusJson.encodeToString(PeerStatusMessage.serializer(), message)
}

/** Sends each question over [client], naming [ownAddress] as the sender. */
public class HttpPeerStatusClient(
    private val client: AsyncHttpClient,
    private val ownAddress: String,
) : PeerStatusClient {
    override fun ask(
        address: String,
        onResult: (PeerStatusResult) -> Unit,
    ) {
        val headers = mapOf(PEER_ADDRESS_HEADER to ownAddress)
        client.send("GET", "http://$address$STATUS_PATH", ByteArray(0), TIMEOUT_MS, headers) { onResult(resultOf(it)) }
    }

    private fun resultOf(result: HttpResult): PeerStatusResult =
        when (result) {
            is HttpResult.Failed -> PeerStatusResult.Unreachable(result.reason)
            is HttpResult.Answer -> decode(result)
        }

    private fun decode(answer: HttpResult.Answer): PeerStatusResult =
        try {
            val message = statusJson.decodeFromString(PeerStatusMessage.serializer(), answer.body.decodeToString())
            val owner = if (message.ownerAddress.isEmpty()) null else OwnerSighting(message.ownerAddress, message.ownerEpoch)
            val seen = message.configurationVersion?.let { ConfigurationSighting(it, message.configurationConfirmedAgoMs) }
            PeerStatusResult.Answered(PeerStatus(owner, message.isOwner, message.canWrite, message.claimedEpoch, seen, message.dataCentre))
        } catch (e: SerializationException) {
            PeerStatusResult.Unreachable("status ${answer.status} with a body that cannot be decoded: ${e.message}")
        }

    private companion object {
        /** Peers answer without their event loop, so that a longer wait means a peer that is stopped or out of reach. */
        const val TIMEOUT_MS = 500L
    }
}
