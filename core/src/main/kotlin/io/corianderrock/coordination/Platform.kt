/*
 * The platform's services as the decisions use them: a transactional table, an object store, the lagging instance
 * list and instance reboots. Implementations talk to the real platform, to its stand-in, or to a map in memory.
 */
package io.corianderrock.coordination

import io.corianderrock.state.ListedInstance
import kotlinx.serialization.Serializable

/** A table row. [revision] is the platform's commit number that wrote it. */
@Serializable
public data class Row(
    val key: String,
    val value: String,
    val revision: Long,
)

/** A precondition of a transaction: the row at [key] has [revision]; revision 0 stands for an absent row. */
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
 * An atomic set of writes under preconditions. [id] is unique to the attempt's intent: the platform stores a marker row
 * under it in the same commit, with [note] as its value, so that a lost answer can be settled by reading the marker.
 */
@Serializable
public data class Transaction(
    val id: String,
    val preconditions: List<Precondition>,
    val writes: List<Write>,
    val note: String = "committed",
)

/** The result of a call to the platform. */
public sealed interface PlatformResult<out T> {
    /** The call took effect and its answer arrived. */
    public data class Ok<T>(
        val value: T,
    ) : PlatformResult<T>

    /** A precondition did not hold; nothing was written. [key] is the first row that differed. */
    public data class Conflict(
        val key: String,
        val revision: Long,
    ) : PlatformResult<Nothing>

    /** The call failed at [step] against [peer]. When [mayHaveApplied] is true a write may have taken effect. */
    public data class Failed(
        val step: String,
        val peer: String,
        val reason: String,
        val mayHaveApplied: Boolean,
    ) : PlatformResult<Nothing>
}

/** Returns the value of an [PlatformResult.Ok], or null for anything else. */
public fun <T> PlatformResult<T>.valueOrNull(): T? = (this as? PlatformResult.Ok)?.value

/** Maps the value of an [PlatformResult.Ok] and passes every other result on. */
public inline fun <T, R> PlatformResult<T>.map(transform: (T) -> R): PlatformResult<R> =
    when (this) {
        is PlatformResult.Ok -> PlatformResult.Ok(transform(value))
        is PlatformResult.Conflict -> this
        is PlatformResult.Failed -> this
    }

/** The transactional table service. Keys are paths; [scan] returns rows in key order. */
public interface TableService {
    /** Reads one row; the value is null when the row is absent. */
    public fun read(key: String): PlatformResult<Row?>

    /** Reads all rows whose key starts with [prefix] and whose revision is above [sinceRevision]. */
    public fun scan(
        prefix: String,
        sinceRevision: Long = 0,
    ): PlatformResult<List<Row>>

    /** Commits [transaction]; the value is the commit's revision. */
    public fun transact(transaction: Transaction): PlatformResult<Long>
}

/** The object store. Objects are immutable once written by this product. */
public interface ObjectStore {
    /** Stores [content] under [key] unless the key exists. Returns true when it was stored by this call. */
    public fun putIfAbsent(
        key: String,
        content: String,
    ): PlatformResult<Boolean>

    /** Reads the object at [key]; the value is null when it is absent. */
    public fun fetch(key: String): PlatformResult<String?>
}

/** The lagging list of instances, and the platform's action on one of them. */
public interface InstanceService {
    /** Lists the instances that changed after list revision [sinceRevision], as of some moment in the past. */
    public fun instances(sinceRevision: Long = 0): PlatformResult<InstanceListPage>

    /** Asks for a reboot of [instanceId]. Repeating a [requestId] has no further effect. */
    public fun reboot(
        instanceId: String,
        requestId: String,
    ): PlatformResult<Unit>
}

/** A page of the instance list. [revision] is where the next page starts. */
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
