/*
 * Grants claims on the ranges that this process owns.
 */
package io.corianderrock.coordination.claim

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.Precondition
import io.corianderrock.coordination.TableService
import io.corianderrock.coordination.Transaction
import io.corianderrock.coordination.request.UpstreamResponse
import io.corianderrock.coordination.transactExactlyOnce
import kotlinx.serialization.json.Json
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** A call for a claim. [isFirstSend] and [firstSentMs] tell whether an earlier owner can have seen the key. */
public data class ClaimCall(
    val key: String,
    val attempt: String,
    val isFirstSend: Boolean,
    val firstSentMs: Long?,
)

/** What an owner answers to a call for a claim. */
public sealed interface OwnerAnswer {
    /** The claim is granted. */
    public data object Granted : OwnerAnswer

    /** The key's request ran; [answer] is its whole answer. */
    public data class Completed(
        val answer: UpstreamResponse,
    ) : OwnerAnswer

    /** Another attempt holds the key; [isCompleted] tells that it ran. */
    public data class Taken(
        val isCompleted: Boolean,
    ) : OwnerAnswer

    /** A former owner's claims may be missing, so the key may have been claimed before. */
    public data object HistoryIncomplete : OwnerAnswer

    /** This process does not own the key's range. */
    public data object NotOwner : OwnerAnswer

    /** The claim could not be made durable in time; it is not granted. */
    public data object NotDurable : OwnerAnswer
}

/** Tells which instances have ended for good. */
public fun interface EndedInstances {
    /** Returns when [instance] ended, as wall-clock time in milliseconds, or null when it may be alive. */
    public fun endedAtMs(instance: String): Long?
}

/** Waits for a line of the log to be committed. */
public fun interface CommitWait {
    /** Returns true once [committed] is true, or false after [timeoutMs] or when ownership was lost. */
    public fun await(
        committed: CompletableFuture<Boolean>,
        timeoutMs: Long,
    ): Boolean

    public companion object {
        /** Blocks the calling thread. */
        public val BLOCKING: CommitWait =
            CommitWait { committed, timeoutMs ->
                try {
                    committed.get(timeoutMs, TimeUnit.MILLISECONDS)
                } catch (_: TimeoutException) {
                    false
                }
            }
    }
}

/**
 * Owns ranges of the key space. Claims are granted by many threads; [beat], [rebalance] and the commits of [log] run on
 * one background thread each.
 *
 * While the platform answers, a claim is granted once it is in the log. After [ClaimLimits.memoryModeAfterMs] without a
 * beat, claims are granted from memory and logged later; nobody else can take the ranges without the platform, and a
 * later owner derives from the last beat that claims may be missing.
 */
public class ClaimOwner(
    private val table: TableService,
    private val clock: Clock,
    public val process: String,
    private val selfInstance: String,
    private val limits: ClaimLimits,
    private val ended: EndedInstances,
    private val newId: () -> String,
    private val commitWait: CommitWait = CommitWait.BLOCKING,
    public val pace: CommitPace = CommitPace(limits, clock),
) {
    private class OwnedRange(
        val row: ClaimRangeRow,
        val fence: Precondition,
    )

    private val json = Json
    private val owned = ConcurrentHashMap<Int, OwnedRange>()
    private val claims = ClaimTable(limits)

    private val heartbeat = ClaimHeartbeat(table, clock, process, limits, newId)

    /** The log behind the claims. */
    public val log: ClaimLog = ClaimLog(table, { owned[it]?.fence }, ::lose, clock::wallMs, newId, pace)

    /** The ranges owned now. */
    public val ownedRanges: Set<Int> get() = owned.keys

    /** The number of claims held in memory. */
    public val claimCount: Int get() = claims.size

    /** True while claims are granted from memory because the platform has been silent. */
    public val isMemoryMode: Boolean get() = heartbeat.isMemoryMode

    /** The process that owned each range when the platform was last read. */
    @Volatile
    public var knownRanges: Map<Int, ClaimRangeRow> = emptyMap()
        private set

    /** Answers a call for a claim; waits for the log at most [ClaimLimits.claimTimeoutMs]. */
    public fun claim(call: ClaimCall): OwnerAnswer {
        val range = rangeOf(call.key)
        val ownership = owned[range] ?: return OwnerAnswer.NotOwner
        val known = claims.find(call.key)
        if (known == null && mayBeMissing(ownership.row, call)) return OwnerAnswer.HistoryIncomplete
        val claim = claims.claim(call.key, call.attempt, clock.wallMs())
        if (claim.attempt != call.attempt) return answerFor(claim)
        return makeDurable(range, call)
    }

    /** Frees the key after [attempt] was certainly not dispatched. */
    public fun release(
        key: String,
        attempt: String,
    ) {
        if (claims.release(key, attempt)) log.append(rangeOf(key), ClaimLogLine(key, attempt, isRelease = true))
    }

    /** Records that [attempt] ran. */
    public fun complete(
        key: String,
        attempt: String,
        answer: UpstreamResponse?,
    ): Unit = claims.complete(key, attempt, answer)

    /** Writes the heartbeat. Call every [ClaimLimits.beatIntervalMs]. */
    public fun beat() {
        heartbeat.beat(hasUnlogged = { log.pendingCount > 0 })
        claims.dropExpired(clock.wallMs())
    }

    /** Takes free ranges up to [fairShare], and gives back those above it. */
    public fun rebalance(fairShare: Int) {
        if (!heartbeat.hasBeaten || isMemoryMode) return
        val rows = (table.scan(RANGE_PREFIX) as? PlatformResult.Ok ?: return).value
        val known = rows.associate { row -> decodeRange(row).let { it.range to RangeState(it, row.revision) } }
        knownRanges = known.mapValues { it.value.row }
        dropLost(known)
        giveBackAbove(fairShare)
        for (range in 0 until CLAIM_RANGES) {
            if (owned.size >= fairShare) return
            val state = known[range]
            when {
                owned.containsKey(range) -> Unit
                state?.row?.owner == process -> adopt(state)
                isFree(state) -> take(range, state)
            }
        }
    }

    /** Gives back every range at a graceful stop, after the log has been committed. */
    public fun releaseAll() {
        if (log.pendingCount > 0) return
        owned.values.toList().forEach(::giveBack)
    }

    private class RangeState(
        val row: ClaimRangeRow,
        val revision: Long,
    )

    private fun answerFor(claim: Claim): OwnerAnswer {
        val answer = claim.answer
        return if (answer != null) OwnerAnswer.Completed(answer) else OwnerAnswer.Taken(claim.isCompleted)
    }

    private fun mayBeMissing(
        row: ClaimRangeRow,
        call: ClaimCall,
    ): Boolean {
        val gapUntilMs = row.historyGapUntilMs
        if (gapUntilMs == 0L || call.isFirstSend) return false
        if (clock.wallMs() - gapUntilMs > limits.retentionMs) return false
        return call.firstSentMs == null || call.firstSentMs <= gapUntilMs
    }

    private fun makeDurable(
        range: Int,
        call: ClaimCall,
    ): OwnerAnswer {
        val isFromMemory = isMemoryMode
        val logged = log.append(range, ClaimLogLine(call.key, call.attempt))
        if (isFromMemory && isMemoryMode) return grantedFromMemory(range, call)
        if (commitWait.await(logged, limits.claimTimeoutMs)) return OwnerAnswer.Granted
        release(call.key, call.attempt)
        return if (owned.containsKey(range)) OwnerAnswer.NotDurable else OwnerAnswer.NotOwner
    }

    /** A range that is being given back either waits for the line just appended, or is seen to be gone here. */
    private fun grantedFromMemory(
        range: Int,
        call: ClaimCall,
    ): OwnerAnswer {
        if (owned.containsKey(range)) return OwnerAnswer.Granted
        release(call.key, call.attempt)
        return OwnerAnswer.NotOwner
    }

    private fun isFree(state: RangeState?): Boolean {
        if (state == null || state.row.owner.isEmpty()) return true
        if (state.row.owner == process) return false
        return state.row.ownerInstance == selfInstance || ended.endedAtMs(state.row.ownerInstance) != null
    }

    private fun take(
        range: Int,
        state: RangeState?,
    ) {
        val gapUntilMs = gapBehind(state) ?: return
        val row = ClaimRangeRow(range, process, selfInstance, (state?.row?.epoch ?: 0) + 1, gapUntilMs)
        val transaction = Transaction(newId(), listOf(Precondition(rangeKey(range), state?.revision ?: 0)), listOf(row.asWrite()))
        val committed = table.transactExactlyOnce(transaction) as? PlatformResult.Ok ?: return
        adopt(RangeState(row, committed.value))
    }

    /** Reads the log of a range whose row names this process, and starts to grant on it. */
    private fun adopt(state: RangeState) {
        val range = state.row.range
        val lines = (table.scan(logPrefix(range)) as? PlatformResult.Ok ?: return).value
        val batches = lines.sortedBy { it.revision }.map { json.decodeFromString(ClaimLogBatch.serializer(), it.value) }
        batches.forEach { claims.load(it.lines, it.wallMs) }
        owned[range] = OwnedRange(state.row, Precondition(rangeKey(range), state.revision))
    }

    /** Returns the gap behind a former owner, or null when its last beat cannot be read. */
    private fun gapBehind(state: RangeState?): Long? {
        if (state == null) return 0
        if (state.row.owner.isEmpty()) return state.row.historyGapUntilMs
        val read = table.read(beatKey(state.row.owner)) as? PlatformResult.Ok ?: return null
        val lastBeatWallMs = read.value?.let { json.decodeFromString(ClaimBeat.serializer(), it.value).wallMs } ?: 0
        val nowWallMs = clock.wallMs()
        val endedAtMs = ended.endedAtMs(state.row.ownerInstance) ?: nowWallMs
        return maxOf(state.row.historyGapUntilMs, historyGapUntilMs(limits, lastBeatWallMs, endedAtMs, nowWallMs))
    }

    private fun dropLost(known: Map<Int, RangeState>) {
        owned.values
            .filter { known[it.row.range]?.row?.owner != process }
            .forEach { lose(it.row.range) }
    }

    private fun giveBackAbove(fairShare: Int) {
        val excess = (owned.size - fairShare).coerceAtLeast(0)
        owned.values
            .sortedByDescending { it.row.range }
            .take(excess)
            .forEach(::giveBack)
    }

    /**
     * Stops granting first, so that no claim is granted after the row is free. When the row may or may not be free, the
     * range stays unowned until a scan shows whose it is.
     */
    private fun giveBack(range: OwnedRange) {
        owned.remove(range.row.range)
        if (log.pendingCount > 0) {
            owned[range.row.range] = range
            return
        }
        val freed = range.row.copy(owner = "", ownerInstance = "", epoch = range.row.epoch + 1)
        val result = table.transactExactlyOnce(Transaction(newId(), listOf(range.fence), listOf(freed.asWrite())))
        val isUntouched = result is PlatformResult.Failed && !result.mayHaveApplied
        if (isUntouched) owned[range.row.range] = range else claims.dropRange(range.row.range)
    }

    private fun lose(range: Int) {
        owned.remove(range)
        claims.dropRange(range)
    }
}
