/*
 * A random history of claims by several processes, with terminated instances, paused and restarted processes, network
 * partitions, platform outages, lost responses and skewed clocks. It counts the executions of each key, so that a test
 * can assert that no key is executed twice.
 */
package io.corianderrock.coordination.claim

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.FaultyPlatform
import io.corianderrock.coordination.ManualClock
import io.corianderrock.coordination.MemoryPlatform
import io.corianderrock.coordination.NS_PER_MS
import io.corianderrock.coordination.PlatformFault
import io.corianderrock.coordination.request.UpstreamResponse
import java.util.concurrent.CompletableFuture
import kotlin.random.Random

internal class ClaimHistory(
    seed: Int,
    private val limits: ClaimLimits,
) {
    private val random = Random(seed)
    private val clock = ManualClock()
    private val memory = MemoryPlatform()
    private val terminated = HashMap<String, Long>()
    private val unreportedTerminations = ArrayList<ProcessModel>()
    private val processes = ArrayList<ProcessModel>()
    private val sends = HashMap<String, Int>()
    private val executions = HashMap<String, Int>()
    private var isPlatformDown = false
    private var nextId = 0

    val duplicateExecutions: List<String> get() = executions.filterValues { it > 1 }.keys.toList()
    var granted = 0
        private set
    var refused = 0
        private set

    init {
        repeat(PROCESSES) { start("instance-$it") }
    }

    fun run(steps: Int) {
        repeat(steps) { step() }
    }

    private fun step() {
        when (random.nextInt(20)) {
            0 -> isPlatformDown = !isPlatformDown
            1 -> terminateInstance()
            2 -> processes.random(random).let { it.isPaused = !it.isPaused }
            3 -> processes.random(random).let { it.isPartitioned = !it.isPartitioned }
            4 -> restartProcess()
            5 -> reportTerminations()
            in 6..9 -> tick()
            else -> send()
        }
    }

    private fun start(instance: String) {
        processes += ProcessModel(instance, skewMs = random.nextLong(-limits.maxClockOffsetMs(), limits.maxClockOffsetMs() + 1))
    }

    private fun terminateInstance() {
        if (processes.size <= 2) return
        val removed = processes.random(random)
        processes -= removed
        removed.terminatedAtMs = clock.wallMs()
        unreportedTerminations += removed
        nextId += 1
        start("instance-$nextId-new")
    }

    /** Replaces a process by a new one on the same instance, which does not have the claims in its memory. */
    private fun restartProcess() {
        val removed = processes.random(random)
        processes -= removed
        start(removed.instance)
    }

    private fun reportTerminations() {
        unreportedTerminations.forEach { terminated[it.instance] = it.terminatedAtMs }
        unreportedTerminations.clear()
    }

    private fun tick() {
        clock.advanceMs(random.nextLong(0, 2_500))
        processes.filterNot { it.isPaused }.forEach { process ->
            process.owner.sendHeartbeat()
            process.owner.rebalance(fairShare = CLAIM_RANGES / processes.size + 1)
            process.commitOnce()
        }
    }

    private fun send() {
        val entry = processes.filterNot { it.isPaused }.randomOrNull(random) ?: return
        val isResend = sends.isNotEmpty() && random.nextBoolean()
        val key = "key-" + if (isResend) random.nextInt(sends.size) else sends.size
        val before = sends[key] ?: 0
        sends[key] = before + 1
        nextId += 1
        val isFirst = before == 0 && random.nextBoolean()
        val request = ClaimRequest(key, "attempt-$nextId", isFirst, firstSentMs = null)
        when (entry.claims.claim(request)) {
            is ClaimResult.Granted -> onGranted(entry, request)
            else -> refused += 1
        }
    }

    /** Simulates an entry that dispatches the request, or releases the claim without a dispatch. */
    private fun onGranted(
        entry: ProcessModel,
        request: ClaimRequest,
    ) {
        granted += 1
        if (random.nextInt(5) == 0) {
            entry.claims.release(request.key, request.attempt)
            return
        }
        executions.merge(request.key, 1, Int::plus)
        if (random.nextBoolean()) entry.claims.complete(request.key, request.attempt, UpstreamResponse(200, emptyList(), ByteArray(0)))
    }

    private inner class ProcessModel(
        val instance: String,
        private val skewMs: Long,
    ) {
        var isPaused = false
        var isPartitioned = false
        var terminatedAtMs = 0L

        private val skewed =
            object : Clock {
                override fun monotonicNs(): Long = clock.monotonicNs()

                override fun wallMs(): Long = clock.monotonicNs() / NS_PER_MS + skewMs
            }

        private val platform = FaultyPlatform(memory) { nextFault() }

        val owner: ClaimOwner =
            ClaimOwner(
                table = platform,
                clock = skewed,
                processId = "process-${nextId++}",
                selfInstance = instance,
                limits = limits,
                terminatedInstances = { terminated[it] },
                newId = { "id-${nextId++}" },
                commitWait = ::commitUntilDone,
                commitRateLimiter = CommitRateLimiter(limits, skewed, sleepNs = { clock.advanceMs(1) }),
            )

        val claims = RoutedClaims(owner, instance, Peers(), background = { it.run() })

        fun commitOnce() {
            if (owner.log.pendingCount > 0) owner.log.commitPending(waitMs = 0)
        }

        private fun commitUntilDone(
            committed: CompletableFuture<Boolean>,
            @Suppress("UNUSED_PARAMETER") timeoutMs: Long,
        ): Boolean {
            repeat(2) { if (!committed.isDone) commitOnce() }
            return committed.getNow(false)
        }

        private fun nextFault(): PlatformFault =
            when {
                isPlatformDown || isPartitioned -> PlatformFault.DOWN
                random.nextInt(15) == 0 -> PlatformFault.ANSWER_LOST
                else -> PlatformFault.NONE
            }
    }

    /** Calls between processes. One in ten requests and one in ten replies is lost. */
    private inner class Peers : PeerClaims {
        override fun claim(
            instance: String,
            request: ClaimRequest,
            timeoutMs: Long,
        ): ClaimDecision? = delivered(instance) { it.owner.claim(request) }

        override fun release(
            instance: String,
            key: String,
            attempt: String,
        ): Boolean = delivered(instance) { it.owner.release(key, attempt) } != null

        override fun complete(
            instance: String,
            key: String,
            attempt: String,
            response: UpstreamResponse,
        ): Boolean = delivered(instance) { it.owner.complete(key, attempt, response) } != null

        private fun <T> delivered(
            instance: String,
            action: (ProcessModel) -> T,
        ): T? {
            val process = processes.firstOrNull { it.instance == instance && !it.isPaused } ?: return null
            if (random.nextInt(10) == 0) return null
            val result = action(process)
            return if (random.nextInt(10) == 0) null else result
        }
    }

    private companion object {
        const val PROCESSES = 4
    }
}

/** The largest offset of one clock: half of the maximum skew between two clocks. */
private fun ClaimLimits.maxClockOffsetMs(): Long = (maxClockSkewMs / 2).coerceAtLeast(0)
