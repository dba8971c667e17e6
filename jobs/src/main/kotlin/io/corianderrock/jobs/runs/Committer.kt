/*
 * Groups all writes of the owner into transactions, one at a time. Each transaction requires and rewrites the owner
 * row, so a scheduler that has lost its ownership cannot write, and an unanswered transaction is settled by sending it
 * again: either the first or the second takes effect.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.ports.ChangeResult
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.RowChange
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoredRow

internal class Committer(
    private val loop: EventLoop,
    private val tables: JobTables,
    private val log: DecisionLog,
    private var owner: OwnerRow,
    private var ownerVersion: Long,
    private val onLost: (String) -> Unit,
) {
    private class Write(
        val key: RowKey,
        val value: () -> String?,
        val mustBeAbsent: Boolean,
        val onStored: ArrayList<(StoredRow?) -> Unit> = ArrayList(),
    )

    private class Batch(
        val writes: List<Write>,
        val owner: OwnerRow,
        val values: Map<RowKey, String?>,
    )

    private val pending = LinkedHashMap<RowKey, Write>()
    private var inFlight: Batch? = null
    private var lastSentAtMs = Long.MIN_VALUE / 2
    private var isScheduled = false
    private var isClosed = false
    private var failures = 0

    /** True while transactions fail or have no answer. */
    val isInTrouble: Boolean get() = failures > 0 || inFlight != null && loop.nowMs - lastSentAtMs > SLOW_MS

    /** The last transaction that succeeded, by the time it was sent; ownership is certain only for a while after. */
    val ownership = Freshness(loop)

    /**
     * Stores what [value] returns when the transaction is built; null deletes the row. With [mustBeAbsent] an existing
     * row is kept and handed to [onStored], which otherwise gets null.
     */
    fun put(
        key: RowKey,
        mustBeAbsent: Boolean = false,
        onStored: (StoredRow?) -> Unit = {},
        value: () -> String?,
    ) {
        val write = pending.getOrPut(key) { Write(key, value, mustBeAbsent) }
        write.onStored.add(onStored)
        schedule()
    }

    /** Like [put], but stored together with or after all that is pending now. */
    fun putLast(
        key: RowKey,
        onStored: (StoredRow?) -> Unit,
        value: () -> String?,
    ) {
        val earlier = pending.remove(key)
        val write = Write(key, value, mustBeAbsent = false)
        earlier?.let { write.onStored.addAll(it.onStored) }
        write.onStored.add(onStored)
        pending[key] = write
        schedule()
    }

    /** Rewrites the owner row when nothing else has done so lately. */
    fun renewIfDue() {
        if (inFlight == null && loop.nowMs - lastSentAtMs >= RENEW_INTERVAL_MS) send()
    }

    /** Stores what is pending, then gives the ownership back; nothing is written afterwards. */
    fun release(onDone: () -> Unit) {
        if (isClosed) {
            onDone()
        } else if (inFlight == null && pending.isEmpty()) {
            giveBack(onDone)
        } else {
            loop.after(RELEASE_POLL_MS) { release(onDone) }
        }
    }

    private fun giveBack(onDone: () -> Unit) {
        isClosed = true
        val freed = owner.copy(holder = "", address = "", beat = owner.beat + 1)
        val change = RowChange(expected = mapOf(OwnerRow.KEY to ownerVersion), puts = mapOf(OwnerRow.KEY to freed.encode()))
        tables.commit(change) { result ->
            log.write("ownership_released", "epoch", owner.epoch, "result", result)
            onDone()
        }
    }

    private fun schedule() {
        if (isScheduled || inFlight != null) return
        isScheduled = true
        val delayMs = (lastSentAtMs + MIN_INTERVAL_MS - loop.nowMs).coerceIn(1, MIN_INTERVAL_MS)
        loop.after(delayMs) {
            isScheduled = false
            if (inFlight == null && pending.isNotEmpty()) send()
        }
    }

    private fun send() {
        if (isClosed) return
        val batch = inFlight ?: takeBatch().also { inFlight = it }
        lastSentAtMs = loop.nowMs
        val sentAt = loop.moment()
        tables.commit(changeOf(batch)) { onResult(batch, sentAt, it) }
    }

    private fun takeBatch(): Batch {
        val writes = pending.values.take(MAX_WRITES)
        writes.forEach { pending.remove(it.key) }
        return Batch(writes, owner.copy(beat = owner.beat + 1), writes.associate { it.key to it.value() })
    }

    private fun changeOf(batch: Batch): RowChange {
        val expected = HashMap<RowKey, Long>()
        expected[OwnerRow.KEY] = ownerVersion
        val puts = LinkedHashMap<RowKey, String>()
        puts[OwnerRow.KEY] = batch.owner.encode()
        val deletes = LinkedHashSet<RowKey>()
        for (write in batch.writes) {
            val value = batch.values.getValue(write.key)
            if (value == null) deletes.add(write.key) else puts[write.key] = value
            if (write.mustBeAbsent) expected[write.key] = 0
        }
        return RowChange(expected, puts, deletes)
    }

    private fun onResult(
        batch: Batch,
        sentAt: Moment,
        result: ChangeResult,
    ) {
        if (isClosed) return
        when (result) {
            is ChangeResult.Committed -> onCommitted(batch, sentAt, result.version)
            is ChangeResult.Conflict -> onConflict(batch, sentAt, result.rows)
            is ChangeResult.Failed -> onFailed(result)
        }
    }

    private fun onCommitted(
        batch: Batch,
        sentAt: Moment,
        version: Long,
    ) {
        if (failures > 0) log.write("store_regained", "failures", failures)
        failures = 0
        owner = batch.owner
        ownerVersion = version
        ownership.confirm(sentAt)
        inFlight = null
        for (write in batch.writes) write.onStored.forEach { it(null) }
        if (pending.isNotEmpty()) schedule()
    }

    private fun onConflict(
        batch: Batch,
        sentAt: Moment,
        rows: List<StoredRow>,
    ) {
        val row = rows.firstOrNull { it.key == OwnerRow.KEY }
        val stored = row?.let { OwnerRow.decode(it.value) }
        when {
            stored == batch.owner -> onCommitted(batch, sentAt, checkNotNull(row).version)
            stored == owner -> dropExisting(batch, rows)
            else -> lose("owner row held by ${stored?.holder} epoch ${stored?.epoch}")
        }
    }

    /** Some rows that must be absent exist: hands them over and sends the rest again. */
    private fun dropExisting(
        batch: Batch,
        rows: List<StoredRow>,
    ) {
        val existing = rows.associateBy { it.key }
        val (dropped, kept) = batch.writes.partition { it.mustBeAbsent && it.key in existing }
        if (dropped.isEmpty()) {
            lose("store reported a conflict without a conflicting row")
            return
        }
        inFlight = Batch(kept, batch.owner, batch.values)
        for (write in dropped) write.onStored.forEach { it(existing.getValue(write.key)) }
        send()
    }

    private fun onFailed(result: ChangeResult.Failed) {
        failures++
        if (failures == 1) log.write("store_lost", "reason", result.reason, "mayHaveApplied", result.mayHaveApplied)
        loop.after(RETRY_DELAY_MS) { send() }
    }

    private fun lose(reason: String) {
        isClosed = true
        onLost(reason)
    }

    private companion object {
        /** A transaction without an answer for this long is in trouble; an answer usually takes 5 ms. */
        const val SLOW_MS = 100L

        /** Pause between two looks at whether all is stored before the ownership is given back. */
        const val RELEASE_POLL_MS = 10L

        /** Pause between transactions, in which writes collect: 50 calls a second at most. */
        const val MIN_INTERVAL_MS = 20L

        /** How often an otherwise idle owner rewrites its row; a quarter of the time after which others take over. */
        const val RENEW_INTERVAL_MS = 700L

        /** Pause before a failed transaction is sent again. */
        const val RETRY_DELAY_MS = 150L

        /** Writes in one transaction besides the owner row; the platform takes 100 entries, conditions included. */
        const val MAX_WRITES = 48
    }
}
