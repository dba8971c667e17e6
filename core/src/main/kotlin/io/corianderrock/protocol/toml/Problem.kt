/*
 * Validation errors of settings and declarations, collected in a list so that all are reported together.
 */
package io.corianderrock.protocol.toml

import kotlinx.serialization.Serializable

/** A validation error: its location, the value found and the values allowed. [line] is 0 if it is not known. */
@Serializable
public data class Problem(
    val file: String,
    val line: Int,
    val key: String,
    val found: String,
    val allowed: String,
) {
    override fun toString(): String {
        val location = if (line > 0) "$file:$line" else file
        return "$location: $key: found $found; $allowed"
    }
}

/** The result of a validation: a valid value, or all problems that were found. */
public sealed interface Validated<out T> {
    public data class Valid<T>(
        val value: T,
    ) : Validated<T>

    /** [problems] is not empty. */
    public data class Invalid(
        val problems: List<Problem>,
    ) : Validated<Nothing>
}
