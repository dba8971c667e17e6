/*
 * Reads of rows on behalf of callers. While the owner cannot be asked, many callers poll the same jobs: their queries share a read.
 */
package io.corianderrock.jobs.entry

import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.ReadResult
import io.corianderrock.jobs.ports.RowKey

/**
 * A row is told as of at most [MAX_AGE_MS] before the query, or as of later, and never as of before what this entry has told
 * already. Confined to [loop].
 */
internal class SharedReads(
    private val loop: EventLoop,
    private val tables: JobTables,
) {
    private class Share(
        val sentAtMs: Long,
        val generation: Int,
    ) {
        val waiting = ArrayList<(ReadResult) -> Unit>()
        var result: ReadResult? = null
    }

    private class Row {
        var share: Share? = null

        /** Incremented when the row is told from elsewhere; results of earlier generations are not used any more. */
        var generation = 0

        /** What was read as of the latest version. */
        var latest: ReadResult.Rows? = null
        var usedAtMs = Long.MIN_VALUE / 2
    }

    /** In the order of the last read. */
    private val rows = LinkedHashMap<RowKey, Row>()

    /** Reads the row [key], with the queries of the last [MAX_AGE_MS]. Unless [sharesAbsence], a row that was absent is read again. */
    fun read(
        key: RowKey,
        sharesAbsence: Boolean,
        onResult: (ReadResult) -> Unit,
    ) {
        val row = rows[key]
        val share = row?.share?.takeIf { it.generation == row.generation && loop.nowMs - it.sentAtMs <= MAX_AGE_MS }
        val result = share?.result
        when {
            share == null -> send(key, listOf(onResult))
            result == null -> share.waiting += onResult
            !sharesAbsence && result is ReadResult.Rows && result.rows.isEmpty() -> send(key, listOf(onResult))
            else -> onResult(result)
        }
    }

    /** Called when this entry has told the row [key] from elsewhere: it is read again for queries from now on and for open ones. */
    fun outdate(key: RowKey) {
        val row = rows[key] ?: return
        row.generation++
        row.latest = null
    }

    private fun send(
        key: RowKey,
        waiting: List<(ReadResult) -> Unit>,
    ) {
        val row = rows.remove(key) ?: Row()
        rows[key] = row
        row.usedAtMs = loop.nowMs
        forgetUnused()
        val share = Share(loop.nowMs, row.generation)
        share.waiting += waiting
        row.share = share
        tables.read(key) { onRead(key, row, share, it) }
    }

    private fun onRead(
        key: RowKey,
        row: Row,
        share: Share,
        result: ReadResult,
    ) {
        if (share.generation != row.generation && result is ReadResult.Rows) {
            send(key, share.waiting)
            return
        }
        val latest = row.latest
        val told = if (result is ReadResult.Rows && latest != null && latest.version > result.version) latest else result
        if (told is ReadResult.Rows) row.latest = told
        share.result = told
        share.waiting.forEach { it(told) }
    }

    private fun forgetUnused() {
        while (rows.size > MAX_ROWS || loop.nowMs - rows.values.first().usedAtMs > FORGET_AFTER_MS) rows.remove(rows.keys.first())
    }

    private companion object {
        const val MAX_AGE_MS = 100L

        /** Above the timeout of a read, so that an answer that comes late meets the later ones. */
        const val FORGET_AFTER_MS = 2_000L

        /** 16 MB if all rows have the size that the store accepts. */
        const val MAX_ROWS = 256
    }
}
