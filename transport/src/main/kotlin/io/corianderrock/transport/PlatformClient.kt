/*
 * HTTP client of the platform's services: rows, objects, the instance list and reboots.
 */
package io.corianderrock.transport

import io.corianderrock.coordination.InstanceListPage
import io.corianderrock.coordination.Platform
import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.Row
import io.corianderrock.coordination.Transaction
import io.corianderrock.coordination.map
import io.corianderrock.protocol.ObjectAnswer
import io.corianderrock.protocol.PlatformPaths
import io.corianderrock.protocol.PutAnswer
import io.corianderrock.protocol.RowAnswer
import io.corianderrock.protocol.ScanAnswer
import io.corianderrock.protocol.TransactAnswer
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.Headers
import okio.IOException
import java.net.URLEncoder
import java.util.concurrent.TimeUnit

/**
 * Calls the platform at [baseUrl]. Each call blocks for at most [callTimeoutMs] and is never retried. A failed call
 * reports `mayHaveApplied = false` only if no byte was sent or the platform answered 503.
 *
 * It has an HTTP client of its own: a call locks each connection of its client's pool in turn, so commits of the claim log would wait
 * for request threads that hold such a lock while they have no core.
 */
public class PlatformClient(
    private val baseUrl: String,
    private val callTimeoutMs: Long = 1_000,
    limits: ClientLimits = ClientLimits(),
) : Platform {
    private val client = newHttpClient(limits)
    private val json = Json { ignoreUnknownKeys = true }

    override fun read(key: String): PlatformResult<Row?> =
        call("read", "GET", PlatformPaths.ROW + "?key=" + encode(key), "", RowAnswer.serializer()).map { it.row }

    override fun scan(
        prefix: String,
        sinceRevision: Long,
    ): PlatformResult<List<Row>> {
        val path = PlatformPaths.SCAN + "?prefix=" + encode(prefix) + "&since=" + sinceRevision
        return call("scan", "GET", path, "", ScanAnswer.serializer()).map { it.rows }
    }

    override fun transact(transaction: Transaction): PlatformResult<Long> {
        val body = json.encodeToString(Transaction.serializer(), transaction)
        val result = call("transact", "POST", PlatformPaths.TRANSACT, body, TransactAnswer.serializer())
        val answer = (result as? PlatformResult.Ok)?.value ?: return result.map { it.revision }
        val conflictKey = answer.conflictKey ?: return PlatformResult.Ok(answer.revision)
        return PlatformResult.Conflict(conflictKey, answer.revision)
    }

    override fun putIfAbsent(
        key: String,
        content: String,
    ): PlatformResult<Boolean> =
        call("put", "PUT", PlatformPaths.OBJECT + "?key=" + encode(key), content, PutAnswer.serializer()).map { it.isStored }

    override fun fetch(key: String): PlatformResult<String?> =
        call("fetch", "GET", PlatformPaths.OBJECT + "?key=" + encode(key), "", ObjectAnswer.serializer()).map { it.content }

    override fun instances(sinceRevision: Long): PlatformResult<InstanceListPage> =
        call("list", "GET", PlatformPaths.INSTANCES + "?since=" + sinceRevision, "", InstanceListPage.serializer())

    override fun reboot(
        instanceId: String,
        requestId: String,
    ): PlatformResult<Unit> {
        val path = PlatformPaths.REBOOT + "?id=" + encode(instanceId) + "&request=" + encode(requestId)
        return call("reboot", "POST", path, "", PutAnswer.serializer()).map { }
    }

    private fun <T> call(
        step: String,
        method: String,
        path: String,
        body: String,
        deserializer: DeserializationStrategy<T>,
    ): PlatformResult<T> {
        val trace = CallTrace()
        val request = buildRequest(baseUrl + path, method, Headers.headersOf(), body.toByteArray(), trace)
        val call = client.newCall(request)
        call.timeout().timeout(callTimeoutMs, TimeUnit.MILLISECONDS)
        return try {
            call.execute().use { response ->
                val text = response.body.string()
                if (response.code == OK) {
                    PlatformResult.Ok(json.decodeFromString(deserializer, text))
                } else {
                    failure(step, "status ${response.code}", mayHaveApplied = response.code != SERVICE_UNAVAILABLE)
                }
            }
        } catch (e: IOException) {
            failure(step, e.message ?: e.javaClass.simpleName, mayHaveApplied = trace.hasSentBytes)
        } catch (e: SerializationException) {
            failure(step, "cannot decode the response: ${e.message}", mayHaveApplied = true)
        }
    }

    private fun failure(
        step: String,
        reason: String,
        mayHaveApplied: Boolean,
    ): PlatformResult.Failed = PlatformResult.Failed(step, baseUrl, reason, mayHaveApplied)

    private fun encode(text: String): String = URLEncoder.encode(text, Charsets.UTF_8)

    private companion object {
        const val OK = 200
        const val SERVICE_UNAVAILABLE = 503
    }
}
