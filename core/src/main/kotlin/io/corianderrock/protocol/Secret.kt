/*
 * Secrets in settings.
 */
package io.corianderrock.protocol

import kotlinx.serialization.Serializable
import java.security.MessageDigest

/** A secret text. It never shows in logs, errors or [toString]. */
@Serializable
@JvmInline
public value class Secret(
    private val text: String,
) {
    /** The length of the text in characters. */
    public val length: Int get() = text.length

    /** Hands out the text, for use as a credential only. */
    public fun reveal(): String = text

    /** Compares with [other] in time that does not depend on the content. */
    public fun matches(other: String?): Boolean = other != null && MessageDigest.isEqual(text.toByteArray(), other.toByteArray())

    override fun toString(): String = "(secret)"
}
