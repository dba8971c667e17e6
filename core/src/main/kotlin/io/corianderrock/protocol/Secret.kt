/*
 * Credentials in settings.
 */
package io.corianderrock.protocol

import kotlinx.serialization.Serializable
import java.security.MessageDigest

/** A credential. [toString] masks it, so that it does not appear in logs and error messages. */
@Serializable
@JvmInline
public value class Secret(
    private val text: String,
) {
    /** The number of characters. */
    public val length: Int get() = text.length

    /** Returns the plain text. Only for sending the credential to a peer. */
    public fun reveal(): String = text

    /** Compares with [other] in constant time, to prevent timing attacks. */
    public fun matches(other: String?): Boolean = other != null && MessageDigest.isEqual(text.toByteArray(), other.toByteArray())

    override fun toString(): String = "(secret)"
}
