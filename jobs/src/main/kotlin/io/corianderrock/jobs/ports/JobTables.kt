/*
 * The store tables of the scheduler and the operations on them.
 */
package io.corianderrock.jobs.ports

/** Tables in which the scheduler keeps its state. */
public enum class Table(
    internal val storedName: String,
) {
    JOBS("jobs"),
    PROGRESS("progress"),
    OWNERS("owners"),
    INBOX("inbox"),
    WORKER_LEASES("contacts"),
    WAVES("waves"),
    INSTANCE_ORDERS("instance_orders"),
    DEMAND_PEAKS("turns"),
    RUN_TIMES("run_times"),
    EARLY_CANCELLATIONS("cancellations"),
    ;

    /** Name of the table in the platform store. */
    public val id: String get() = storedName
}

/** Identifies a row. */
public data class RowKey(
    val table: Table,
    val key: String,
)

/** A stored row. [version] is that of the transaction that wrote it; versions increase across the whole store. */
public data class StoredRow(
    val key: RowKey,
    val value: String,
    val version: Long,
)

/** An atomic change, conditional on the row versions in [expected]; zero means that the row must not exist. */
public data class RowChange(
    val expected: Map<RowKey, Long> = emptyMap(),
    val puts: Map<RowKey, String> = emptyMap(),
    val deletes: Set<RowKey> = emptySet(),
)

/**
 * What a store accepts. [rowBytes] bounds the value of one row and [transactionBytes] one transaction. A store counts a value in
 * Base64, in which it is sent.
 */
public data class StoreLimits(
    val rowBytes: Int = DEFAULT_ROW_BYTES,
    val transactionBytes: Int = DEFAULT_TRANSACTION_BYTES,
) {
    /** Bytes of one transaction that rows may take: the rest is for the names of fields and the owner row. */
    internal val batchBytes: Int get() = transactionBytes - TRANSACTION_RESERVE_BYTES

    /** The most ASCII characters that a value may have: its key and names in the transaction have less than 2,000 bytes. */
    internal val largestValueLength: Int
        get() = minOf(rowBytes, batchBytes - ENTRY_RESERVE_BYTES) / BASE64_OUTPUT_BYTES * BASE64_INPUT_BYTES

    /** Bytes of [value] as the store counts them. */
    internal fun sizeOf(value: String): Int = (value.toByteArray().size + 2) / BASE64_INPUT_BYTES * BASE64_OUTPUT_BYTES

    /** Bytes of a transaction that a row takes, with its condition: the value, and the names and key in JSON twice. */
    internal fun entrySizeOf(
        key: RowKey,
        value: String?,
    ): Int = (value?.let(::sizeOf) ?: 0) + 2 * (ENTRY_NAMES_BYTES + 2 * key.key.toByteArray().size)

    /** The first limit that the row [key] with [value] is over; null if it can be stored. */
    internal fun exceededBy(
        key: RowKey,
        value: String,
    ): ExceededLimit? {
        val size = sizeOf(value)
        val entrySize = entrySizeOf(key, value)
        return when {
            size > rowBytes -> ExceededLimit("rowBytes", size, rowBytes)
            entrySize > batchBytes -> ExceededLimit("transactionBytes", entrySize, batchBytes)
            else -> null
        }
    }

    private companion object {
        const val DEFAULT_ROW_BYTES = 65_536
        const val DEFAULT_TRANSACTION_BYTES = 1_000_000

        /** The owner row has some 200 bytes; the rest allows for a store that counts a little more than is sent. */
        const val TRANSACTION_RESERVE_BYTES = 20_000

        const val ENTRY_RESERVE_BYTES = 2_000

        /** Field names, table, part and version of an entry have some 110 bytes. */
        const val ENTRY_NAMES_BYTES = 160
        const val BASE64_INPUT_BYTES = 3
        const val BASE64_OUTPUT_BYTES = 4
    }
}

/** The limit [name] of the store, of [limitBytes], that something of [sizeBytes] is over. */
public data class ExceededLimit(
    val name: String,
    val sizeBytes: Int,
    val limitBytes: Int,
)

/** A refusal for load: nothing was done. [retryAfterMs] is the delay that was asked for, null if there was none. */
public data class StoreRefusal(
    val retryAfterMs: Long? = null,
)

/** The result of a [RowChange]. */
public sealed interface ChangeResult {
    /** The whole change was applied in the transaction [version], when the store's steady clock showed [storeMs]; null if not known. */
    public data class Committed(
        val version: Long,
        val storeMs: Long? = null,
    ) : ChangeResult

    /** Nothing was applied. [rows] are the current rows among the expected ones; absent rows are left out. */
    public data class Conflict(
        val rows: List<StoredRow>,
    ) : ChangeResult

    /**
     * The call failed. If [mayHaveApplied], the change may have been applied or may still be applied later. [refusal] is set if the
     * call was refused for load, [isPermanent] if the store refused the change for what it holds: sent again as it is, it is refused again.
     */
    public data class Failed(
        val reason: String,
        val mayHaveApplied: Boolean,
        val refusal: StoreRefusal? = null,
        val isPermanent: Boolean = false,
    ) : ChangeResult
}

/** The result of a read. */
public sealed interface ReadResult {
    /**
     * A consistent snapshot of the rows. [version] is the version of the store at the snapshot, [storeMs] the time on its steady
     * clock; null if not known. [lastKey] is set if further rows follow: they come after it.
     */
    public data class Rows(
        val rows: List<StoredRow>,
        val version: Long,
        val storeMs: Long? = null,
        val lastKey: String? = null,
    ) : ReadResult

    /** Nothing was read. [refusal] is set if the call was refused for load. */
    public data class Failed(
        val reason: String,
        val refusal: StoreRefusal? = null,
    ) : ReadResult
}

/** Reads and writes the tables of the scheduler. Results are delivered on the event loop. */
public interface JobTables {
    /** What the store accepts. */
    public val limits: StoreLimits get() = StoreLimits()

    /** Applies [change] atomically. */
    public fun commit(
        change: RowChange,
        onResult: (ChangeResult) -> Unit,
    )

    /** Reads all rows of [table]. */
    public fun scan(
        table: Table,
        onResult: (ReadResult) -> Unit,
    )

    /**
     * Reads rows of [table] whose keys come after [after], from the first one if it is null, in the order of their keys: as many as come
     * in one answer, so that a table need not fit into memory. [ReadResult.Rows.lastKey] tells where to go on.
     */
    public fun scanPage(
        table: Table,
        after: String?,
        onResult: (ReadResult) -> Unit,
    ): Unit =
        scan(table) { result ->
            if (result is ReadResult.Rows && after != null) {
                onResult(result.copy(rows = result.rows.filter { it.key.key > after }))
            } else {
                onResult(result)
            }
        }

    /** Reads one row; the result has at most one row. */
    public fun read(
        key: RowKey,
        onResult: (ReadResult) -> Unit,
    )

    /** Publishes to operators whether maintenance wave [number] is active or complete; [onResult] gets whether it was stored. */
    public fun publishWave(
        number: Int,
        isComplete: Boolean,
        onResult: (Boolean) -> Unit,
    )
}
