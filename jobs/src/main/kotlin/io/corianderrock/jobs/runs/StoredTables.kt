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
    private val wholeTables = if (includesRunTimes) WHOLE_TABLES + Table.RUN_TIMES else WHOLE_TABLES

    /** Passes all jobs to [jobs]; then calls [onRead] with the rows of each other table, once all of them are read. */
    fun read(
        jobs: JobLoader,
        onRead: (Map<Table, List<StoredRow>>) -> Unit,
    ) {
        val rowsByTable = HashMap<Table, List<StoredRow>>()
        var areJobsRead = false
        val onSomeRead = { if (areJobsRead && rowsByTable.size == wholeTables.size) onRead(rowsByTable) }
        for (table in wholeTables) {
            scan(table) { rows ->
                rowsByTable[table] = rows
                onSomeRead()
            }
        }
        readJobs(jobs) {
            areJobsRead = true
            onSomeRead()
        }
    }

    /** The first page of jobs is requested with the progress, so that a small table is read at once; it waits for the last page of that. */
    private fun readJobs(
        jobs: JobLoader,
        onRead: () -> Unit,
    ) {
        var isProgressRead = false
        var onProgressRead: () -> Unit = {}
        scanPages(Table.PROGRESS, onEnd = {
            jobs.onProgressRead()
            isProgressRead = true
            onProgressRead()
        }) { rows, next ->
            jobs.addProgress(rows)
            next()
        }
        scanPages(Table.JOBS, onEnd = {
            jobs.onJobsRead()
            onRead()
        }) { rows, next ->
            val add = {
                jobs.addJobs(rows)
                next()
            }
            if (isProgressRead) add() else onProgressRead = add
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
                is ReadResult.Failed -> retry(table, result) { scan(table, onRows) }
            }
        }
    }

    /** Passes each page after [after] to [onPage], with what requests the next one. A page that is not read is requested again. */
    private fun scanPages(
        table: Table,
        after: String? = null,
        onEnd: () -> Unit,
        onPage: (List<StoredRow>, () -> Unit) -> Unit,
    ) {
        tables.scanPage(table, after) { result ->
            if (isClosed()) return@scanPage
            when (result) {
                is ReadResult.Rows ->
                    onPage(result.rows) {
                        result.lastKey?.let { scanPages(table, it, onEnd, onPage) } ?: onEnd()
                    }
                is ReadResult.Failed -> retry(table, result) { scanPages(table, after, onEnd, onPage) }
            }
        }
    }

    private fun retry(
        table: Table,
        failure: ReadResult.Failed,
        scan: () -> Unit,
    ) {
        log.write("scan_failed", "table", table.id, "reason", failure.reason)
        loop.after(SCAN_RETRY_MS) { scan() }
    }

    private companion object {
        /** The tables that are read as a whole; jobs and their progress are read by pages. */
        val WHOLE_TABLES =
            listOf(
                Table.WORKER_LEASES,
                Table.WAVES,
                Table.INSTANCE_ORDERS,
                Table.DEMAND_PEAKS,
                Table.EARLY_CANCELLATIONS,
                Table.INBOX,
            )

        /** Delay before a failed scan is retried. */
        const val SCAN_RETRY_MS = 200L
    }
}
