/*
 * Elects the owner: every entry watches the owner row and claims the ownership once the holder appears to have failed. A false
 * suspicion costs work but not safety, which rests on the new owner's fence and on its wait for the leases of workers that
 * do not answer.
 */
package io.corianderrock.jobs.ownership

import io.corianderrock.jobs.ports.ChangeResult
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.ReadResult
import io.corianderrock.jobs.ports.RowChange

/** The owner as an entry last read it. */
public data class KnownOwner(
    val row: OwnerRow,
    val isSelf: Boolean,
)

/** The owner before a claim, with what bounds the time until which it may have sent orders. */
public data class EarlierOwner(
    /** False when there was no owner before. */
    val existed: Boolean,
    /** True when it was this entry, in an earlier process or an earlier term of this one. */
    val isSameEntry: Boolean,
    /** Loop time by which its last write had been made. */
    val lastWriteByMs: Long,
    /** True when it sent no order after its last write: it released the ownership, or its process has ended. */
    val hasStopped: Boolean,
    /** For how many milliseconds after its last write the owners before it may have sent orders. */
    val earlierOrdersWindowMs: Long = 0,
) {
    /** Loop time after which no earlier owner sends an order; an owner stops sending [freshnessMs] after its last write. */
    public fun ordersEndMs(freshnessMs: Long): Long =
        lastWriteByMs + if (hasStopped) earlierOrdersWindowMs else maxOf(earlierOrdersWindowMs, freshnessMs)
}

/**
 * Claims the ownership for the entry [name], whose peers reach it at [address]. Runs on [loop] where nothing else is said;
 * [onOwned] gets the owner row, its version and the owner before.
 */
public class OwnerElector(
    private val name: String,
    private val address: String,
    /** Processor time of this entry, in thousandths of a core. Entries with less than some holder has had claim later. */
    private val processorMilli: Int,
    private val loop: EventLoop,
    private val tables: JobTables,
    private val log: DecisionLog,
    peers: PeerStatusClient,
    private val directory: PeerDirectory,
    /** False while this entry is the owner and its writes are not answered. Called from any thread. */
    private val canWrite: () -> Boolean,
    private val onOwned: (OwnerRow, Long, EarlierOwner) -> Unit,
    /** Called when a peer knows an owner of a later epoch while this entry still takes itself for the owner. */
    private val onSuperseded: (OwnerSighting) -> Unit,
    /** Called when a peer has answered. */
    private val onPeerAnswered: (PeerStatus) -> Unit,
    /** True while peers are to be asked although the store answers. */
    private val isSeekingPeers: () -> Boolean = { false },
) {
    @Volatile
    private var lastRow: OwnerRow? = null

    @Volatile
    private var sighting: OwnerSighting? = null
    private var unchangedSinceMs = 0L
    private var isClaiming = false

    @Volatile
    private var isOwner = false
    private var isStopped = false
    private val storeReach = StoreReach(loop)
    private val failureDetector = OwnerFailureDetector(loop, peers, ::readRow)
    private val inquiry =
        PeerInquiry(loop, peers, directory, { !isStopped && (isStoreLost || storeReach.isOverdue || isSeekingPeers()) }, ::onPeerStatus)

    /** Loop time from which a claim is due, [Long.MAX_VALUE] while none is. */
    private var claimAtMs = Long.MAX_VALUE

    /** Loop time by which earlier terms of this entry had ended: those of earlier processes before the start of this one. */
    private var earlierTermsEndMs = loop.nowMs
    private var hasReadOnce = false
    private var readAtMs = Long.MIN_VALUE / 2

    /** A claim of this process whose answer was lost: it may have been applied. */
    private var unansweredClaim: Claim? = null

    /** The epoch of the last claim until its outcome is known. */
    @Volatile
    private var openClaimEpoch: Long? = null

    private class Claim(
        val row: OwnerRow,
        val earlier: EarlierOwner,
    )

    /** The latest owner that was read or that a peer knows of, null while there is none. Callable from any thread. */
    public val owner: OwnerSighting?
        get() {
            val row = lastRow
            val seen = sighting
            if (seen != null && seen.epoch > (row?.epoch ?: 0)) return seen
            return row?.takeIf { it.holder.isNotEmpty() }?.let { OwnerSighting(it.address, it.epoch) }
        }

    /** True while the store does not answer this entry. Callable from any thread. */
    public val isStoreLost: Boolean get() = if (isOwner) !canWrite() else storeReach.isLost

    /** True while the store answers this entry, but slowly. The owner counts as having a sound store. Callable from any thread. */
    public val isStoreSlow: Boolean get() = !isOwner && storeReach.isSlow

    /**
     * How long the store has not answered this entry, in milliseconds; for the owner, the least time after which unanswered writes
     * count as lost. Callable from any thread.
     */
    public val storeSilentMs: Long
        get() =
            when {
                !isOwner -> storeReach.silentMs
                canWrite() -> 0
                else -> LOST_WRITES_MS
            }

    /** What this entry answers when a peer asks. Callable from any thread. */
    public fun status(): PeerStatus {
        // Read before the rest: a claim is closed only once the ownership it has won is visible.
        val claimedEpoch = openClaimEpoch
        return PeerStatus(owner, isOwner, canWrite = !isOwner || canWrite(), claimedEpoch = claimedEpoch)
    }

    /** Starts to read the owner row every [POLL_INTERVAL_MS], and to ask peers while it cannot be read. */
    public fun start() {
        poll()
        inquiry.start()
    }

    /** Stops watching and claiming. A claim that was applied, or may have been, is released. */
    public fun stop() {
        isStopped = true
        openClaimEpoch = null
        unansweredClaim?.let { releaseAbandonedClaim(it.row) }
    }

    /** Called when the scheduler of this entry has lost the ownership; watching resumes. */
    public fun onLost() {
        isOwner = false
        earlierTermsEndMs = loop.nowMs
        claimAtMs = Long.MAX_VALUE
        readRow()
    }

    /** Called when [refusedAddress] refuses connections: the owner there is suspected dead. Callable from any thread. */
    public fun suspectDead(refusedAddress: String) {
        loop.post {
            if (lastRow?.address == refusedAddress && !isOwner) failureDetector.suspect("connection_refused")
        }
    }

    private fun onPeerStatus(status: PeerStatus) {
        onPeerAnswered(status)
        status.owner?.let(::onSighting)
    }

    private fun onSighting(seen: OwnerSighting) {
        directory.add(seen.address)
        if (seen.epoch <= (owner?.epoch ?: 0)) return
        log.write("owner_sighted", "address", seen.address, "epoch", seen.epoch, "isOwner", isOwner)
        sighting = seen
        if (isOwner) onSuperseded(seen)
    }

    /** Called when the entry last read as the owner answers that it is not: the row is read again. Callable from any thread. */
    public fun suspectHandover() {
        loop.post {
            if (loop.nowMs - readAtMs < SUSPECTED_READ_INTERVAL_MS) return@post
            readRow()
        }
    }

    private fun poll() {
        if (isStopped) return
        if (!isOwner) readRow()
        loop.after(if (storeReach.isLost) LOST_POLL_INTERVAL_MS else POLL_INTERVAL_MS) { poll() }
    }

    private fun readRow() {
        if (isStopped || isOwner || isClaiming) return
        val sentAtMs = loop.nowMs
        readAtMs = sentAtMs
        storeReach.onReadSent()
        tables.read(OwnerRow.KEY) { result ->
            val tookMs = loop.nowMs - sentAtMs
            storeReach.onReadEnded(isAnswered = result is ReadResult.Rows, tookMs = tookMs)
            if (result is ReadResult.Rows) onRead(result, tookMs)
        }
    }

    private fun onRead(
        result: ReadResult.Rows,
        tookMs: Long,
    ) {
        if (isOwner || isStopped || isClaiming) return
        val stored = result.rows.firstOrNull()
        val row = stored?.let { OwnerRow.decode(it.value) }
        failureDetector.onRowRead(lastRow, row, tookMs)
        if (row != lastRow || !hasReadOnce) {
            hasReadOnce = true
            if (row?.holder != lastRow?.holder || row?.epoch != lastRow?.epoch) {
                log.write("owner_seen", "holder", row?.holder, "epoch", row?.epoch)
            }
            lastRow = row
            unchangedSinceMs = loop.nowMs
            row?.let { directory.add(it.address) }
        }
        val claim = unansweredClaim
        if (claim != null &&
            stored != null &&
            row == claim.row
        ) {
            becomeOwner(row, stored.version, claim.earlier)
        } else {
            claimIfVacant(row, stored?.version ?: 0)
        }
    }

    private fun claimIfVacant(
        row: OwnerRow?,
        version: Long,
    ) {
        val reason =
            when {
                row == null || row.holder.isEmpty() -> "unowned"
                row.holder == name && row.address == address -> "own_earlier_process"
                else -> failureDetector.failureOf(row)
            }
        if (reason == null) {
            claimAtMs = Long.MAX_VALUE
            return
        }
        if (claimAtMs == Long.MAX_VALUE) claimAtMs = loop.nowMs + if (reason == "own_earlier_process") 0 else claimDelayMs(row)
        if (loop.nowMs >= claimAtMs) claim(row, version, reason) else loop.after(claimAtMs - loop.nowMs) { readRow() }
    }

    /**
     * Entries look at the row at different times, half a second apart. The delay of those with less processor time is longer than
     * that, since the owner's work grows with the whole fleet while entries differ by a factor of four.
     */
    private fun claimDelayMs(row: OwnerRow?): Long =
        CLAIM_DELAY_MS +
            when {
                row == null -> SMALL_ENTRY_DELAY_MS * (AMPLE_PROCESSOR_MILLI - processorMilli).coerceAtLeast(0) / AMPLE_PROCESSOR_MILLI
                processorMilli < row.processorMilli -> SMALL_ENTRY_DELAY_MS
                else -> 0
            }

    private fun claim(
        row: OwnerRow?,
        version: Long,
        reason: String,
    ) {
        isClaiming = true
        val earlier = earlierOwner(row)
        val earlierOrdersWindowMs = maxOf(0, earlier.ordersEndMs(LONGEST_ORDER_FRESHNESS_MS) - loop.nowMs)
        val largestProcessorMilli = maxOf(processorMilli, row?.processorMilli ?: 0)
        val next = OwnerRow(name, address, (row?.epoch ?: 0) + 1, 1, earlierOrdersWindowMs, largestProcessorMilli)
        val change = RowChange(expected = mapOf(OwnerRow.KEY to version), puts = mapOf(OwnerRow.KEY to next.encode()))
        val sinceLastMs = loop.nowMs - unchangedSinceMs
        openClaimEpoch = next.epoch
        tables.commit(change) { result ->
            isClaiming = false
            claimAtMs = Long.MAX_VALUE
            log.write("owner_claim", "epoch", next.epoch, "reason", reason, "unchangedMs", sinceLastMs, "result", result)
            when (result) {
                is ChangeResult.Committed -> becomeOwner(next, result.version, earlier)
                is ChangeResult.Conflict -> resolveConflict(result, next, earlier)
                is ChangeResult.Failed -> {
                    if (result.mayHaveApplied) unansweredClaim = Claim(next, earlier) else openClaimEpoch = null
                    if (result.mayHaveApplied && isStopped) releaseAbandonedClaim(next)
                    loop.after(CLAIM_RETRY_MS) { readRow() }
                }
            }
        }
    }

    /** The row in conflict may hold this entry's own claim, applied although its answer was lost. */
    private fun resolveConflict(
        conflict: ChangeResult.Conflict,
        claimed: OwnerRow,
        earlier: EarlierOwner,
    ) {
        val row = conflict.rows.firstOrNull()
        if (row != null && OwnerRow.decode(row.value) == claimed) {
            becomeOwner(claimed, row.version, earlier)
        } else {
            openClaimEpoch = null
            if (row != null) readRow()
        }
    }

    private fun earlierOwner(row: OwnerRow?): EarlierOwner {
        val isSameEntry = row != null && row.holder == name && row.address == address
        return EarlierOwner(
            existed = row != null,
            isSameEntry = isSameEntry,
            lastWriteByMs = if (isSameEntry) earlierTermsEndMs else unchangedSinceMs,
            hasStopped = row == null || row.holder.isEmpty() || isSameEntry,
            earlierOrdersWindowMs = row?.earlierOrdersWindowMs ?: 0,
        )
    }

    private fun becomeOwner(
        row: OwnerRow,
        version: Long,
        earlier: EarlierOwner,
    ) {
        if (isStopped) {
            release(row, version)
            return
        }
        isOwner = true
        unansweredClaim = null
        lastRow = row
        openClaimEpoch = null
        onOwned(row, version, earlier)
    }

    /** Releases [claimed] if it was applied; other entries would otherwise wait until it has been silent for long. */
    private fun releaseAbandonedClaim(claimed: OwnerRow) {
        tables.read(OwnerRow.KEY) { result ->
            val stored = (result as? ReadResult.Rows)?.rows?.firstOrNull()
            val row = stored?.let { OwnerRow.decode(it.value) }
            when {
                result is ReadResult.Failed -> loop.after(CLAIM_RETRY_MS) { releaseAbandonedClaim(claimed) }
                stored != null && row == claimed -> release(claimed, stored.version)
                // The claim may still be in flight; once the row has changed, its precondition fails.
                stored != null && row == lastRow -> loop.after(CLAIM_RETRY_MS) { releaseAbandonedClaim(claimed) }
            }
        }
    }

    private fun release(
        row: OwnerRow,
        version: Long,
    ) {
        val change = RowChange(expected = mapOf(OwnerRow.KEY to version), puts = mapOf(OwnerRow.KEY to row.released().encode()))
        tables.commit(change) { result ->
            log.write("owner_claim_given_back", "epoch", row.epoch, "result", result)
            if (result is ChangeResult.Failed) loop.after(CLAIM_RETRY_MS) { releaseAbandonedClaim(row) }
        }
    }

    internal companion object {
        /** An owner sends no order later than this after its last confirmed write. */
        const val LONGEST_ORDER_FRESHNESS_MS = 4_000L

        /** An owner that is still running is not replaced sooner than this after its last write. */
        const val SOONEST_TAKEOVER_MS = OwnerFailureDetector.PROBE_AFTER_MS

        /** Delay of every claim, in which a write of the holder that is under way still counts. */
        private const val CLAIM_DELAY_MS = 20L

        /** Further delay of a claim by an entry with less processor time than others are known to have, above [POLL_INTERVAL_MS]. */
        private const val SMALL_ENTRY_DELAY_MS = 600L

        /** Processor time from which an entry claims a row that never had a holder without delay. */
        private const val AMPLE_PROCESSOR_MILLI = 1_500

        /** How often an entry reads the owner row. */
        private const val POLL_INTERVAL_MS = 500L

        /** How often it reads the row while the store does not answer, so that it serves soon after the outage or partition. */
        private const val LOST_POLL_INTERVAL_MS = 250L

        /** An owner's store counts as lost once its writes have had no answer for this long. */
        private const val LOST_WRITES_MS = 800L

        /** Minimum time between reads on suspicion of a handover, which many requests may report at once. */
        private const val SUSPECTED_READ_INTERVAL_MS = 150L

        /** Delay before the row is read again after a claim or release that failed or whose answer was lost. */
        private const val CLAIM_RETRY_MS = 150L
    }
}
