/*
 * Sends planned work at its planned times, whatever became of earlier work, and measures from the planned time.
 */
package io.corianderrock.load

import io.corianderrock.protocol.contract.ContractHeaders
import io.corianderrock.protocol.contract.RequestOutcome
import io.corianderrock.standins.upstream.WorkHeaders
import io.corianderrock.transport.ClientLimits
import io.corianderrock.transport.newHttpClient
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.IOException
import java.util.concurrent.ExecutorService
import java.util.concurrent.Future
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.ThreadFactory
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/** What a caller saw of one request. [outcome] is null when no answer of the contract arrived. */
public data class CallResult(
    val item: WorkItem,
    val target: String,
    val outcome: RequestOutcome?,
    val reason: String,
    val status: Int,
    val isOwnAnswer: Boolean,
    val attempts: Int,
    val latencyNs: Long,
)

/** Sends requests to [targets] in turn, as a balancer does. */
public class LoadGenerator(
    private val targets: List<String>,
    private val threads: Int = 256,
) : AutoCloseable {
    private val client: OkHttpClient = newHttpClient(ClientLimits(maxIdleConnections = threads))
    private val executor: ExecutorService =
        startedPool(threads) { task -> Thread(null, task, "caller", CALLER_STACK_BYTES).apply { isDaemon = true } }

    /** Sends [items] at their times and returns what their callers saw. */
    public fun run(items: List<WorkItem>): List<CallResult> {
        val startNs = System.nanoTime() + START_DELAY_NS
        val futures = ArrayList<Future<CallResult>>(items.size)
        items.forEachIndexed { index, item ->
            val sendAtNs = startNs + item.sendAtNs
            parkUntil(sendAtNs)
            futures += executor.submit<CallResult> { send(item, targets[index % targets.size], sendAtNs) }
        }
        return futures.map { it.get() }
    }

    /** Sends one request now. */
    public fun send(
        item: WorkItem,
        target: String,
        sendAtNs: Long = System.nanoTime(),
        key: String? = null,
    ): CallResult {
        val call = client.newCall(requestOf(item, target, key))
        call.timeout().timeout(item.profile.deadlineMs + CALLER_PATIENCE_MS, TimeUnit.MILLISECONDS)
        return try {
            call.execute().use { result(item, target, it, sendAtNs) }
        } catch (e: IOException) {
            CallResult(item, target, outcome = null, e.message.orEmpty(), 0, isOwnAnswer = false, 0, System.nanoTime() - sendAtNs)
        }
    }

    override fun close() {
        executor.shutdownNow()
        client.connectionPool.evictAll()
    }

    private fun requestOf(
        item: WorkItem,
        target: String,
        key: String?,
    ): Request {
        val profile = item.profile
        val builder =
            Request
                .Builder()
                .url("http://$target${profile.path}")
                .header(ContractHeaders.TEAM, profile.team)
                .header(ContractHeaders.DEADLINE_MS, profile.deadlineMs.toString())
                .header(WorkHeaders.WORK, item.work)
                .header(WorkHeaders.RUN_MS, item.runMs.toString())
        val ownKey = key ?: item.work.takeIf { profile.isKeyed }
        if (ownKey != null) builder.header(ContractHeaders.IDEMPOTENCY_KEY, ownKey)
        if (ownKey != null && key == null) builder.header(ContractHeaders.REQUEST_ATTEMPT, "1")
        return if (profile.method == "GET") builder.get().build() else builder.method(profile.method, item.work.toRequestBody()).build()
    }

    private fun result(
        item: WorkItem,
        target: String,
        response: Response,
        sendAtNs: Long,
    ): CallResult {
        val body = response.body.string()
        return CallResult(
            item = item,
            target = target,
            outcome = RequestOutcome.parse(response.header(ContractHeaders.OUTCOME)),
            reason = response.header(ContractHeaders.REASON).orEmpty(),
            status = response.code,
            isOwnAnswer = body.contains("\"work\":\"${item.work}\""),
            attempts = response.header(ContractHeaders.ATTEMPTS)?.toIntOrNull() ?: 0,
            latencyNs = System.nanoTime() - sendAtNs,
        )
    }

    private fun parkUntil(timeNs: Long) {
        while (true) {
            val leftNs = timeNs - System.nanoTime()
            if (leftNs <= 0) return
            LockSupport.parkNanos(leftNs)
        }
    }

    private fun startedPool(
        threads: Int,
        factory: ThreadFactory,
    ): ExecutorService {
        val pool = ThreadPoolExecutor(threads, threads, 0, TimeUnit.MILLISECONDS, LinkedBlockingQueue(), factory)
        pool.prestartAllCoreThreads()
        return pool
    }

    private companion object {
        const val CALLER_STACK_BYTES = 262_144L
        const val START_DELAY_NS = 50_000_000L
        const val CALLER_PATIENCE_MS = 2_000L
    }
}
