/*
 * Errors of settings and declarations, collected as a list so that all are reported at once.
 */
package io.corianderrock.protocol.toml

import kotlinx.serialization.Serializable

/** One error: where it is, what was found and what is allowed instead. [line] is 0 when it is not known. */
@Serializable
public data class Problem(
    val file: String,
    val line: Int,
    val key: String,
    val found: String,
    val allowed: String,
) {
    override fun toString(): String {
        val place = if (line > 0) "$file:$line" else file
        return "$place: $key: found $found; $allowed"
    }
}

/** A decoded value, or every problem that kept it from being decoded. */
public sealed interface Checked<out T> {
    /** The value is valid. */
    public data class Valid<T>(
        val value: T,
    ) : Checked<T>

    /** The value is invalid for each of [problems]. */
    public data class Invalid(
        val problems: List<Problem>,
    ) : Checked<Nothing>
}
