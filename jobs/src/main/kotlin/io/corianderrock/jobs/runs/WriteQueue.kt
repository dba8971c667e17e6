/*
 * Writes of the owner that no transaction has carried yet, and which of them the next one carries.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoreLimits

/** Writes that exceed one of [limits] by themselves are given up. Confined to the event loop. */
internal class WriteQueue(
    private val limits: StoreLimits,
    private val log: DecisionLog,
) {
    private val pending = LinkedHashMap<RowKey, RowWrite>()

    val size: Int get() = pending.size

    fun isNotEmpty(): Boolean = pending.isNotEmpty()

    /** The pending write of [key], which keeps its place and now writes [value] unless the row must be absent, or else a new one. */
    fun add(
        key: RowKey,
        mustBeAbsent: Boolean,
        value: () -> String?,
    ): RowWrite = pending.getOrPut(key) { RowWrite(key, value, mustBeAbsent) }.also { if (!it.mustBeAbsent) it.value = value }

    /** Makes [write] the last one pending; it takes over the callbacks of one that is pending for the same key. */
    fun addLast(write: RowWrite) {
        pending.remove(write.key)?.let(write::takeOver)
        pending[write.key] = write
    }

    /** Puts [write] back so that its value is evaluated again; one that was put since keeps its later value. */
    fun putBack(write: RowWrite) {
        val later = pending[write.key]
        if (later == null) pending[write.key] = write else later.takeOver(write)
    }

    /** Removes and returns the writes that may be given up. */
    fun withdraw(): List<RowWrite> {
        val withdrawn = pending.values.filter { it.onWithdrawn.isNotEmpty() }
        withdrawn.forEach { pending.remove(it.key) }
        return withdrawn
    }

    fun removeAll(): List<RowWrite> = pending.values.toList().also { pending.clear() }

    /** Removes and returns the writes of the next transaction and puts their values into [values]. Rows that cannot be stored are given up. */
    fun take(values: MutableMap<RowKey, String?>): List<RowWrite> {
        val taken = ArrayList<RowWrite>()
        var leftBytes = limits.batchBytes
        val (newJobs, others) = nextWrites()
        for (group in listOf(newJobs, others)) {
            val reservedBytes = if (group === newJobs && others.isNotEmpty()) limits.batchBytes / RESERVED_BYTES_DIVISOR else 0
            for (write in group) {
                val value = write.value()
                val exceeded = value?.let { limits.exceededBy(write.key, it) }
                if (exceeded == null) {
                    val size = limits.entrySizeOf(write.key, value)
                    // A row that is not larger than the limit fits into an empty transaction.
                    if (size > leftBytes - reservedBytes && leftBytes < limits.batchBytes) break
                    leftBytes -= size
                    taken.add(write)
                    values[write.key] = value
                }
                pending.remove(write.key)
                exceeded?.let { write.refuse(WriteRefusal(write.key, it.sizeBytes, "not sent", it.name, it.limitBytes), log) }
            }
        }
        return taken
    }

    /**
     * As many pending writes as one transaction holds: new jobs first, since their callers wait, then in order of arrival. New jobs
     * leave a share to other rows, without which nothing starts on new workers and no end is acknowledged.
     */
    private fun nextWrites(): Pair<List<RowWrite>, List<RowWrite>> {
        val (newJobs, others) = pending.values.partition { it.mustBeAbsent }
        val reserved = minOf(others.size, RESERVED_ENTRIES)
        val first = newJobs.take((MAX_ENTRIES - OWNER_ROW_ENTRIES - reserved) / ENTRIES_PER_NEW_JOB)
        return first to others.take(MAX_ENTRIES - OWNER_ROW_ENTRIES - first.size * ENTRIES_PER_NEW_JOB)
    }

    companion object {
        /** Entries of one transaction that the store accepts: rows and conditions. */
        private const val MAX_ENTRIES = 100

        /** Entries that new jobs leave to other rows. */
        const val RESERVED_ENTRIES = 32

        /** New jobs leave a quarter of the bytes to other rows. */
        private const val RESERVED_BYTES_DIVISOR = 4

        /** The row and the condition that it is absent. */
        private const val ENTRIES_PER_NEW_JOB = 2

        /** The owner row and the condition on it. */
        private const val OWNER_ROW_ENTRIES = 2
    }
}
