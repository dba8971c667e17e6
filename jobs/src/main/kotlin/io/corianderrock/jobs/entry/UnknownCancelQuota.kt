/*
 * Limits the messages by which an entry that cannot reach the owner cancels jobs that are not stored: they stay in the store until an owner
 * reads them.
 */
package io.corianderrock.jobs.entry

import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.runs.Retention

/** Grants [MAX_COUNT] messages in any [Retention.RETENTION_MS], for which an owner keeps what they say. Confined to [loop]. */
internal class UnknownCancelQuota(
    private val loop: EventLoop,
) {
    private val grantedAtMs = ArrayDeque<Long>()

    /** Returns whether one more message may be stored. */
    fun take(): Boolean {
        while (grantedAtMs.isNotEmpty() && loop.nowMs - grantedAtMs.first() > Retention.RETENTION_MS) grantedAtMs.removeFirst()
        return grantedAtMs.size < MAX_COUNT && grantedAtMs.add(loop.nowMs)
    }

    companion object {
        private const val MAX_COUNT = 500

        /** Why a cancellation of a job that does not exist is refused, here and by the owner. */
        const val EXCEEDED = "too many jobs that do not exist were cancelled; retry later"
    }
}
