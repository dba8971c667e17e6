/*
 * A published configuration: declarations with the version under which they were accepted.
 */
package io.corianderrock.state

import kotlinx.serialization.Serializable

/**
 * An accepted configuration. Versions only rise; [blob] names the immutable object that holds the declarations and
 * [changeId] the submission that created it.
 */
@Serializable
public data class Configuration(
    val version: Long,
    val blob: String,
    val changeId: String,
    val author: String,
    val declarations: Declarations,
)

/** The row that names the configuration in force. It is moved by compare-and-set only. */
@Serializable
public data class ConfigurationPointer(
    val version: Long,
    val blob: String,
    val changeId: String,
    val author: String,
)
