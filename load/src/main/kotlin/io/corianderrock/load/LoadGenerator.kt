/*
 * Open-loop load generator: sends each request at its planned time, whether or not earlier requests have completed, and measures
 * latency from the planned time, so that queueing in the generator is included.
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

/**
 * Result of one request from the caller's view. [outcome] is null when the response lacks a valid outcome header or no
 * response arrived. [status] is 0 without a response, and [reason] is then the message of the I/O error. [isOwnResponse]
 * tells whether the body names the work id that was sent.
 */
public data class CallResult(
    val item: WorkItem,
    val target: String,
    val outcome: RequestOutcome?,
    val reason: String,
    val status: Int,
    val isOwnResponse: Boolean,
    val attempts: Int,
    val latencyNs: Long,
)

/** Sends requests to [targets] in round-robin order, like a load balancer, from at most [threads] threads. */
public class LoadGenerator(
    private val targets: List<String>,
    private val threads: Int = 256,
) : AutoCloseable {
    private val client: OkHttpClient = newHttpClient(ClientLimits(maxIdleConnections = threads))
    private val executor: ExecutorService =
        prestartedPool(threads) { task -> Thread(null, task, "caller", CALLER_STACK_BYTES).apply { isDaemon = true } }

    /** Sends [items] at their planned times and returns their results in the same order, when all have completed. */
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

    /**
     * Sends one request now and blocks until it has completed, or has timed out 2 s after its deadline. Latency is
     * measured from [sendAtNs], on the clock of [System.nanoTime]. [key] is the idempotency key of a retry; without it,
     * keyed work is sent as a first attempt with its work id as the key.
     */
    public fun send(
        item: WorkItem,
        target: String,
        sendAtNs: Long = System.nanoTime(),
        key: String? = null,
    ): CallResult {
        val call = client.newCall(requestOf(item, target, key))
        call.timeout().timeout(item.profile.deadlineMs + CALLER_TIMEOUT_MARGIN_MS, TimeUnit.MILLISECONDS)
        return try {
            call.execute().use { resultOf(item, target, it, sendAtNs) }
        } catch (e: IOException) {
            CallResult(item, target, outcome = null, e.message.orEmpty(), 0, isOwnResponse = false, 0, System.nanoTime() - sendAtNs)
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
                .header(WorkHeaders.WORK_ID, item.workId)
                .header(WorkHeaders.RUN_MS, item.runMs.toString())
        val idempotencyKey = key ?: item.workId.takeIf { profile.isKeyed }
        if (idempotencyKey != null) builder.header(ContractHeaders.IDEMPOTENCY_KEY, idempotencyKey)
        if (idempotencyKey != null && key == null) builder.header(ContractHeaders.REQUEST_ATTEMPT, "1")
        return if (profile.method == "GET") builder.get().build() else builder.method(profile.method, item.workId.toRequestBody()).build()
    }

    private fun resultOf(
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
            isOwnResponse = body.contains("\"work\":\"${item.workId}\""),
            attempts = response.header(ContractHeaders.ATTEMPTS)?.toIntOrNull() ?: 0,
            latencyNs = System.nanoTime() - sendAtNs,
        )
    }

    private fun parkUntil(timeNs: Long) {
        while (true) {
            val remainingNs = timeNs - System.nanoTime()
            if (remainingNs <= 0) return
            LockSupport.parkNanos(remainingNs)
        }
    }

    private fun prestartedPool(
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
        const val CALLER_TIMEOUT_MARGIN_MS = 2_000L
    }
}
