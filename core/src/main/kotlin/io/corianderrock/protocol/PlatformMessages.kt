/*
 * The JSON messages of the platform's HTTP API.
 */
package io.corianderrock.protocol

import io.corianderrock.coordination.Row
import kotlinx.serialization.Serializable

/** Paths of the platform's HTTP API. */
public object PlatformPaths {
    public const val TRANSACT: String = "/v1/transact"
    public const val ROW: String = "/v1/row"
    public const val SCAN: String = "/v1/scan"
    public const val OBJECT: String = "/v1/object"
    public const val INSTANCES: String = "/v1/instances"
    public const val REBOOT: String = "/v1/reboot"
}

/**
 * The response to a transaction. [revision] is that of the commit, or that of the row [conflictKey] if its precondition
 * failed.
 */
@Serializable
public data class TransactAnswer(
    val revision: Long,
    val conflictKey: String? = null,
)

/** The response to a read of one row; [row] is null if it does not exist. */
@Serializable
public data class RowAnswer(
    val row: Row? = null,
)

/** The response to a scan. */
@Serializable
public data class ScanAnswer(
    val rows: List<Row>,
)

/** The response to a fetch of an object; [content] is null if the object does not exist. */
@Serializable
public data class ObjectAnswer(
    val content: String? = null,
)

/** The response to a put; [isStored] is false if an object with that key already existed. */
@Serializable
public data class PutAnswer(
    val isStored: Boolean,
)
