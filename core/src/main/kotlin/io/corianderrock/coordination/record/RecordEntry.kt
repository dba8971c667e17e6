/*
 * The entries of the audit record, a hash chain, and its verification.
 */
package io.corianderrock.coordination.record

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.security.MessageDigest

/** A change by [author]. [version] is the configuration version, the epoch of an instance or the number of a wave run. */
@Serializable
public data class RecordedEvent(
    val kind: String,
    val subject: String,
    val author: String,
    val cause: String,
    val version: Long,
    val atMs: Long,
)

/** One entry of the chain. [hash] covers the sequence number, the event and [previousHash], the hash of the preceding entry. */
@Serializable
public data class RecordEntry(
    val sequence: Long,
    val event: RecordedEvent,
    val previousHash: String,
    val hash: String,
)

/** The sequence number and hash of the last entry. */
@Serializable
public data class RecordHead(
    val sequence: Long,
    val hash: String,
) {
    public companion object {
        /** The head of an empty record. */
        public val EMPTY: RecordHead = RecordHead(sequence = 0, hash = "0".repeat(HASH_CHARS))

        private const val HASH_CHARS = 64
    }
}

/** Creates the entry that appends [event] to this head. */
public fun RecordHead.next(event: RecordedEvent): RecordEntry =
    RecordEntry(sequence + 1, event, previousHash = hash, hash = entryHash(sequence + 1, event, hash))

/** The head of a record that ends with this entry. */
public fun RecordEntry.asHead(): RecordHead = RecordHead(sequence, hash)

/** The hash of an entry: SHA-256 in lower-case hexadecimal digits. */
public fun entryHash(
    sequence: Long,
    event: RecordedEvent,
    previousHash: String,
): String = sha256Hex("$sequence\n$previousHash\n" + Json.encodeToString(RecordedEvent.serializer(), event))

/** The SHA-256 of [text] in UTF-8, in lower-case hexadecimal digits. */
public fun sha256Hex(text: String): String =
    MessageDigest
        .getInstance("SHA-256")
        .digest(text.toByteArray())
        .joinToString("") { byte -> "%02x".format(byte) }

/** A violation of the hash chain at entry [sequence]. */
@Serializable
public data class RecordDefect(
    val sequence: Long,
    val problem: String,
)

/** Verifies that [entries] form an unbroken chain from the first entry to [head]; an empty result means an intact record. */
public fun verifyRecord(
    entries: List<RecordEntry>,
    head: RecordHead,
): List<RecordDefect> {
    val defects = ArrayList<RecordDefect>()
    var expected = RecordHead.EMPTY
    for (entry in entries) {
        if (entry.sequence != expected.sequence + 1) {
            defects += RecordDefect(entry.sequence, "expected sequence ${expected.sequence + 1}, found ${entry.sequence}")
        }
        if (entry.previousHash != expected.hash) {
            defects += RecordDefect(entry.sequence, "the previous hash does not match the preceding entry")
        }
        if (entry.hash != entryHash(entry.sequence, entry.event, entry.previousHash)) {
            defects += RecordDefect(entry.sequence, "the content does not match the hash")
        }
        expected = entry.asHead()
    }
    if (expected != head) defects += RecordDefect(head.sequence, "last entry ${expected.sequence} does not match head ${head.sequence}")
    return defects
}
