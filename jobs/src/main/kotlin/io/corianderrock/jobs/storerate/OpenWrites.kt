/*
 * Transactions of this entry that the store may still carry out. One without an answer is not refused any more: it takes the time of its
 * part when it is carried out, seconds later and at the price of that moment.
 */
package io.corianderrock.jobs.storerate

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop

/**
 * A transaction counts as open once its answer is overdue by [overdueMs] or has been lost, until it is answered, found carried out by
 * a read, or [MAY_LAND_MS] old. With [maxCount] of them no further transaction of callers is sent. Confined to [loop].
 */
internal class OpenWrites(
    private val loop: EventLoop,
    private val overdueMs: Long,
    private val maxCount: () -> Int,
    private val log: DecisionLog,
    /** Called when a transaction has become too old without a sign that the store is back. */
    private val onOutdated: () -> Unit,
) {
    internal class Write(
        val sentAtMs: Long,
    ) {
        var isUnanswered = false
    }

    /** In the order in which they were sent. */
    private val writes = LinkedHashSet<Write>()
    private var heldSinceMs: Long? = null
    private var heldCount = 0

    fun onSent(): Write = Write(loop.nowMs).also(writes::add)

    fun onEnded(
        write: Write,
        end: StoreCallEnd,
    ) {
        if (end is StoreCallEnd.Unanswered) write.isUnanswered = true else writes.remove(write)
        isFull()
    }

    /** True while no transaction of callers may be sent. */
    fun isFull(): Boolean {
        if (writes.removeIf { loop.nowMs - it.sentAtMs >= MAY_LAND_MS }) onOutdated()
        val openCount = writes.count(::isOpen)
        val isFull = openCount > 0 && openCount >= maxCount()
        logChange(isFull, openCount)
        return isFull
    }

    /** When a transaction of callers that is held now probably could be sent. */
    fun retryAfterMs(): Long {
        heldCount++
        val firstOpen = writes.firstOrNull(::isOpen) ?: return 0
        return minOf(firstOpen.sentAtMs + MAY_LAND_MS - loop.nowMs, LONGEST_RETRY_AFTER_MS)
    }

    private fun isOpen(write: Write) = write.isUnanswered || loop.nowMs - write.sentAtMs >= overdueMs

    private fun logChange(
        isFull: Boolean,
        openCount: Int,
    ) {
        val sinceMs = heldSinceMs
        if (isFull && sinceMs == null) {
            heldSinceMs = loop.nowMs
            heldCount = 0
            log.write("store_writes_held", "unanswered", openCount, "most", maxCount())
        } else if (!isFull && sinceMs != null) {
            heldSinceMs = null
            log.write("store_writes_resumed", "afterMs", loop.nowMs - sinceMs, "withheld", heldCount)
        }
    }

    internal companion object {
        /** Age up to which a call without an answer counts as still to be carried out: the platform does so seconds later and tells no bound. */
        const val MAY_LAND_MS = 5_000L

        /** Longest delay that callers are told: by then a read may have settled the open writes, or a new owner accepts jobs itself. */
        private const val LONGEST_RETRY_AFTER_MS = 2_000L
    }
}
