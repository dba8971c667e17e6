/*
 * Elects the owner: every entry watches the owner row and claims the ownership once the holder appears to be dead. A false
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
    /** True when it was an earlier process of this entry. */
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
    /** Delay before a claim in milliseconds, less for entries with more processor time, so that these win. */
    private val claimDelayMs: Long,
    private val loop: EventLoop,
    private val tables: JobTables,
    private val log: DecisionLog,
    private val onOwned: (OwnerRow, Long, EarlierOwner) -> Unit,
) {
    @Volatile
    private var lastRow: OwnerRow? = null
    private var unchangedSinceMs = 0L
    private var isClaiming = false
    private var isOwner = false
    private var isStopped = false

    /** Loop time from which a claim is due, [Long.MAX_VALUE] while none is. */
    private var claimAtMs = Long.MAX_VALUE
    private var isSuspectedDead = false
    private val processStartMs = loop.nowMs
    private var hasReadOnce = false
    private var readAtMs = Long.MIN_VALUE / 2

    /** A claim of this process whose answer was lost: it may have been applied. */
    private var unansweredClaim: Claim? = null

    private class Claim(
        val row: OwnerRow,
        val earlier: EarlierOwner,
    )

    /** The owner as last read, null while there is none. Callable from any thread. */
    public val owner: OwnerRow? get() = lastRow?.takeIf { it.holder.isNotEmpty() }

    /** Starts to read the owner row every [POLL_INTERVAL_MS]. */
    public fun start(): Unit = poll()

    /** Stops watching and claiming. A claim that was applied, or may have been, is released. */
    public fun stop() {
        isStopped = true
        unansweredClaim?.let { releaseAbandonedClaim(it.row) }
    }

    /** Called when the scheduler of this entry has lost the ownership; watching resumes. */
    public fun onLost() {
        isOwner = false
        claimAtMs = Long.MAX_VALUE
        readRow()
    }

    /** Called when [refusedAddress] refuses connections: the owner there is suspected dead. Callable from any thread. */
    public fun suspectDead(refusedAddress: String) {
        loop.post {
            if (!isSuspectedDead && lastRow?.address == refusedAddress && !isOwner) {
                isSuspectedDead = true
                readRow()
            }
        }
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
        loop.after(POLL_INTERVAL_MS) { poll() }
    }

    private fun readRow() {
        if (isStopped || isOwner || isClaiming) return
        readAtMs = loop.nowMs
        tables.read(OwnerRow.KEY) { if (it is ReadResult.Rows) onRead(it) }
    }

    private fun onRead(result: ReadResult.Rows) {
        if (isOwner || isStopped || isClaiming) return
        val stored = result.rows.firstOrNull()
        val row = stored?.let { OwnerRow.decode(it.value) }
        if (row != lastRow || !hasReadOnce) {
            hasReadOnce = true
            if (row?.holder != lastRow?.holder || row?.epoch != lastRow?.epoch) {
                log.write("owner_seen", "holder", row?.holder, "epoch", row?.epoch)
            }
            lastRow = row
            unchangedSinceMs = loop.nowMs
            isSuspectedDead = false
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
        val waitedMs = loop.nowMs - unchangedSinceMs
        val reason =
            when {
                row == null || row.holder.isEmpty() -> "unowned"
                row.holder == name && row.address == address -> "own_earlier_process"
                isSuspectedDead -> "connection_refused"
                waitedMs >= TAKEOVER_AFTER_MS -> "silent"
                else -> null
            }
        if (reason == null) {
            claimAtMs = Long.MAX_VALUE
            return
        }
        if (claimAtMs == Long.MAX_VALUE) claimAtMs = loop.nowMs + if (reason == "own_earlier_process") 0 else claimDelayMs
        if (loop.nowMs >= claimAtMs) claim(row, version, reason) else loop.after(claimAtMs - loop.nowMs) { readRow() }
    }

    private fun claim(
        row: OwnerRow?,
        version: Long,
        reason: String,
    ) {
        isClaiming = true
        val earlier = earlierOwner(row)
        val earlierOrdersWindowMs = maxOf(0, earlier.ordersEndMs(LONGEST_ORDER_FRESHNESS_MS) - loop.nowMs)
        val next = OwnerRow(name, address, (row?.epoch ?: 0) + 1, 1, earlierOrdersWindowMs)
        val change = RowChange(expected = mapOf(OwnerRow.KEY to version), puts = mapOf(OwnerRow.KEY to next.encode()))
        val sinceLastMs = loop.nowMs - unchangedSinceMs
        tables.commit(change) { result ->
            isClaiming = false
            claimAtMs = Long.MAX_VALUE
            log.write("owner_claim", "epoch", next.epoch, "reason", reason, "unchangedMs", sinceLastMs, "result", result)
            when (result) {
                is ChangeResult.Committed -> becomeOwner(next, result.version, earlier)
                is ChangeResult.Conflict -> resolveConflict(result, next, earlier)
                is ChangeResult.Failed -> {
                    if (result.mayHaveApplied) unansweredClaim = Claim(next, earlier)
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
        val row = conflict.rows.firstOrNull() ?: return
        if (OwnerRow.decode(row.value) == claimed) becomeOwner(claimed, row.version, earlier) else readRow()
    }

    private fun earlierOwner(row: OwnerRow?): EarlierOwner {
        val isSameEntry = row != null && row.holder == name && row.address == address
        return EarlierOwner(
            existed = row != null,
            isSameEntry = isSameEntry,
            lastWriteByMs = if (isSameEntry) processStartMs else unchangedSinceMs,
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
        onOwned(row, version, earlier)
    }

    /** Releases [claimed] if it was applied; other entries would otherwise wait [TAKEOVER_AFTER_MS] before they claim. */
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

        /** How often an entry reads the owner row. */
        private const val POLL_INTERVAL_MS = 800L

        /** An owner row unchanged for this long, four missed renewals, is taken to have lost its holder. */
        private const val TAKEOVER_AFTER_MS = 2_900L

        /** Minimum time between reads on suspicion of a handover, which many requests may report at once. */
        private const val SUSPECTED_READ_INTERVAL_MS = 150L

        /** Delay before the row is read again after a claim or release that failed or whose answer was lost. */
        private const val CLAIM_RETRY_MS = 150L
    }
}
