/*
 * The store's steady clock as this entry knows it from the store's answers. All entries see the same clock, also after a restart, so
 * that an owner can tell how long ago another one stored a row.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.ChangeResult
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.ReadResult
import io.corianderrock.jobs.ports.RowChange
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.Table

/** Bounds of the store's clock, by the last answer that showed it. Used on the event loop only. */
internal class StoreClock(
    private val loop: EventLoop,
) {
    private class Sample(
        val storeMs: Long,
        val sentAt: ClockReading,
        val receivedAtMs: Long,
        val answerMs: Long,
    )

    private var last: Sample? = null

    /** The earliest time that the clock can show now, null if no answer of the last [MAX_AGE_MS] has shown it. */
    val earliestMs: Long? get() = sample()?.let { it.storeMs + loop.nowMs - it.receivedAtMs }

    /** The latest time that the clock can show now, null if no answer of the last [MAX_AGE_MS] has shown it. */
    val latestMs: Long? get() = sample()?.let { it.storeMs + loop.longestSinceMs(it.sentAt) }

    /** How long the last answer that showed the clock took, in milliseconds; 0 if there was none. */
    val answerMs: Long get() = last?.answerMs ?: 0

    /** [tables], whose answers are observed. */
    fun observing(tables: JobTables): JobTables =
        object : JobTables by tables {
            override fun commit(
                change: RowChange,
                onResult: (ChangeResult) -> Unit,
            ) {
                val sentAt = loop.readClocks()
                tables.commit(change) { result ->
                    if (result is ChangeResult.Committed) observe(result.storeMs, sentAt)
                    onResult(result)
                }
            }

            override fun scan(
                table: Table,
                onResult: (ReadResult) -> Unit,
            ) = tables.scan(table, observed(onResult))

            override fun scanPage(
                table: Table,
                after: String?,
                onResult: (ReadResult) -> Unit,
            ) = tables.scanPage(table, after, observed(onResult))

            override fun read(
                key: RowKey,
                onResult: (ReadResult) -> Unit,
            ) = tables.read(key, observed(onResult))
        }

    private fun observed(onResult: (ReadResult) -> Unit): (ReadResult) -> Unit {
        val sentAt = loop.readClocks()
        return { result ->
            if (result is ReadResult.Rows) observe(result.storeMs, sentAt)
            onResult(result)
        }
    }

    /** Records that the clock showed [storeMs] between [sentAt] and now. */
    fun observe(
        storeMs: Long?,
        sentAt: ClockReading,
    ) {
        if (storeMs != null) last = Sample(storeMs, sentAt, loop.nowMs, answerMs = loop.longestSinceMs(sentAt))
    }

    private fun sample(): Sample? = last?.takeIf { loop.nowMs - it.receivedAtMs <= MAX_AGE_MS }

    private companion object {
        /** Twice the interval of the owner's regular reads; steady clocks do not drift apart noticeably within it. */
        const val MAX_AGE_MS = 2_000L
    }
}
