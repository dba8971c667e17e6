/*
 * Decoding of JSON that may have been written by other programs.
 */
package io.corianderrock.jobs.ports

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** Deepest nesting of lists and objects that is decoded; the messages of this project nest at most six deep. */
public const val MAX_JSON_NESTING: Int = 64

/** Decodes [text], or returns null when it is malformed, nested too deep or does not match [deserializer]. */
public fun <T> Json.decodeOrNull(
    deserializer: DeserializationStrategy<T>,
    text: String,
): T? =
    try {
        if (tooDeepField(text) != null) null else decodeFromString(deserializer, text)
    } catch (_: IllegalArgumentException) {
        // The decoder reports a map that ends after a key by this type, all else by its subtype SerializationException.
        null
    }

/** Decodes [element], or returns null when it does not match [deserializer]. */
public fun <T> Json.decodeElementOrNull(
    deserializer: DeserializationStrategy<T>,
    element: JsonElement,
): T? =
    try {
        decodeFromJsonElement(deserializer, element)
    } catch (_: IllegalArgumentException) {
        null
    }

/**
 * The top-level field of [text] that is nested deeper than [MAX_JSON_NESTING], empty if there is no field; null if none is. The
 * decoder reads nested lists recursively, so that a small message could exhaust the stack.
 */
public fun tooDeepField(text: String): String? {
    var depth = 0
    var stringStart = -1
    var fieldStart = 0
    var fieldEnd = 0
    var index = 0
    while (index < text.length) {
        when (text[index]) {
            '\\' -> index++
            '"' ->
                if (stringStart < 0) {
                    stringStart = index + 1
                } else {
                    if (depth == 1 && isFollowedByColon(text, index)) {
                        fieldStart = stringStart
                        fieldEnd = index
                    }
                    stringStart = -1
                }
            '[', '{' -> if (stringStart < 0 && ++depth > MAX_JSON_NESTING) return text.substring(fieldStart, fieldEnd)
            ']', '}' -> if (stringStart < 0) depth--
        }
        index++
    }
    return null
}

private fun isFollowedByColon(
    text: String,
    quoteIndex: Int,
): Boolean {
    var index = quoteIndex + 1
    while (index < text.length && text[index].isWhitespace()) index++
    return index < text.length && text[index] == ':'
}
