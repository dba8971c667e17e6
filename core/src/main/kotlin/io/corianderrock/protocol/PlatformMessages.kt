/*
 * The messages of the platform's HTTP interface.
 */
package io.corianderrock.protocol

import io.corianderrock.coordination.Row
import kotlinx.serialization.Serializable

/** Paths of the platform's HTTP interface. */
public object PlatformPaths {
    public const val TRANSACT: String = "/v1/transact"
    public const val ROW: String = "/v1/row"
    public const val SCAN: String = "/v1/scan"
    public const val OBJECT: String = "/v1/object"
    public const val INSTANCES: String = "/v1/instances"
    public const val REBOOT: String = "/v1/reboot"
}

/** The answer to a transaction. [revision] is the commit's, or the differing row's when [conflictKey] is set. */
@Serializable
public data class TransactAnswer(
    val revision: Long,
    val conflictKey: String? = null,
)

/** The answer to a read of one row; [row] is null when it is absent. */
@Serializable
public data class RowAnswer(
    val row: Row? = null,
)

/** The answer to a scan. */
@Serializable
public data class ScanAnswer(
    val rows: List<Row>,
)

/** An object's content, as stored; null when it is absent. */
@Serializable
public data class ObjectAnswer(
    val content: String? = null,
)

/** Tells whether a put stored the object. */
@Serializable
public data class PutAnswer(
    val isStored: Boolean,
)
