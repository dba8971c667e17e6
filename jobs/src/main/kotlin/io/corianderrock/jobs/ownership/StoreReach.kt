/*
 * Tells whether this entry reaches the store, from the outcome of its regular reads.
 */
package io.corianderrock.jobs.ownership

import io.corianderrock.jobs.ports.EventLoop

/** Updated on the event loop; [isLost] is readable from any thread. */
internal class StoreReach(
    private val loop: EventLoop,
) {
    @Volatile
    private var hasFailed = false

    /** When the oldest read since the last answer was sent, in loop time; null if none is waiting. */
    @Volatile
    private var waitingSinceMs: Long? = null

    /** True from a failed or overdue read to the next answer. */
    val isLost: Boolean get() = hasFailed || (waitingSinceMs?.let { loop.nowMs - it > OVERDUE_MS } ?: false)

    fun onReadSent() {
        if (waitingSinceMs == null) waitingSinceMs = loop.nowMs
    }

    fun onReadEnded(isAnswered: Boolean) {
        hasFailed = !isAnswered
        waitingSinceMs = null
    }

    private companion object {
        /** Above the 240 ms of a store that is sixty times slower than usual. */
        const val OVERDUE_MS = 500L
    }
}
