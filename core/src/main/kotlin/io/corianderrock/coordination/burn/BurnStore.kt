/*
 * Keeps the burn counters of entries in the platform, so that they outlive the entries.
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

/** The counters of one process. A process that starts anew on the same instance writes a row of its own. */
@Serializable
public data class BurnRow(
    val process: String,
    val writtenAtMs: Long,
    val buckets: List<BurnBucket>,
)

/** Writes one row for [process] and reads the rows of all. */
public class BurnStore(
    private val table: TableService,
    private val process: String,
    private val newId: () -> String,
) {
    /** Writes the [buckets] of this process. */
    public fun save(
        buckets: List<BurnBucket>,
        nowMs: Long,
    ): PlatformResult<Long> {
        val row = BurnRow(process, nowMs, buckets)
        val write = Write(PREFIX + process, Json.encodeToString(BurnRow.serializer(), row))
        return table.transactExactlyOnce(Transaction(newId(), emptyList(), listOf(write)), attempts = 1)
    }

    /** Reads the rows of all other processes that are not older than the retention. */
    public fun others(nowMs: Long): PlatformResult<List<BurnRow>> =
        table.scan(PREFIX).map { rows ->
            rows
                .map { Json.decodeFromString(BurnRow.serializer(), it.value) }
                .filter { it.process != process && nowMs - it.writtenAtMs < BURN_RETENTION_MS }
        }

    /** Deletes the rows of processes that wrote nothing within the retention. */
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
