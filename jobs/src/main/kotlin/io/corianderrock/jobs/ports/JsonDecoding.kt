/*
 * Decoding of content that others may have written.
 */
package io.corianderrock.jobs.ports

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Decodes [text], or returns null when it is something else; the caller says what that means. */
public fun <T> Json.decodeOrNull(
    deserializer: DeserializationStrategy<T>,
    text: String,
): T? =
    try {
        decodeFromString(deserializer, text)
    } catch (_: SerializationException) {
        null
    }
