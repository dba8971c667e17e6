/*
 * The platform services that coordination builds on: a transactional table, an object store, the lagging instance list
 * and instance reboots. Implementations call the real platform or its stand-in, or keep the state in memory.
 */
package io.corianderrock.coordination

import io.corianderrock.state.ListedInstance
import kotlinx.serialization.Serializable

/** A table row. [revision] is the number of the commit that last wrote it. */
@Serializable
public data class Row(
    val key: String,
    val value: String,
    val revision: Long,
)

/** A precondition of a transaction: the row at [key] has [revision], or does not exist if [revision] is 0. */
@Serializable
public data class Precondition(
    val key: String,
    val revision: Long,
)

/** A write of a transaction. A null [value] deletes the row. */
@Serializable
public data class Write(
    val key: String,
    val value: String?,
)

/**
 * An atomic set of writes under preconditions. [id] identifies the intent and is the same on retries. [transactExactlyOnce]
 * adds a marker row named by it, with [note] as its value, so that reading the marker tells whether a transaction without an
 * answer has committed.
 */
@Serializable
public data class Transaction(
    val id: String,
    val preconditions: List<Precondition>,
    val writes: List<Write>,
    val note: String = "committed",
)

/** The result of a platform call. */
public sealed interface PlatformResult<out T> {
    /** The call took effect and its answer arrived. */
    public data class Ok<T>(
        val value: T,
    ) : PlatformResult<T>

    /** A precondition did not hold; nothing was written. [key] is the first such row and [revision] its actual revision. */
    public data class Conflict(
        val key: String,
        val revision: Long,
    ) : PlatformResult<Nothing>

    /** The operation [step] failed at [peer]. If [mayHaveApplied] is true, its writes may have taken effect nevertheless. */
    public data class Failed(
        val step: String,
        val peer: String,
        val reason: String,
        val mayHaveApplied: Boolean,
    ) : PlatformResult<Nothing>
}

/** The value of a [PlatformResult.Ok], or null for any other result. */
public fun <T> PlatformResult<T>.valueOrNull(): T? = (this as? PlatformResult.Ok)?.value

/** Transforms the value of a [PlatformResult.Ok]; any other result is returned unchanged. */
public inline fun <T, R> PlatformResult<T>.map(transform: (T) -> R): PlatformResult<R> =
    when (this) {
        is PlatformResult.Ok -> PlatformResult.Ok(transform(value))
        is PlatformResult.Conflict -> this
        is PlatformResult.Failed -> this
    }

/** The transactional table service. Keys are paths; [scan] returns rows in key order. */
public interface TableService {
    /** Reads one row; null if it does not exist. */
    public fun read(key: String): PlatformResult<Row?>

    /** Reads all rows whose key starts with [prefix] and whose revision is above [sinceRevision]. */
    public fun scan(
        prefix: String,
        sinceRevision: Long = 0,
    ): PlatformResult<List<Row>>

    /** Commits [transaction] and returns its revision. */
    public fun transact(transaction: Transaction): PlatformResult<Long>
}

/** The object store. Objects are never overwritten. */
public interface ObjectStore {
    /** Stores [content] under [key] unless the key exists. True if this call stored it. */
    public fun putIfAbsent(
        key: String,
        content: String,
    ): PlatformResult<Boolean>

    /** Reads the object at [key]; null if it does not exist. */
    public fun fetch(key: String): PlatformResult<String?>
}

/** The instance list, which lags behind the fleet, and reboots of single instances. */
public interface InstanceService {
    /** Lists the instances that changed after list revision [sinceRevision], as of an unspecified time in the past. */
    public fun instances(sinceRevision: Long = 0): PlatformResult<InstanceListPage>

    /** Requests a reboot of [instanceId]. Idempotent by [requestId]. */
    public fun reboot(
        instanceId: String,
        requestId: String,
    ): PlatformResult<Unit>
}

/** A page of the instance list. [revision] is the list revision to request the next page from. */
@Serializable
public data class InstanceListPage(
    val revision: Long,
    val instances: List<ListedInstance>,
)

/** All platform services. */
public interface Platform :
    TableService,
    ObjectStore,
    InstanceService

/** The key of the marker row of transaction [id]. */
public fun markerKey(id: String): String = "tx/$id"
