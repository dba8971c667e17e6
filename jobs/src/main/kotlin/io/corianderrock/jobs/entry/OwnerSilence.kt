/*
 * Tells whether the owner replies to this entry's requests. A partitioned or suspended owner refuses no connections, so that each
 * request would otherwise wait for its own timeout.
 */
package io.corianderrock.jobs.entry

import io.corianderrock.jobs.ports.EventLoop

/** Confined to [loop]. */
internal class OwnerSilence(
    private val loop: EventLoop,
) {
    /** When the first request since the last reply was sent, in loop time; null if none is waiting. */
    private var waitingSinceMs: Long? = null

    private var repliedAtMs = Long.MIN_VALUE / 2

    /** True from [SILENT_MS] of waiting on; false again after [PROBE_AFTER_MS], so that the next request shows whether it replies. */
    val isSilent: Boolean get() = waitingSinceMs?.let { loop.nowMs - it in SILENT_MS..PROBE_AFTER_MS } ?: false

    /** Records that a request is being sent and returns the time. */
    fun onSent(): Long {
        val nowMs = loop.nowMs
        val sinceMs = waitingSinceMs
        if (sinceMs == null || nowMs - sinceMs > PROBE_AFTER_MS) waitingSinceMs = nowMs
        return nowMs
    }

    /** Records the reply to a request that was sent at [sentAtMs]. A connection that could not be made in time ends late too. */
    fun onReply(
        sentAtMs: Long,
        isAnswer: Boolean,
    ) {
        if (!isAnswer && loop.nowMs - sentAtMs >= SILENT_MS) return
        repliedAtMs = loop.nowMs
        waitingSinceMs = null
    }

    /** True if a reply has come after [sentAtMs], as those of a busy owner do. */
    fun hasRepliedSince(sentAtMs: Long): Boolean = repliedAtMs > sentAtMs

    private companion object {
        const val SILENT_MS = 250L

        /** An owner that does not answer is replaced within 1 to 1.3 s. */
        const val PROBE_AFTER_MS = 1_300L
    }
}
