/*
 * Stores the audit record in the platform. New entries are table rows, committed in the transaction of the change that they
 * describe; the controller archives old rows as immutable segments in the object store.
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

/** The preconditions and writes that a transaction has to include in order to append to the record. */
public data class RecordAppend(
    val preconditions: List<Precondition>,
    val writes: List<Write>,
)

/** The whole record: all [entries] in order of sequence, and the [head] that the last of them must match. */
public data class RecordContent(
    val entries: List<RecordEntry>,
    val head: RecordHead,
)

/** The head row with its revision; revision 0 if the record is empty. */
private data class StoredHead(
    val revision: Long,
    val value: HeadRow,
)

@Serializable
internal data class HeadRow(
    val head: RecordHead,
    val archivedThrough: Long,
)

/** Reads and appends to the record in [platform]. Stateless. */
public class AuditRecord(
    private val platform: Platform,
) {
    private val json = Json

    /** Prepares the append of [events]. The transaction is a conflict if another append commits first. */
    public fun prepareAppend(events: List<RecordedEvent>): PlatformResult<RecordAppend> = readHead().map { appendTo(it, events) }

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

    /** Archives the oldest [segmentSize] rows as one segment, if there are that many. Returns the number of archived rows. */
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
            is PlatformResult.Ok -> deleteArchivedRows(stored, entries)
            is PlatformResult.Conflict -> put
            is PlatformResult.Failed -> put
        }
    }

    private fun deleteArchivedRows(
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

    private fun appendTo(
        stored: StoredHead,
        events: List<RecordedEvent>,
    ): RecordAppend {
        var head = stored.value.head
        val entries =
            events.map { event ->
                val entry = head.next(event)
                head = entry.asHead()
                entry
            }
        return RecordAppend(
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
