/*
 * Reading of the state that earlier owners have stored.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.ReadResult
import io.corianderrock.jobs.ports.StoredRow
import io.corianderrock.jobs.ports.Table

/** Scans all tables that an owner restores its state from, until [isClosed]. Used on the event loop only. */
internal class StoredTables(
    private val loop: EventLoop,
    private val tables: JobTables,
    private val log: DecisionLog,
    includesRunTimes: Boolean,
    private val isClosed: () -> Boolean,
) {
    private val restored = if (includesRunTimes) RESTORED + Table.RUN_TIMES else RESTORED

    /** Calls [onRead] with the rows of each table once all of them are read. */
    fun read(onRead: (Map<Table, List<StoredRow>>) -> Unit) {
        val rowsByTable = HashMap<Table, List<StoredRow>>()
        for (table in restored) {
            scan(table) { rows ->
                rowsByTable[table] = rows
                if (rowsByTable.size == restored.size) onRead(rowsByTable)
            }
        }
    }

    private fun scan(
        table: Table,
        onRows: (List<StoredRow>) -> Unit,
    ) {
        tables.scan(table) { result ->
            if (isClosed()) return@scan
            when (result) {
                is ReadResult.Rows -> onRows(result.rows)
                is ReadResult.Failed -> {
                    log.write("scan_failed", "table", table.id, "reason", result.reason)
                    loop.after(SCAN_RETRY_MS) { scan(table, onRows) }
                }
            }
        }
    }

    private companion object {
        val RESTORED =
            listOf(
                Table.JOBS,
                Table.PROGRESS,
                Table.WORKER_LEASES,
                Table.WAVES,
                Table.INSTANCE_ORDERS,
                Table.DEMAND_PEAKS,
                Table.INBOX,
            )

        /** Delay before a failed scan is retried. */
        const val SCAN_RETRY_MS = 200L
    }
}
