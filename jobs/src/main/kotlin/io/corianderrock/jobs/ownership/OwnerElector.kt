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
import kotlin.random.Random

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
    /** Spreads the retries of entries, which must not share a seed. */
    random: Random = Random(address.hashCode()),
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
    private val claimTurn = ClaimTurn(loop, address, random)
    private val claimRelease = ClaimRelease(loop, tables, log, random) { lastRow }
    private val readTimer = EarliestTimer(loop, ::readUnlessWaiting)
    private val failureDetector = OwnerFailureDetector(loop, peers, readTimer::runAfter)
    private val inquiry = PeerInquiry(loop, peers, directory, ::isAskingPeers, onResult = ::onPeerResult)
    private val candidateInquiry =
        PeerInquiry(
            loop = loop,
            client = peers,
            directory = directory,
            isNeeded = { !isStopped && !isOwner && claimAtMs != Long.MAX_VALUE },
            peersPerRound = CANDIDATES_PER_ROUND,
            first = ::front,
            onResult = ::onPeerResult,
        )

    /** Loop time from which a claim is due, [Long.MAX_VALUE] while none is. */
    private var claimAtMs = Long.MAX_VALUE

    /** Loop time by which earlier terms of this entry had ended: those of earlier processes before the start of this one. */
    private var earlierTermsEndMs = loop.nowMs
    private var hasReadOnce = false
    private var readAtMs = Long.MIN_VALUE / 2

    /** A claim of this process whose answer was lost: it may have been applied. */
    private var unansweredClaim: Claim? = null

    /** Least time since the last read before one on suspicion of a handover. Rises while such reads find the row unchanged. */
    private var suspectedReadIntervalMs = SUSPECTED_READ_INTERVAL_MS

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
        val claimedEpoch = openClaimEpoch ?: claimTurn.candidateEpoch
        return PeerStatus(owner, isOwner, canWrite = !isOwner || canWrite(), claimedEpoch = claimedEpoch)
    }

    /** Starts to read the owner row every [POLL_INTERVAL_MS], and to ask peers while it cannot be read. */
    public fun start() {
        poll()
        inquiry.start()
        candidateInquiry.start()
    }

    /** Stops watching and claiming. A claim that was applied, or may have been, is released. */
    public fun stop() {
        isStopped = true
        openClaimEpoch = null
        claimTurn.settle()
        unansweredClaim?.let { claimRelease.releaseIfApplied(it.row) }
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

    private fun isAskingPeers(): Boolean = !isStopped && (isStoreLost || storeReach.isOverdue || isSeekingPeers())

    private fun onPeerResult(
        peerAddress: String,
        result: PeerStatusResult,
    ) {
        val status = (result as? PeerStatusResult.Answered)?.status
        claimTurn.onPeer(peerAddress, status?.claimedEpoch)
        if (status == null) return
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
            if (loop.nowMs - readAtMs < suspectedReadIntervalMs) return@post
            suspectedReadIntervalMs = minOf(2 * suspectedReadIntervalMs, LONGEST_SUSPECTED_READ_INTERVAL_MS)
            readRow()
        }
    }

    private fun poll() {
        if (isStopped) return
        if (!isOwner) readRow()
        loop.after(if (storeReach.isLost) LOST_POLL_INTERVAL_MS else POLL_INTERVAL_MS) { poll() }
    }

    private fun readUnlessWaiting() {
        if (front() == null) readRow() else readTimer.runAfter(FRONT_CHECK_INTERVAL_MS)
    }

    /** The peer that this entry lets claim the next epoch. */
    private fun front(): String? = claimTurn.frontOf((lastRow?.epoch ?: 0) + 1)

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
            claimAtMs = Long.MAX_VALUE
            suspectedReadIntervalMs = SUSPECTED_READ_INTERVAL_MS
            claimTurn.settle()
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
            if (!claimTurn.isCandidate) claimAtMs = Long.MAX_VALUE
            return
        }
        if (claimAtMs == Long.MAX_VALUE) {
            claimAtMs = loop.nowMs + if (reason == "own_earlier_process") 0 else claimDelayMs(row, processorMilli)
            candidateInquiry.askNow(CANDIDATES_AT_ONCE)
        }
        when {
            loop.nowMs < claimAtMs -> readTimer.runAfter(claimAtMs - loop.nowMs)
            front() != null -> waitForFront((row?.epoch ?: 0) + 1)
            else -> claim(row, version, reason)
        }
    }

    private fun waitForFront(epoch: Long) {
        if (!claimTurn.isCandidate) claimAtMs = loop.nowMs + claimTurn.join(epoch)
        readTimer.runAfter(FRONT_CHECK_INTERVAL_MS)
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
        val sentAtMs = loop.nowMs
        openClaimEpoch = next.epoch
        tables.commit(change) { result ->
            isClaiming = false
            claimAtMs = Long.MAX_VALUE
            val tookMs = loop.nowMs - sentAtMs
            log.write("owner_claim", "epoch", next.epoch, "reason", reason, "unchangedMs", sinceLastMs, "tookMs", tookMs, "result", result)
            when (result) {
                is ChangeResult.Committed -> becomeOwner(next, result.version, earlier)
                is ChangeResult.Conflict -> resolveConflict(result, next, earlier)
                is ChangeResult.Failed -> {
                    if (result.mayHaveApplied) unansweredClaim = Claim(next, earlier) else openClaimEpoch = null
                    if (isStopped) {
                        if (result.mayHaveApplied) claimRelease.releaseIfApplied(next)
                    } else {
                        repeatClaimLater(row, next.epoch)
                    }
                }
            }
        }
    }

    private fun repeatClaimLater(
        row: OwnerRow?,
        epoch: Long,
    ) {
        val delayMs = claimTurn.onRefused(epoch) + claimDelayMs(row, processorMilli)
        claimAtMs = loop.nowMs + delayMs
        log.write("owner_claim_delayed", "epoch", epoch, "delayMs", delayMs, "front", front())
        readTimer.runAfter(delayMs)
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
            claimRelease.release(row, version)
            return
        }
        isOwner = true
        claimTurn.settle()
        unansweredClaim = null
        lastRow = row
        openClaimEpoch = null
        onOwned(row, version, earlier)
    }

    internal companion object {
        /** An owner sends no order later than this after its last confirmed write. */
        const val LONGEST_ORDER_FRESHNESS_MS = 4_000L

        /** An owner that is still running is not replaced sooner than this after its last write. */
        const val SOONEST_TAKEOVER_MS = OwnerFailureDetector.PROBE_AFTER_MS

        /** How often an entry reads the owner row. */
        private const val POLL_INTERVAL_MS = 500L

        /** How often it reads the row while the store does not answer, so that it serves soon after the outage or partition. */
        private const val LOST_POLL_INTERVAL_MS = 250L

        /** An owner's store counts as lost once its writes have had no answer for this long. */
        private const val LOST_WRITES_MS = 800L

        /** Minimum time between reads on suspicion of a handover, which many requests may report at once. */
        private const val SUSPECTED_READ_INTERVAL_MS = 150L

        /** Longest such time, above [POLL_INTERVAL_MS]: the regular reads then suffice. */
        private const val LONGEST_SUSPECTED_READ_INTERVAL_MS = 600L

        /** Peers asked before a first claim: one in eight entries that is a candidate already is then known to nearly all others. */
        private const val CANDIDATES_AT_ONCE = 16

        /** Peers asked in each round while a claim is repeated; two rounds are still known when the third begins. */
        private const val CANDIDATES_PER_ROUND = 8

        /** How often an entry that waits for the candidate in front looks whether it still has to; this asks neither peers nor the store. */
        private const val FRONT_CHECK_INTERVAL_MS = 100L
    }
}
