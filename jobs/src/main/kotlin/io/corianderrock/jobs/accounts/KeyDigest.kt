/*
 * Digests of the keys of client accounts. A key is a long random string, so a digest without a salt cannot be reversed by trying
 * likely keys, and one digest per call is enough to look it up.
 */
package io.corianderrock.jobs.accounts

import java.security.MessageDigest
import java.util.HexFormat

private const val DIGEST_BYTES = 32

/** Returns the SHA-256 digest of [key], as UTF-8 text, in lower-case hexadecimal. */
public fun keyDigest(key: String): String = HexFormat.of().formatHex(digestOf(key.toByteArray()))

/** Cloned for each digest, which spares the search for a provider. Never updated, so that threads may share it. */
private val emptyDigest: MessageDigest = MessageDigest.getInstance("SHA-256")

internal fun digestOf(key: ByteArray): ByteArray = (emptyDigest.clone() as MessageDigest).digest(key)

/** Decodes the hexadecimal digest [text]; null when it is not one. */
internal fun decodeDigest(text: String): ByteArray? =
    try {
        HexFormat.of().parseHex(text).takeIf { it.size == DIGEST_BYTES }
    } catch (_: IllegalArgumentException) {
        null
    }
