/*
 * The HTTP client of the operators' interface of a daemon.
 */
package io.corianderrock.cli

import io.corianderrock.protocol.OperatorError
import io.corianderrock.transport.newHttpClient
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okio.IOException
import java.util.concurrent.TimeUnit

/** A failed call to a daemon. The message names the step, the peer and the reason. */
internal class DaemonException(
    message: String,
    val exitCode: ExitCode,
) : Exception(message)

/** Calls the operators' interface at [address]. A call that takes longer than [timeoutMs] fails. */
internal class DaemonClient(
    private val address: String,
    private val token: String,
    private val timeoutMs: Long,
) {
    private val http = newHttpClient()
    private val json = Json { ignoreUnknownKeys = true }

    fun <T> get(
        path: String,
        answer: DeserializationStrategy<T>,
    ): T = call(Request.Builder().get(), path, answer)

    fun <B, T> post(
        path: String,
        serializer: KSerializer<B>,
        body: B,
        answer: DeserializationStrategy<T>,
    ): T = call(Request.Builder().post(json.encodeToString(serializer, body).toRequestBody()), path, answer)

    private fun <T> call(
        builder: Request.Builder,
        path: String,
        answer: DeserializationStrategy<T>,
    ): T {
        val request = builder.url("http://$address$path").header("Authorization", "Bearer $token").build()
        val call = http.newCall(request)
        call.timeout().timeout(timeoutMs, TimeUnit.MILLISECONDS)
        try {
            call.execute().use { response ->
                val text = response.body.string()
                if (response.code != OK) throw errorOf(path, response.code, text)
                return json.decodeFromString(answer, text)
            }
        } catch (e: IOException) {
            throw DaemonException("step=$path peer=$address: ${e.message}; is the daemon running there?", ExitCode.UNREACHABLE)
        } catch (e: SerializationException) {
            throw DaemonException("step=$path peer=$address: the answer cannot be decoded: ${e.message}", ExitCode.UNREACHABLE)
        }
    }

    private fun errorOf(
        path: String,
        status: Int,
        text: String,
    ): DaemonException {
        val error =
            try {
                json.decodeFromString(OperatorError.serializer(), text)
            } catch (_: SerializationException) {
                OperatorError(step = path, peer = address, message = "status $status")
            }
        val exitCode = if (status == CONFLICT) ExitCode.CONFLICT else ExitCode.INVALID
        return DaemonException("step=${error.step} peer=$address: ${error.message}", exitCode)
    }

    private companion object {
        const val OK = 200
        const val CONFLICT = 409
    }
}
