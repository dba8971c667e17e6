/*
 * Whether the store carries the transactions of the owner, by the answers to them.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop

/** [isInFlight] tells whether a transaction is without an answer. Confined to [loop] unless noted otherwise. */
internal class WriteHealth(
    private val loop: EventLoop,
    private val log: DecisionLog,
    private val isInFlight: () -> Boolean,
) {
    private var failures = 0
    private var lastSentAtMs = Long.MIN_VALUE / 2

    /** Age of the ownership: the last committed transaction confirms it as of the time at which it was sent. */
    val ownership = Freshness(loop)

    val sinceSentMs: Long get() = loop.nowMs - lastSentAtMs

    /** True while the current transaction is failing or its answer is overdue. */
    val isUnhealthy: Boolean get() = failures > 0 || isAnswerOverdue(SLOW_ANSWER_MS)

    /**
     * False if no write has been answered for [WRITE_LOST_MS] and the current one was refused or is overdue by as long: a store
     * that takes most of that time for each transaction still carries them. Updated by [update], so that a loop that is
     * merely busy does not look like a lost store. Readable from any thread.
     */
    @Volatile
    var canWrite: Boolean = true
        private set

    fun update() {
        canWrite = ownership.ageMs < WRITE_LOST_MS || failures == 0 && !isAnswerOverdue(WRITE_LOST_MS)
    }

    fun onSent() {
        lastSentAtMs = loop.nowMs
    }

    /** A transaction of [rowCount] rows, sent at [sentAt], is committed while [waitingCount] writes wait. */
    fun onCommitted(
        sentAt: ClockReading,
        rowCount: Int,
        waitingCount: Int,
    ) {
        if (failures > 0) log.write("store_regained", "failures", failures)
        val tookMs = loop.nowMs - sentAt.loopMs
        if (tookMs > SLOW_ANSWER_MS) log.write("commit_slow", "tookMs", tookMs, "rows", rowCount, "waiting", waitingCount)
        failures = 0
        ownership.confirm(sentAt)
        canWrite = true
    }

    fun onFailed(
        reason: String,
        mayHaveApplied: Boolean,
    ) {
        failures++
        if (failures == 1) log.write("store_lost", "reason", reason, "mayHaveApplied", mayHaveApplied)
    }

    private fun isAnswerOverdue(afterMs: Long): Boolean = isInFlight() && sinceSentMs > afterMs

    private companion object {
        /** Age from which the answer to a transaction counts as overdue; answers usually take 5 ms. */
        const val SLOW_ANSWER_MS = 100L

        /** Two renewals without an answer; also the longest wait for the answer to one transaction. */
        const val WRITE_LOST_MS = 800L
    }
}
