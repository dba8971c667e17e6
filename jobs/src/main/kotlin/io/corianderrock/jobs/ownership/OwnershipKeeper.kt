/*
 * Watches the owner row from every entry and takes the ownership when its holder is gone. A wrong judgement costs work
 * but no safety: the new owner's fence and its wait for silent workers do not rely on it.
 */
package io.corianderrock.jobs.ownership

import io.corianderrock.jobs.ports.ChangeResult
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.ReadResult
import io.corianderrock.jobs.ports.RowChange

/** What an entry knows of the owner. */
public data class KnownOwner(
    val row: OwnerRow,
    val isSelf: Boolean,
)

/** What is known of the owner before: how long its orders may have been sent. */
public data class EarlierOwner(
    /** False when there was none. */
    val existed: Boolean,
    /** True when it was an earlier process of this entry. */
    val isSameEntry: Boolean,
    /** Loop time at which its last write had certainly been made. */
    val lastWriteByMs: Long,
    /** True when it ordered nothing after its last write: it gave the ownership back, or its process has ended. */
    val hasStopped: Boolean,
    /** How long after its last write owners before it may have sent orders. */
    val earlierOrdersWindowMs: Long = 0,
) {
    /** Loop time after which no earlier owner sends an order; an owner sends none [freshnessMs] after its last write. */
    public fun ordersEndMs(freshnessMs: Long): Long =
        lastWriteByMs + if (hasStopped) earlierOrdersWindowMs else maxOf(earlierOrdersWindowMs, freshnessMs)
}

/** Acquires the ownership for the entry [name] at [address]. */
public class OwnershipKeeper(
    private val name: String,
    private val address: String,
    /** Added before a claim, so that entries with more processor time win. */
    private val claimDelayMs: Long,
    private val loop: EventLoop,
    private val tables: JobTables,
    private val log: DecisionLog,
    private val onOwned: (OwnerRow, Long, EarlierOwner) -> Unit,
) {
    @Volatile
    private var known: OwnerRow? = null
    private var unchangedSinceMs = 0L
    private var isClaiming = false
    private var isOwner = false
    private var isStopped = false
    private var claimAtMs = Long.MAX_VALUE
    private var isSuspectedDead = false
    private val processStartMs = loop.nowMs
    private var hasReadOnce = false
    private var readAtMs = Long.MIN_VALUE / 2

    /** A claim of this process whose answer was lost, with the owner before it. */
    private var unansweredClaim: Claim? = null

    private class Claim(
        val row: OwnerRow,
        val earlier: EarlierOwner,
    )

    /** The owner as last read. Callable from any thread. */
    public val owner: OwnerRow? get() = known?.takeIf { it.holder.isNotEmpty() }

    /** Starts to watch. */
    public fun start(): Unit = poll()

    /** Stops to watch and never claims again; a claim that took effect, or may have, is given back. */
    public fun stop() {
        isStopped = true
        unansweredClaim?.let { releaseAbandonedClaim(it.row) }
    }

    /** The scheduler of this entry has lost its ownership. */
    public fun onLost() {
        isOwner = false
        claimAtMs = Long.MAX_VALUE
        readNow()
    }

    /** The owner's process refuses connections. Callable from any thread. */
    public fun suspectDead(refusedAddress: String) {
        loop.post {
            if (!isSuspectedDead && known?.address == refusedAddress && !isOwner) {
                isSuspectedDead = true
                readNow()
            }
        }
    }

    /** The entry that is taken for the owner says that it is not. Callable from any thread. */
    public fun suspectHandover() {
        loop.post {
            if (loop.nowMs - readAtMs < SUSPECTED_READ_INTERVAL_MS) return@post
            readNow()
        }
    }

    private fun poll() {
        if (isStopped) return
        if (!isOwner) readNow()
        loop.after(POLL_INTERVAL_MS) { poll() }
    }

    private fun readNow() {
        if (isStopped || isOwner || isClaiming) return
        readAtMs = loop.nowMs
        tables.read(OwnerRow.KEY) { if (it is ReadResult.Rows) onRead(it) }
    }

    private fun onRead(result: ReadResult.Rows) {
        if (isOwner || isStopped || isClaiming) return
        val stored = result.rows.firstOrNull()
        val row = stored?.let { OwnerRow.decode(it.value) }
        if (row != known || !hasReadOnce) {
            hasReadOnce = true
            if (row?.holder != known?.holder || row?.epoch != known?.epoch) {
                log.write("owner_seen", "holder", row?.holder, "epoch", row?.epoch)
            }
            known = row
            unchangedSinceMs = loop.nowMs
            isSuspectedDead = false
        }
        val claim = unansweredClaim
        if (claim != null &&
            stored != null &&
            row == claim.row
        ) {
            own(row, stored.version, claim.earlier)
        } else {
            judge(row, stored?.version ?: 0)
        }
    }

    private fun judge(
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
        if (loop.nowMs >= claimAtMs) claim(row, version, reason) else loop.after(claimAtMs - loop.nowMs) { readNow() }
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
                is ChangeResult.Committed -> own(next, result.version, earlier)
                is ChangeResult.Conflict -> adopt(result, next, earlier)
                is ChangeResult.Failed -> {
                    if (result.mayHaveApplied) unansweredClaim = Claim(next, earlier)
                    if (result.mayHaveApplied && isStopped) releaseAbandonedClaim(next)
                    loop.after(CLAIM_RETRY_MS) { readNow() }
                }
            }
        }
    }

    /** A conflict may be this entry's own claim, applied although its answer was lost. */
    private fun adopt(
        conflict: ChangeResult.Conflict,
        claimed: OwnerRow,
        earlier: EarlierOwner,
    ) {
        val row = conflict.rows.firstOrNull() ?: return
        if (OwnerRow.decode(row.value) == claimed) own(claimed, row.version, earlier) else readNow()
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

    private fun own(
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
        known = row
        onOwned(row, version, earlier)
    }

    /** A claim of this stopping entry may have taken effect: nobody else would claim until it had been silent for long. */
    private fun releaseAbandonedClaim(claimed: OwnerRow) {
        tables.read(OwnerRow.KEY) { result ->
            val stored = (result as? ReadResult.Rows)?.rows?.firstOrNull()
            val row = stored?.let { OwnerRow.decode(it.value) }
            when {
                result is ReadResult.Failed -> loop.after(CLAIM_RETRY_MS) { releaseAbandonedClaim(claimed) }
                stored != null && row == claimed -> release(claimed, stored.version)
                // The claim may still be on its way; it cannot take effect any more once the row has changed.
                stored != null && row == known -> loop.after(CLAIM_RETRY_MS) { releaseAbandonedClaim(claimed) }
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
        /** No owner sends an order later than this after its last confirmed write. */
        const val LONGEST_ORDER_FRESHNESS_MS = 4_000L

        /** How often an entry reads the owner row. */
        private const val POLL_INTERVAL_MS = 800L

        /** An owner row that has not changed for this long has lost its holder: four missed renewals. */
        private const val TAKEOVER_AFTER_MS = 2_900L

        /** Least time between two reads for a suspected handover; many callers may notice it at once. */
        private const val SUSPECTED_READ_INTERVAL_MS = 150L

        /** Pause after a claim whose answer was lost. */
        private const val CLAIM_RETRY_MS = 150L
    }
}
