/*
 * The background work of claim ownership.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.claim.CLAIM_RANGES
import io.corianderrock.coordination.claim.ClaimOwner
import io.corianderrock.coordination.claim.CommitResult
import io.corianderrock.coordination.fleet.EntryRow
import java.util.concurrent.TimeUnit

/** Which entries own ranges: [count] of them, and whether this one [isOwner]. */
public data class ClaimOwners(
    val count: Int,
    val isOwner: Boolean,
) {
    /** The number of ranges that this entry should own. */
    public fun fairShare(): Int = if (isOwner) (CLAIM_RANGES + count - 1) / count else 0

    public companion object {
        /**
         * Chooses the entry with the lowest seat of each data centre. Few owners gather more claims into each commit, and
         * the number of writes follows the number of owners.
         */
        public fun choose(
            entries: Collection<EntryRow>,
            self: String,
        ): ClaimOwners {
            val owners = entries.groupBy { it.dataCentre }.values.map { local -> local.minBy { it.seat }.id }
            return ClaimOwners(owners.size.coerceAtLeast(1), self in owners)
        }
    }
}

/** Beats and rebalances on the caller's timer, and commits claims on a thread of its own. */
public class ClaimWork(
    private val owner: ClaimOwner,
    private val owners: () -> ClaimOwners,
) : AutoCloseable {
    private val committer = Thread(::commitUntilInterrupted, "claim-log").apply { isDaemon = true }

    /** Starts to commit claims. */
    public fun start(): Unit = committer.start()

    /** Does one round of ownership work. */
    public fun tick() {
        owner.sendHeartbeat()
        val current = owners()
        owner.commitRateLimiter.shareAmong(current.count)
        owner.rebalance(current.fairShare())
    }

    /** Gives every range back and stops committing. */
    override fun close() {
        owner.releaseAll()
        committer.interrupt()
        committer.join(JOIN_MS)
    }

    private fun commitUntilInterrupted() {
        try {
            while (!Thread.currentThread().isInterrupted) commitOnce()
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
        }
    }

    private fun commitOnce() {
        if (owner.log.commitPending(COMMIT_WAIT_MS) == CommitResult.FAILED) TimeUnit.MILLISECONDS.sleep(COMMIT_RETRY_MS)
    }

    private companion object {
        const val COMMIT_WAIT_MS = 200L
        const val COMMIT_RETRY_MS = 50L
        const val JOIN_MS = 500L
    }
}
