/*
 * Fetches from a peer over HTTP the configuration that it has in force. It holds digests of keys only.
 */
package io.corianderrock.transport

import io.corianderrock.jobs.configuration.PeerConfigurationClient
import io.corianderrock.jobs.configuration.PeerConfigurationResult
import io.corianderrock.jobs.ports.decodeOrNull
import io.corianderrock.jobs.state.JobsConfiguration
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject

internal const val CONFIGURATION_PATH = "/peer/configuration"

/** Writes all fields, so that a message without accounts is told from one of a deployment that has none. */
private val configurationJson =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }

internal fun encodePeerConfiguration(configuration: JobsConfiguration): String =
    configurationJson.encodeToString(JobsConfiguration.serializer(), configuration)

/** Null unless [text] states the accounts: without them no call would need a key. */
internal fun decodePeerConfiguration(text: String): JobsConfiguration? {
    val message = configurationJson.decodeOrNull(JsonObject.serializer(), text) ?: return null
    if (ACCOUNTS_FIELD !in message) return null
    return configurationJson.decodeOrNull(JobsConfiguration.serializer(), text)
}

private const val ACCOUNTS_FIELD = "accounts"

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
            is HttpResult.Answer -> {
                val configuration = if (result.status == OK) decodePeerConfiguration(result.body.decodeToString()) else null
                configuration?.let(PeerConfigurationResult::Answered)
                    ?: PeerConfigurationResult.Failed("status ${result.status} without a configuration that can be decoded")
            }
        }

    private companion object {
        const val OK = 200

        /** Like a status answer, plus the time to encode and send some 100 kB by an entry with a third of a core. */
        const val TIMEOUT_MS = 700L
    }
}
