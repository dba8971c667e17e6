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
     * call was refused for load.
     */
    public data class Failed(
        val reason: String,
        val mayHaveApplied: Boolean,
        val refusal: StoreRefusal? = null,
    ) : ChangeResult
}

/** The result of a read. */
public sealed interface ReadResult {
    /**
     * A consistent snapshot of the rows. [version] is the version of the store at the snapshot, [storeMs] the time on its steady
     * clock; null if not known.
     */
    public data class Rows(
        val rows: List<StoredRow>,
        val version: Long,
        val storeMs: Long? = null,
    ) : ReadResult

    /** Nothing was read. [refusal] is set if the call was refused for load. */
    public data class Failed(
        val reason: String,
        val refusal: StoreRefusal? = null,
    ) : ReadResult
}

/** Reads and writes the tables of the scheduler. Results are delivered on the event loop. */
public interface JobTables {
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
