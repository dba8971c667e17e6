/*
 * The tables in which jobs, progress and ownership are kept.
 */
package io.corianderrock.jobs.ports

/** The product's own tables. */
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
    ;

    /** The name under which the platform keeps the table. */
    public val id: String get() = storedName
}

/** The address of a row. */
public data class RowKey(
    val table: Table,
    val key: String,
)

/** A stored row; [version] rises with each transaction of the store. */
public data class StoredRow(
    val key: RowKey,
    val value: String,
    val version: Long,
)

/** An atomic change. [expected] holds the version that a row must have; zero means that it must be absent. */
public data class RowChange(
    val expected: Map<RowKey, Long> = emptyMap(),
    val puts: Map<RowKey, String> = emptyMap(),
    val deletes: Set<RowKey> = emptySet(),
)

/** The result of a [RowChange]. */
public sealed interface ChangeResult {
    /** All of it took effect under [version]. */
    public data class Committed(
        val version: Long,
    ) : ChangeResult

    /** Nothing took effect; [rows] are the present rows among the expected ones. */
    public data class Conflict(
        val rows: List<StoredRow>,
    ) : ChangeResult

    /** The call failed. When [mayHaveApplied] is true it may have taken effect, or may still do so. */
    public data class Failed(
        val reason: String,
        val mayHaveApplied: Boolean,
    ) : ChangeResult
}

/** The result of a read. */
public sealed interface ReadResult {
    /** The rows at one moment; [version] is the newest of the store then. */
    public data class Rows(
        val rows: List<StoredRow>,
        val version: Long,
    ) : ReadResult

    /** The read failed. */
    public data class Failed(
        val reason: String,
    ) : ReadResult
}

/** Reads and writes the product's tables. Results are delivered on the event loop. */
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

    /** Publishes the state of wave [number] to operators. */
    public fun publishWave(
        number: Int,
        isComplete: Boolean,
        onResult: (Boolean) -> Unit,
    )
}
