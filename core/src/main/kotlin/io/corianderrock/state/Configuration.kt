/*
 * A published configuration, and the table row that points to the one in force.
 */
package io.corianderrock.state

import kotlinx.serialization.Serializable

/**
 * An accepted configuration. [version] increases with each accepted submission. [blob] is the key of the immutable
 * object that stores the declarations; [changeId] and [author] identify the submission that created it.
 */
@Serializable
public data class Configuration(
    val version: Long,
    val blob: String,
    val changeId: String,
    val author: String,
    val declarations: Declarations,
)

/** The table row that identifies the configuration in force. It is updated by compare-and-set only. */
@Serializable
public data class ConfigurationPointer(
    val version: Long,
    val blob: String,
    val changeId: String,
    val author: String,
)
