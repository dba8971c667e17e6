/*
 * Reads and extends the audit record in the platform. New entries are table rows, committed with the change that they
 * describe; the controller moves old rows into immutable segments of the object store.
 */
package io.corianderrock.coordination.record

import io.corianderrock.coordination.Platform
import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.Precondition
import io.corianderrock.coordination.Row
import io.corianderrock.coordination.Transaction
import io.corianderrock.coordination.Write
import io.corianderrock.coordination.map
import io.corianderrock.coordination.transactExactlyOnce
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json

/** What a transaction has to carry in order to extend the record. */
public data class RecordExtension(
    val preconditions: List<Precondition>,
    val writes: List<Write>,
)

/** The whole record as read back. */
public data class RecordContent(
    val entries: List<RecordEntry>,
    val head: RecordHead,
)

/** The head row with its revision; revision 0 when the record is empty. */
private data class StoredHead(
    val revision: Long,
    val value: HeadRow,
)

@Serializable
internal data class HeadRow(
    val head: RecordHead,
    val archivedThrough: Long,
)

/** The record kept in [platform]. */
public class AuditRecord(
    private val platform: Platform,
) {
    private val json = Json

    /** Returns the preconditions and writes that append [events]; they fail together with their transaction. */
    public fun extension(events: List<RecordedEvent>): PlatformResult<RecordExtension> = readHead().map { extend(it, events) }

    /** Reads all entries, archived ones first. */
    public fun readAll(): PlatformResult<RecordContent> {
        val current =
            when (val read = readHead()) {
                is PlatformResult.Ok -> read.value.value
                is PlatformResult.Conflict -> return read
                is PlatformResult.Failed -> return read
            }
        val archived = ArrayList<RecordEntry>()
        var next = 1L
        while (next <= current.archivedThrough) {
            val segment =
                when (val fetched = platform.fetch(segmentKey(next))) {
                    is PlatformResult.Ok -> fetched.value?.let { json.decodeFromString(SEGMENT, it) } ?: break
                    is PlatformResult.Conflict -> return fetched
                    is PlatformResult.Failed -> return fetched
                }
            archived += segment
            next = segment.last().sequence + 1
        }
        return platform.scan(ENTRY_PREFIX).map { rows -> RecordContent(archived + decode(rows, current), current.head) }
    }

    /** Moves the oldest rows into one segment once [segmentSize] of them have gathered. Returns how many were moved. */
    public fun archive(segmentSize: Int = SEGMENT_SIZE): PlatformResult<Int> {
        val stored =
            when (val read = readHead()) {
                is PlatformResult.Ok -> read.value
                is PlatformResult.Conflict -> return read
                is PlatformResult.Failed -> return read
            }
        if (stored.value.head.sequence - stored.value.archivedThrough < segmentSize) return PlatformResult.Ok(0)
        val rows =
            when (val scanned = platform.scan(ENTRY_PREFIX)) {
                is PlatformResult.Ok -> scanned.value.take(segmentSize)
                is PlatformResult.Conflict -> return scanned
                is PlatformResult.Failed -> return scanned
            }
        val entries = rows.map(::decodeEntry)
        return when (val put = platform.putIfAbsent(segmentKey(entries.first().sequence), json.encodeToString(SEGMENT, entries))) {
            is PlatformResult.Ok -> dropRows(stored, entries)
            is PlatformResult.Conflict -> put
            is PlatformResult.Failed -> put
        }
    }

    private fun dropRows(
        stored: StoredHead,
        entries: List<RecordEntry>,
    ): PlatformResult<Int> {
        val through = entries.last().sequence
        val transaction =
            Transaction(
                id = "archive-$through",
                preconditions = listOf(Precondition(HEAD_KEY, stored.revision)),
                writes = entries.map { Write(entryKey(it.sequence), null) } + headWrite(stored.value.copy(archivedThrough = through)),
            )
        return platform.transactExactlyOnce(transaction).map { entries.size }
    }

    private fun readHead(): PlatformResult<StoredHead> =
        platform.read(HEAD_KEY).map { row ->
            if (row == null) {
                StoredHead(revision = 0, HeadRow(RecordHead.EMPTY, archivedThrough = 0))
            } else {
                StoredHead(row.revision, json.decodeFromString(HeadRow.serializer(), row.value))
            }
        }

    private fun extend(
        stored: StoredHead,
        events: List<RecordedEvent>,
    ): RecordExtension {
        var head = stored.value.head
        val entries =
            events.map { event ->
                val entry = head.next(event)
                head = entry.asHead()
                entry
            }
        return RecordExtension(
            preconditions = listOf(Precondition(HEAD_KEY, stored.revision)),
            writes = entries.map(::entryWrite) + headWrite(stored.value.copy(head = head)),
        )
    }

    private fun entryWrite(entry: RecordEntry): Write =
        Write(entryKey(entry.sequence), json.encodeToString(RecordEntry.serializer(), entry))

    private fun headWrite(head: HeadRow): Write = Write(HEAD_KEY, json.encodeToString(HeadRow.serializer(), head))

    private fun decode(
        rows: List<Row>,
        current: HeadRow,
    ): List<RecordEntry> = rows.map(::decodeEntry).filter { it.sequence > current.archivedThrough }

    private fun decodeEntry(row: Row): RecordEntry = json.decodeFromString(RecordEntry.serializer(), row.value)

    private companion object {
        const val HEAD_KEY = "record/head"
        const val ENTRY_PREFIX = "record/entry/"
        const val SEGMENT_SIZE = 500
        val SEGMENT = ListSerializer(RecordEntry.serializer())

        fun entryKey(sequence: Long): String = ENTRY_PREFIX + "%019d".format(sequence)

        fun segmentKey(firstSequence: Long): String = "record/segment/" + "%019d".format(firstSequence)
    }
}
