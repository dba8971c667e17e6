/*
 * Decoding of JSON that may have been written by other programs.
 */
package io.corianderrock.jobs.ports

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.json.Json

/** Deepest nesting of lists and objects that is decoded; the messages of this project nest at most six deep. */
private const val MAX_NESTING = 64

/** Decodes [text], or returns null when it is malformed, nested too deep or does not match [deserializer]. */
public fun <T> Json.decodeOrNull(
    deserializer: DeserializationStrategy<T>,
    text: String,
): T? =
    try {
        if (isNestedTooDeep(text)) null else decodeFromString(deserializer, text)
    } catch (_: IllegalArgumentException) {
        // The decoder reports a map that ends after a key by this type, all else by its subtype SerializationException.
        null
    }

/** The decoder reads nested lists recursively, so that a small message could exhaust the stack. */
private fun isNestedTooDeep(text: String): Boolean {
    var depth = 0
    var isInString = false
    var index = 0
    while (index < text.length) {
        when (text[index]) {
            '\\' -> index++
            '"' -> isInString = !isInString
            '[', '{' -> if (!isInString && ++depth > MAX_NESTING) return true
            ']', '}' -> if (!isInString) depth--
        }
        index++
    }
    return false
}
