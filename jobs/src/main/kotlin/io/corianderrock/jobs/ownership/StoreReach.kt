/*
 * Tells whether this entry reaches the store and how soon it answers, from the outcome of its regular reads.
 */
package io.corianderrock.jobs.ownership

import io.corianderrock.jobs.ports.EventLoop

/** Updated on the event loop; [isLost] and [isSlow] are readable from any thread. */
internal class StoreReach(
    private val loop: EventLoop,
) {
    @Volatile
    private var hasFailed = false

    @Volatile
    private var wasSlow = false

    /** When the oldest read since the last answer was sent, in loop time; null if none is waiting. */
    @Volatile
    private var waitingSinceMs: Long? = null

    /** How long no read has been answered, in milliseconds; 0 while reads are answered in time. */
    val silentMs: Long get() = if (isLost) loop.nowMs - (unansweredSinceMs ?: loop.nowMs) else 0

    /** When the first read after the last answer was sent, in loop time. */
    @Volatile
    private var unansweredSinceMs: Long? = null

    /** True from a failed or overdue read to the next answer. */
    val isLost: Boolean get() = hasFailed || isWaitingFor(OVERDUE_MS)

    /** True while a read has had no answer for longer than a slow store takes. */
    val isOverdue: Boolean get() = isWaitingFor(SUSPECT_MS)

    /** True once a read has taken [SLOW_MS], until the answer to one that took less. */
    val isSlow: Boolean get() = wasSlow || isWaitingFor(SLOW_MS)

    fun onReadSent() {
        if (waitingSinceMs == null) waitingSinceMs = loop.nowMs
        if (unansweredSinceMs == null) unansweredSinceMs = loop.nowMs
    }

    /** When the last read that was answered had been sent, in loop time. */
    private var lastAnsweredSentAtMs = Long.MIN_VALUE / 2

    /**
     * Records the end of a read that took [tookMs]. Reads may overlap: the timeout of one that was sent before the last answered one
     * tells nothing about the store of now.
     */
    fun onReadEnded(
        isAnswered: Boolean,
        tookMs: Long,
    ) {
        val sentAtMs = loop.nowMs - tookMs
        if (sentAtMs < lastAnsweredSentAtMs) return
        if (isAnswered) lastAnsweredSentAtMs = sentAtMs
        hasFailed = !isAnswered
        wasSlow = tookMs > SLOW_MS
        waitingSinceMs = null
        if (isAnswered) unansweredSinceMs = null
    }

    private fun isWaitingFor(durationMs: Long): Boolean = waitingSinceMs?.let { loop.nowMs - it > durationMs } ?: false

    private companion object {
        /** Above the 240 ms of a store that is sixty times slower than usual. */
        const val OVERDUE_MS = 500L

        /** Leaves the time for two rounds of questions to peers before the store counts as lost. */
        const val SUSPECT_MS = 150L

        /** Ten times what a read usually takes. */
        const val SLOW_MS = 50L
    }
}
