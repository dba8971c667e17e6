/*
 * The audit record: entries chained by hash, each committed in the transaction of the change that it describes.
 */
package io.corianderrock.coordination.record

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.security.MessageDigest

/** What happened, by whom and why. [version] is the configuration's, or the epoch of the instance concerned. */
@Serializable
public data class RecordedEvent(
    val kind: String,
    val subject: String,
    val author: String,
    val cause: String,
    val version: Long,
    val atMs: Long,
)

/** One entry of the chain. [hash] covers the sequence number, the event and the hash of the entry before. */
@Serializable
public data class RecordEntry(
    val sequence: Long,
    val event: RecordedEvent,
    val previousHash: String,
    val hash: String,
)

/** The end of the chain. */
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

/** Returns the entry that follows this head with [event]. */
public fun RecordHead.next(event: RecordedEvent): RecordEntry =
    RecordEntry(sequence + 1, event, previousHash = hash, hash = entryHash(sequence + 1, event, hash))

/** Returns the head after this entry. */
public fun RecordEntry.asHead(): RecordHead = RecordHead(sequence, hash)

/** Computes the hash of an entry, as hexadecimal SHA-256. */
public fun entryHash(
    sequence: Long,
    event: RecordedEvent,
    previousHash: String,
): String = sha256Hex("$sequence\n$previousHash\n" + Json.encodeToString(RecordedEvent.serializer(), event))

/** Returns the SHA-256 of [text] in UTF-8, as hexadecimal digits. */
public fun sha256Hex(text: String): String =
    MessageDigest
        .getInstance("SHA-256")
        .digest(text.toByteArray())
        .joinToString("") { byte -> "%02x".format(byte) }

/** A defect of a record. */
@Serializable
public data class RecordDefect(
    val sequence: Long,
    val problem: String,
)

/** Checks that [entries] form an unbroken chain from the start to [head]. Returns every defect found. */
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
            defects += RecordDefect(entry.sequence, "does not continue the entry before it")
        }
        if (entry.hash != entryHash(entry.sequence, entry.event, entry.previousHash)) {
            defects += RecordDefect(entry.sequence, "content differs from its hash")
        }
        expected = entry.asHead()
    }
    if (expected != head) defects += RecordDefect(head.sequence, "the record ends at ${expected.sequence}, its head is ${head.sequence}")
    return defects
}
