/*
 * Row writes of the owner and the transactions that carry them.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.RowChange
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoredRow

/**
 * A write that the store does not accept, now or later. [limitName] is the limit that it is over, "content" if the store did not tell;
 * [sizeBytes] is the size of the value as the store counts it.
 */
internal data class WriteRefusal(
    val key: RowKey,
    val sizeBytes: Int,
    val reason: String,
    val limitName: String = "content",
    val limitBytes: Int? = null,
)

/** A write of the row [key] with those who wait for its outcome. [value] is evaluated when its transaction is built. */
internal class RowWrite(
    val key: RowKey,
    var value: () -> String?,
    val mustBeAbsent: Boolean,
    /** True if the value covers what earlier writes store, so that it must not be stored as it is once one of these was refused. */
    val coversEarlierWrites: Boolean = false,
) {
    val onStored = ArrayList<(StoredRow?) -> Unit>()
    val onDropped = ArrayList<() -> Unit>()

    /** Not empty if the write may be given up while it is certain that it was not applied. */
    val onWithdrawn = ArrayList<() -> Unit>()
    val onRefused = ArrayList<(WriteRefusal) -> Unit>()

    /** Those who wait for [earlier], which this write replaces, are told the outcome of this one, first. */
    fun takeOver(earlier: RowWrite) {
        onStored.addAll(0, earlier.onStored)
        onDropped.addAll(0, earlier.onDropped)
        onRefused.addAll(0, earlier.onRefused)
    }

    /** Gives the write up. */
    fun refuse(
        refusal: WriteRefusal,
        log: DecisionLog,
    ) {
        log.write(
            "write_refused",
            "job",
            refusal.key.key,
            "table",
            refusal.key.table.id,
            "bytes",
            refusal.sizeBytes,
            "limit",
            refusal.limitName,
            "limitBytes",
            refusal.limitBytes ?: "",
            "reason",
            refusal.reason,
        )
        onRefused.forEach { it(refusal) }
    }
}

/** The [writes] of one transaction with their [values], and the [owner] row that it stores. */
internal class WriteBatch(
    val writes: List<RowWrite>,
    val owner: OwnerRow,
    val values: Map<RowKey, String?>,
    val firstSentAt: ClockReading,
    /** True once an attempt has failed that may have been applied or may still be. */
    var mayHaveApplied: Boolean = false,
) {
    /** The transaction on condition that the owner row still has [ownerVersion]. */
    fun changeAt(ownerVersion: Long): RowChange {
        val expected = HashMap<RowKey, Long>()
        expected[OwnerRow.KEY] = ownerVersion
        val puts = LinkedHashMap<RowKey, String>()
        puts[OwnerRow.KEY] = owner.encode()
        val deletes = LinkedHashSet<RowKey>()
        for (write in writes) {
            val value = values.getValue(write.key)
            if (value == null) deletes.add(write.key) else puts[write.key] = value
            if (write.mustBeAbsent) expected[write.key] = 0
        }
        return RowChange(expected, puts, deletes)
    }
}
