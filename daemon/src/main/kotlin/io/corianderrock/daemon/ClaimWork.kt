/*
 * The background work of claim ownership.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.claim.CLAIM_RANGES
import io.corianderrock.coordination.claim.ClaimOwner
import io.corianderrock.coordination.claim.CommitResult
import java.util.concurrent.TimeUnit

/** Beats and rebalances on the caller's timer, and commits claims on a thread of its own. */
public class ClaimWork(
    private val owner: ClaimOwner,
    private val liveEntries: () -> Int,
) : AutoCloseable {
    private val committer = Thread(::commitUntilInterrupted, "claim-log").apply { isDaemon = true }

    /** Starts to commit claims. */
    public fun start(): Unit = committer.start()

    /** Does one round of ownership work. */
    public fun tick() {
        owner.beat()
        val entries = liveEntries().coerceAtLeast(1)
        owner.rebalance(fairShare = (CLAIM_RANGES + entries - 1) / entries)
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
