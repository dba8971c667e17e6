/*
 * Decoding of JSON that may have been written by other programs.
 */
package io.corianderrock.jobs.ports

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Decodes [text], or returns null when it is malformed or does not match [deserializer]. */
public fun <T> Json.decodeOrNull(
    deserializer: DeserializationStrategy<T>,
    text: String,
): T? =
    try {
        decodeFromString(deserializer, text)
    } catch (_: SerializationException) {
        null
    }
