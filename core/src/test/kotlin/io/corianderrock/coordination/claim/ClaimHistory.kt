/*
 * A random history of claims over several processes, with kills, freezes, cuts, outages, lost answers and skewed clocks.
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
    private val ended = HashMap<String, Long>()
    private val unreported = ArrayList<ProcessModel>()
    private val processes = ArrayList<ProcessModel>()
    private val sends = HashMap<String, Int>()
    private val runs = HashMap<String, Int>()
    private var isPlatformDown = false
    private var ids = 0

    val doubled: List<String> get() = runs.filterValues { it > 1 }.keys.toList()
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
            1 -> kill()
            2 -> processes.random(random).let { it.isFrozen = !it.isFrozen }
            3 -> processes.random(random).let { it.isCut = !it.isCut }
            4 -> restart()
            5 -> reportEnded()
            in 6..9 -> tick()
            else -> send()
        }
    }

    private fun start(instance: String) {
        processes += ProcessModel(instance, skewMs = random.nextLong(-limits.clockSpreadMs(), limits.clockSpreadMs() + 1))
    }

    private fun kill() {
        if (processes.size <= 2) return
        val victim = processes.random(random)
        processes -= victim
        victim.endedAtMs = clock.wallMs()
        unreported += victim
        ids += 1
        start("instance-$ids-new")
    }

    /** The process dies and a new one starts on the same instance. */
    private fun restart() {
        val victim = processes.random(random)
        processes -= victim
        start(victim.instance)
    }

    private fun reportEnded() {
        unreported.forEach { ended[it.instance] = it.endedAtMs }
        unreported.clear()
    }

    private fun tick() {
        clock.advanceMs(random.nextLong(0, 2_500))
        processes.filterNot { it.isFrozen }.forEach { process ->
            process.owner.beat()
            process.owner.rebalance(fairShare = CLAIM_RANGES / processes.size + 1)
            process.pump()
        }
    }

    private fun send() {
        val entry = processes.filterNot { it.isFrozen }.randomOrNull(random) ?: return
        val isResend = sends.isNotEmpty() && random.nextBoolean()
        val key = "key-" + if (isResend) random.nextInt(sends.size) else sends.size
        val before = sends[key] ?: 0
        sends[key] = before + 1
        ids += 1
        val isFirst = before == 0 && random.nextBoolean()
        val call = ClaimCall(key, "attempt-$ids", isFirst, firstSentMs = null)
        when (entry.claims.claim(call)) {
            is ClaimResult.Granted -> onGranted(entry, call)
            else -> refused += 1
        }
    }

    /** The entry dispatches, or gives the claim back because nothing was dispatched. */
    private fun onGranted(
        entry: ProcessModel,
        call: ClaimCall,
    ) {
        granted += 1
        if (random.nextInt(5) == 0) {
            entry.claims.release(call.key, call.attempt)
            return
        }
        runs.merge(call.key, 1, Int::plus)
        if (random.nextBoolean()) entry.claims.complete(call.key, call.attempt, UpstreamResponse(200, emptyList(), ByteArray(0)))
    }

    private inner class ProcessModel(
        val instance: String,
        private val skewMs: Long,
    ) {
        var isFrozen = false
        var isCut = false
        var endedAtMs = 0L

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
                process = "process-${ids++}",
                selfInstance = instance,
                limits = limits,
                ended = { ended[it] },
                newId = { "id-${ids++}" },
                commitWait = ::pumpUntil,
                pace = CommitPace(limits, skewed, sleepNs = { clock.advanceMs(1) }),
            )

        val claims = RoutedClaims(owner, instance, Peers(), background = { it.run() })

        fun pump() {
            if (owner.log.pendingCount > 0) owner.log.commitPending(waitMs = 0)
        }

        private fun pumpUntil(
            committed: CompletableFuture<Boolean>,
            @Suppress("UNUSED_PARAMETER") timeoutMs: Long,
        ): Boolean {
            repeat(2) { if (!committed.isDone) pump() }
            return committed.getNow(false)
        }

        private fun nextFault(): PlatformFault =
            when {
                isPlatformDown || isCut -> PlatformFault.DOWN
                random.nextInt(15) == 0 -> PlatformFault.ANSWER_LOST
                else -> PlatformFault.NONE
            }
    }

    /** Calls between processes; some are not delivered and some answers are lost. */
    private inner class Peers : PeerClaims {
        override fun claim(
            instance: String,
            call: ClaimCall,
        ): OwnerAnswer? = delivered(instance) { it.owner.claim(call) }

        override fun release(
            instance: String,
            key: String,
            attempt: String,
        ): Boolean = delivered(instance) { it.owner.release(key, attempt) } != null

        override fun complete(
            instance: String,
            key: String,
            attempt: String,
            answer: UpstreamResponse,
        ): Boolean = delivered(instance) { it.owner.complete(key, attempt, answer) } != null

        private fun <T> delivered(
            instance: String,
            action: (ProcessModel) -> T,
        ): T? {
            val process = processes.firstOrNull { it.instance == instance && !it.isFrozen } ?: return null
            if (random.nextInt(10) == 0) return null
            val answer = action(process)
            return if (random.nextInt(10) == 0) null else answer
        }
    }

    private companion object {
        const val PROCESSES = 4
    }
}

/** Two clocks may differ by the allowed skew, so each may be off by half of it. */
private fun ClaimLimits.clockSpreadMs(): Long = (maxClockSkewMs / 2).coerceAtLeast(0)
