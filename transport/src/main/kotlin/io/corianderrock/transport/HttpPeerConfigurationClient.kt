/*
 * Fetches from a peer over HTTP the configuration that it has in force. It holds digests of keys only.
 */
package io.corianderrock.transport

import io.corianderrock.jobs.configuration.PeerConfigurationClient
import io.corianderrock.jobs.configuration.PeerConfigurationResult
import io.corianderrock.jobs.ports.decodeOrNull
import io.corianderrock.jobs.state.JobsConfiguration
import kotlinx.serialization.json.Json

internal const val CONFIGURATION_PATH = "/peer/configuration"

private val configurationJson = Json { ignoreUnknownKeys = true }

internal fun encodePeerConfiguration(configuration: JobsConfiguration): String =
    configurationJson.encodeToString(JobsConfiguration.serializer(), configuration)

internal fun decodePeerConfiguration(text: String): JobsConfiguration? =
    configurationJson.decodeOrNull(JobsConfiguration.serializer(), text)

/** Sends each question over [client], naming [ownAddress] as the sender. */
public class HttpPeerConfigurationClient(
    private val client: AsyncHttpClient,
    private val ownAddress: String,
) : PeerConfigurationClient {
    override fun fetch(
        address: String,
        onResult: (PeerConfigurationResult) -> Unit,
    ) {
        val headers = mapOf(PEER_ADDRESS_HEADER to ownAddress)
        client.send("GET", "http://$address$CONFIGURATION_PATH", ByteArray(0), TIMEOUT_MS, headers) { onResult(resultOf(it)) }
    }

    private fun resultOf(result: HttpResult): PeerConfigurationResult =
        when (result) {
            is HttpResult.Failed -> PeerConfigurationResult.Failed(result.reason)
            is HttpResult.Answer ->
                decodePeerConfiguration(result.body.decodeToString())?.let(PeerConfigurationResult::Answered)
                    ?: PeerConfigurationResult.Failed("status ${result.status} with a body that cannot be decoded")
        }

    private companion object {
        /** Like a status answer, plus the time to encode and send some 100 kB by an entry with a third of a core. */
        const val TIMEOUT_MS = 700L
    }
}
