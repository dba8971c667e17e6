/*
 * Stores the burn counters of entries in the platform, so that they survive the entries' processes.
 */
package io.corianderrock.coordination.burn

import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.TableService
import io.corianderrock.coordination.Transaction
import io.corianderrock.coordination.Write
import io.corianderrock.coordination.map
import io.corianderrock.coordination.transactExactlyOnce
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The counters of one process. After a restart, the new process on the same instance writes a row of its own. */
@Serializable
public data class BurnRow(
    val process: String,
    val writtenAtMs: Long,
    val buckets: List<BurnBucket>,
)

/** Writes the row of [process] and reads those of all processes. Stateless. */
public class BurnStore(
    private val table: TableService,
    private val process: String,
    private val newId: () -> String,
) {
    /** Replaces the row of this process with [buckets]. A lost write is not retried; the next call replaces the row. */
    public fun save(
        buckets: List<BurnBucket>,
        nowMs: Long,
    ): PlatformResult<Long> {
        val row = BurnRow(process, nowMs, buckets)
        val write = Write(PREFIX + process, Json.encodeToString(BurnRow.serializer(), row))
        return table.transactExactlyOnce(Transaction(newId(), emptyList(), listOf(write)), attempts = 1)
    }

    /** Reads the rows that other processes wrote within [BURN_RETENTION_MS]. */
    public fun loadOthers(nowMs: Long): PlatformResult<List<BurnRow>> =
        table.scan(PREFIX).map { rows ->
            rows
                .map { Json.decodeFromString(BurnRow.serializer(), it.value) }
                .filter { it.process != process && nowMs - it.writtenAtMs < BURN_RETENTION_MS }
        }

    /** Deletes the rows of processes that wrote nothing within [BURN_RETENTION_MS]. */
    public fun deleteExpired(nowMs: Long): PlatformResult<Long> {
        val rows =
            when (val scanned = table.scan(PREFIX)) {
                is PlatformResult.Ok -> scanned.value
                is PlatformResult.Conflict -> return scanned
                is PlatformResult.Failed -> return scanned
            }
        val expired = rows.filter { nowMs - Json.decodeFromString(BurnRow.serializer(), it.value).writtenAtMs >= BURN_RETENTION_MS }
        if (expired.isEmpty()) return PlatformResult.Ok(0)
        return table.transactExactlyOnce(Transaction(newId(), emptyList(), expired.map { Write(it.key, null) }))
    }

    private companion object {
        const val PREFIX = "burn/"
    }
}
