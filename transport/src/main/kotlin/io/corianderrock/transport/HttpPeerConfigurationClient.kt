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
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

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

/** Names the encoding in which a peer may send its configuration; one of an earlier release ignores it and sends plain JSON. */
internal const val ACCEPT_ENCODING_HEADER = "Accept-Encoding"
internal const val GZIP = "gzip"

/** What a compressed configuration may expand to. */
private const val MAX_CONFIGURATION_BYTES = 32_000_000

/** The last configuration that was asked for, compressed once for all peers that ask. Usable from any thread. */
internal class CompressedConfiguration {
    private class Entry(
        val configuration: JobsConfiguration,
        val bytes: ByteArray,
    )

    @Volatile
    private var last: Entry? = null

    fun bytesOf(configuration: JobsConfiguration): ByteArray {
        last?.takeIf { it.configuration === configuration }?.let { return it.bytes }
        val bytes = ByteArrayOutputStream()
        GZIPOutputStream(bytes).use { it.write(encodePeerConfiguration(configuration).toByteArray()) }
        return bytes.toByteArray().also { last = Entry(configuration, it) }
    }
}

/** Decodes an answer of a peer, compressed or not; null if it holds no configuration. */
internal fun decodePeerConfiguration(body: ByteArray): JobsConfiguration? {
    val isCompressed = body.size > 1 && body[0] == GZIP_MAGIC_0 && body[1] == GZIP_MAGIC_1
    if (!isCompressed) return decodePeerConfiguration(body.decodeToString())
    return try {
        val text = GZIPInputStream(ByteArrayInputStream(body)).use { it.readNBytes(MAX_CONFIGURATION_BYTES + 1) }
        if (text.size > MAX_CONFIGURATION_BYTES) null else decodePeerConfiguration(text.decodeToString())
    } catch (_: IOException) {
        null
    }
}

private const val GZIP_MAGIC_0 = 0x1f.toByte()
private const val GZIP_MAGIC_1 = 0x8b.toByte()

/** Sends each question over [client], naming [ownAddress] as the sender. */
public class HttpPeerConfigurationClient(
    private val client: AsyncHttpClient,
    private val ownAddress: String,
) : PeerConfigurationClient {
    override fun fetch(
        address: String,
        onResult: (PeerConfigurationResult) -> Unit,
    ) {
        val headers = mapOf(PEER_ADDRESS_HEADER to ownAddress, ACCEPT_ENCODING_HEADER to GZIP)
        client.send("GET", "http://$address$CONFIGURATION_PATH", ByteArray(0), TIMEOUT_MS, headers, TRANSFER_MS) { onResult(resultOf(it)) }
    }

    private fun resultOf(result: HttpResult): PeerConfigurationResult =
        when (result) {
            is HttpResult.Failed -> PeerConfigurationResult.Failed(result.reason)
            is HttpResult.Answer -> {
                val configuration = if (result.status == OK) decodePeerConfiguration(result.body) else null
                configuration?.let(PeerConfigurationResult::Answered)
                    ?: PeerConfigurationResult.Failed("status ${result.status} without a configuration that can be decoded")
            }
        }

    private companion object {
        const val OK = 200

        /** Like a status answer, plus the time to encode some 100 kB by an entry with a third of a core. */
        const val TIMEOUT_MS = 700L

        /** Time for an answer that arrives over a slow link, shared with other peers. Ending it sooner would only begin it anew. */
        const val TRANSFER_MS = 5_000L
    }
}
