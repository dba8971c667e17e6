/*
 * Runs the periodic work of an owner of idempotency claims: heartbeat, range rebalancing and claim log commits.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.claim.CLAIM_RANGES
import io.corianderrock.coordination.claim.ClaimOwner
import io.corianderrock.coordination.claim.CommitResult
import io.corianderrock.coordination.fleet.EntryRow
import java.util.concurrent.TimeUnit

/** How many entries own claim ranges, and whether this entry is one of them. */
public data class ClaimOwnership(
    val ownerCount: Int,
    val isOwner: Boolean,
) {
    /** The number of ranges that this entry should own; 0 when it is no owner. */
    public fun fairShare(): Int = if (isOwner) (CLAIM_RANGES + ownerCount - 1) / ownerCount else 0

    public companion object {
        /**
         * Selects the entry with the lowest seat in each data centre. Fewer owners batch more claims into each commit,
         * and the number of writes grows with the number of owners.
         */
        public fun choose(
            entries: Collection<EntryRow>,
            self: String,
        ): ClaimOwnership {
            val owners = entries.groupBy { it.dataCentre }.values.map { local -> local.minBy { it.seat }.id }
            return ClaimOwnership(owners.size.coerceAtLeast(1), self in owners)
        }
    }
}

/** Sends heartbeats and rebalances ranges in [tick], and commits pending claims on its own thread. */
public class ClaimOwnershipLoop(
    private val owner: ClaimOwner,
    private val currentOwnership: () -> ClaimOwnership,
) : AutoCloseable {
    private val committer = Thread(::commitUntilInterrupted, "claim-log").apply { isDaemon = true }

    /** Starts the commit thread. */
    public fun start(): Unit = committer.start()

    /** Sends a heartbeat and rebalances ranges; called on the daemon's timer. */
    public fun tick() {
        owner.sendHeartbeat()
        val ownership = currentOwnership()
        owner.commitRateLimiter.shareAmong(ownership.ownerCount)
        owner.rebalance(ownership.fairShare())
    }

    /** Releases every range and stops the commit thread. */
    override fun close() {
        owner.releaseAll()
        committer.interrupt()
        committer.join(COMMITTER_JOIN_TIMEOUT_MS)
    }

    private fun commitUntilInterrupted() {
        try {
            while (!Thread.currentThread().isInterrupted) commitOnce()
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
        }
    }

    private fun commitOnce() {
        if (owner.log.commitPending(PENDING_WAIT_MS) == CommitResult.FAILED) TimeUnit.MILLISECONDS.sleep(COMMIT_RETRY_DELAY_MS)
    }

    private companion object {
        const val PENDING_WAIT_MS = 200L
        const val COMMIT_RETRY_DELAY_MS = 50L
        const val COMMITTER_JOIN_TIMEOUT_MS = 500L
    }
}
