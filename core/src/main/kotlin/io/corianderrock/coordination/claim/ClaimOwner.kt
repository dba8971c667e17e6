/*
 * The owner of key ranges: acquires and releases ranges, and grants claims on their keys.
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

/**
 * A request for the claim on [key]. [attempt] is the id of the request to be dispatched. [isFirstSend] and
 * [firstSentMs], a wall-clock time or null if unknown, tell whether an earlier owner may have granted the key.
 */
public data class ClaimRequest(
    val key: String,
    val attempt: String,
    val isFirstSend: Boolean,
    val firstSentMs: Long?,
)

/** The owner's decision on a [ClaimRequest]. */
public sealed interface ClaimDecision {
    /** The attempt holds the claim. Also the decision on a repeated request of the holder. */
    public data object Granted : ClaimDecision

    /** The key's request ran; [response] is its complete response. */
    public data class Completed(
        val response: UpstreamResponse,
    ) : ClaimDecision

    /** Another attempt holds the claim; [isCompleted] is true if it is known to have run. */
    public data class Held(
        val isCompleted: Boolean,
    ) : ClaimDecision

    /** The key may have been granted by a former owner whose log is incomplete; the claim is refused. */
    public data object HistoryIncomplete : ClaimDecision

    /** This process does not own the key's range. */
    public data object NotOwner : ClaimDecision

    /** The claim was not committed within [ClaimLimits.claimTimeoutMs]; it is not granted. */
    public data object NotDurable : ClaimDecision
}

/** Reports the instances that have terminated for good. */
public fun interface TerminatedInstances {
    /** The wall-clock time in milliseconds at which [instance] terminated, or null while it may be alive. */
    public fun terminatedAtMs(instance: String): Long?
}

/** Waits for a log record to be committed. */
public fun interface CommitWait {
    /** Returns true once [committed] completes with true; false after [timeoutMs] or if ownership is lost. */
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
 * Owns ranges of the key space. Claims are granted on many threads; [sendHeartbeat] and [rebalance] are called by one
 * thread, the commits of [log] by another.
 *
 * While the platform answers, a claim is granted once it is in the log. After [ClaimLimits.writeBehindAfterMs] without a
 * heartbeat the owner switches to write-behind: claims are granted from memory and logged later. No other process can
 * acquire the ranges while the platform is down, and a later owner concludes from the age of the last heartbeat that
 * the log may be incomplete.
 */
public class ClaimOwner(
    private val table: TableService,
    private val clock: Clock,
    public val processId: String,
    private val selfInstance: String,
    private val limits: ClaimLimits,
    private val terminatedInstances: TerminatedInstances,
    private val newId: () -> String,
    private val commitWait: CommitWait = CommitWait.BLOCKING,
    public val commitRateLimiter: CommitRateLimiter = CommitRateLimiter(limits, clock),
    commitObserver: CommitObserver = CommitObserver {},
) {
    private class OwnedRange(
        val row: ClaimRangeRow,
        val fence: Precondition,
    )

    private val json = Json
    private val owned = ConcurrentHashMap<Int, OwnedRange>()
    private val claims = ClaimTable(limits)

    private val heartbeat = ClaimHeartbeat(table, clock, processId, limits, newId)

    /** The log behind the claims. */
    public val log: ClaimLog = ClaimLog(table, { owned[it]?.fence }, ::dropOwnership, clock, newId, commitRateLimiter, commitObserver)

    /** The ranges that this process owns, as a live view. */
    public val ownedRanges: Set<Int> get() = owned.keys

    /** The number of claims held in memory. */
    public val claimCount: Int get() = claims.size

    /** True while claims are granted before they are logged, because heartbeats have failed for too long. */
    public val isWriteBehind: Boolean get() = heartbeat.isWriteBehind

    /** The row of each range as of the last scan by [rebalance]. */
    @Volatile
    public var lastScannedRanges: Map<Int, ClaimRangeRow> = emptyMap()
        private set

    /** Decides on [request]; blocks for the log at most [ClaimLimits.claimTimeoutMs]. */
    public fun claim(request: ClaimRequest): ClaimDecision =
        when (val begun = begin(request)) {
            is BegunClaim.Decided -> begun.decision
            is BegunClaim.Logged -> decideLogged(request, commitWait.await(begun.committed, limits.claimTimeoutMs))
        }

    /** As [claim], but blocks no thread. The result completes on the thread that commits the log, or on one of the JDK's timer. */
    public fun claimAsync(request: ClaimRequest): CompletableFuture<ClaimDecision> =
        when (val begun = begin(request)) {
            is BegunClaim.Decided -> CompletableFuture.completedFuture(begun.decision)
            is BegunClaim.Logged ->
                begun.committed
                    .copy()
                    .completeOnTimeout(false, limits.claimTimeoutMs, TimeUnit.MILLISECONDS)
                    .thenApply { decideLogged(request, isCommitted = it) }
        }

    /** A claim that is decided, or that is granted once [Logged.committed] completes with true. */
    private sealed interface BegunClaim {
        class Decided(
            val decision: ClaimDecision,
        ) : BegunClaim

        class Logged(
            val committed: CompletableFuture<Boolean>,
        ) : BegunClaim
    }

    private fun begin(request: ClaimRequest): BegunClaim {
        val range = rangeOf(request.key)
        val ownership = owned[range] ?: return BegunClaim.Decided(ClaimDecision.NotOwner)
        val existing = claims.find(request.key)
        if (existing == null && isHistoryIncompleteFor(ownership.row, request)) return BegunClaim.Decided(ClaimDecision.HistoryIncomplete)
        val claim = claims.claim(request.key, request.attempt, clock.wallMs())
        if (claim.attempt != request.attempt) return BegunClaim.Decided(decisionFor(claim))
        val wasWriteBehind = isWriteBehind
        val committed = log.append(range, ClaimLogRecord(request.key, request.attempt))
        if (wasWriteBehind && isWriteBehind) return BegunClaim.Decided(grantWriteBehind(range, request))
        return BegunClaim.Logged(committed)
    }

    private fun decideLogged(
        request: ClaimRequest,
        isCommitted: Boolean,
    ): ClaimDecision {
        if (isCommitted) return ClaimDecision.Granted
        release(request.key, request.attempt)
        return if (owned.containsKey(rangeOf(request.key))) ClaimDecision.NotDurable else ClaimDecision.NotOwner
    }

    /** Releases the claim of [attempt], which was certainly not dispatched. */
    public fun release(
        key: String,
        attempt: String,
    ) {
        if (claims.release(key, attempt)) log.append(rangeOf(key), ClaimLogRecord(key, attempt, isRelease = true))
    }

    /** Records that [attempt] ran, with its complete [response] if there is one. */
    public fun complete(
        key: String,
        attempt: String,
        response: UpstreamResponse?,
    ): Unit = claims.complete(key, attempt, response)

    /** Writes the heartbeat and drops expired claims. Called every [ClaimLimits.heartbeatIntervalMs]. */
    public fun sendHeartbeat() {
        heartbeat.sendHeartbeat(hasUnlogged = { log.pendingCount > 0 })
        claims.dropExpired(clock.wallMs())
    }

    /** Releases ranges above [fairShare] and acquires free ranges up to it. Idle before the first heartbeat and in write-behind mode. */
    public fun rebalance(fairShare: Int) {
        if (!heartbeat.hasSentHeartbeat || isWriteBehind) return
        val rows = (table.scan(RANGE_PREFIX) as? PlatformResult.Ok ?: return).value
        val scanned = rows.associate { row -> decodeRange(row).let { it.range to RangeState(it, row.revision) } }
        lastScannedRanges = scanned.mapValues { it.value.row }
        dropLostRanges(scanned)
        releaseAbove(fairShare)
        for (range in 0 until CLAIM_RANGES) {
            if (owned.size >= fairShare) return
            val state = scanned[range]
            when {
                owned.containsKey(range) -> Unit
                state?.row?.owner == processId -> activate(state)
                isFree(state) -> acquireRange(range, state)
            }
        }
    }

    /** Releases every range at a graceful stop. Does nothing while records are uncommitted. */
    public fun releaseAll() {
        if (log.pendingCount > 0) return
        owned.values.toList().forEach(::releaseRange)
    }

    private class RangeState(
        val row: ClaimRangeRow,
        val revision: Long,
    )

    private fun decisionFor(claim: Claim): ClaimDecision {
        val response = claim.response
        return if (response != null) ClaimDecision.Completed(response) else ClaimDecision.Held(claim.isCompleted)
    }

    private fun isHistoryIncompleteFor(
        row: ClaimRangeRow,
        request: ClaimRequest,
    ): Boolean {
        val gapUntilMs = row.historyGapUntilMs
        if (gapUntilMs == 0L || request.isFirstSend) return false
        if (clock.wallMs() - gapUntilMs > limits.retentionMs) return false
        return request.firstSentMs == null || request.firstSentMs <= gapUntilMs
    }

    /** The record is appended before this check: a concurrent [releaseRange] sees the record, or this check sees its removal. */
    private fun grantWriteBehind(
        range: Int,
        request: ClaimRequest,
    ): ClaimDecision {
        if (owned.containsKey(range)) return ClaimDecision.Granted
        release(request.key, request.attempt)
        return ClaimDecision.NotOwner
    }

    private fun isFree(state: RangeState?): Boolean {
        if (state == null || state.row.owner.isEmpty()) return true
        if (state.row.owner == processId) return false
        return state.row.ownerInstance == selfInstance || terminatedInstances.terminatedAtMs(state.row.ownerInstance) != null
    }

    private fun acquireRange(
        range: Int,
        state: RangeState?,
    ) {
        val gapUntilMs = historyGapAfter(state) ?: return
        val row = ClaimRangeRow(range, processId, selfInstance, (state?.row?.epoch ?: 0) + 1, gapUntilMs)
        val transaction = Transaction(newId(), listOf(Precondition(rangeKey(range), state?.revision ?: 0)), listOf(row.asWrite()))
        val committed = table.transactExactlyOnce(transaction) as? PlatformResult.Ok ?: return
        activate(RangeState(row, committed.value))
    }

    /** Loads the log of a range whose row names this process, then starts to grant claims on it. */
    private fun activate(state: RangeState) {
        val range = state.row.range
        val rows = (table.scan(logPrefix(range)) as? PlatformResult.Ok ?: return).value
        val batches = rows.sortedBy { it.revision }.map { json.decodeFromString(ClaimLogBatch.serializer(), it.value) }
        batches.forEach { claims.load(it.records, it.wallMs) }
        owned[range] = OwnedRange(state.row, Precondition(rangeKey(range), state.revision))
    }

    /** The history gap after the former owner, or null when its last heartbeat cannot be read. */
    private fun historyGapAfter(state: RangeState?): Long? {
        if (state == null) return 0
        if (state.row.owner.isEmpty()) return state.row.historyGapUntilMs
        val read = table.read(heartbeatKey(state.row.owner)) as? PlatformResult.Ok ?: return null
        val lastHeartbeatWallMs = read.value?.let { json.decodeFromString(ClaimHeartbeatRow.serializer(), it.value).wallMs } ?: 0
        val nowWallMs = clock.wallMs()
        val terminatedAtMs = terminatedInstances.terminatedAtMs(state.row.ownerInstance) ?: nowWallMs
        return maxOf(state.row.historyGapUntilMs, historyGapUntilMs(limits, lastHeartbeatWallMs, terminatedAtMs, nowWallMs))
    }

    private fun dropLostRanges(scanned: Map<Int, RangeState>) {
        owned.values
            .filter { scanned[it.row.range]?.row?.owner != processId }
            .forEach { dropOwnership(it.row.range) }
    }

    private fun releaseAbove(fairShare: Int) {
        val excess = (owned.size - fairShare).coerceAtLeast(0)
        owned.values
            .sortedByDescending { it.row.range }
            .take(excess)
            .forEach(::releaseRange)
    }

    /**
     * Stops granting before the row is freed, so that no claim is granted afterwards. When the write may have applied,
     * the range stays unowned until a scan shows its owner.
     */
    private fun releaseRange(range: OwnedRange) {
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

    private fun dropOwnership(range: Int) {
        owned.remove(range)
        claims.dropRange(range)
    }
}
