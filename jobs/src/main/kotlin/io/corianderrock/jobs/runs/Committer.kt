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
    /** How long from now earlier owners may still send orders; stored with each write. */
    private val earlierOrdersWindowMs: () -> Long,
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
        val firstSentAt: ClockReading,
    )

    private val pending = LinkedHashMap<RowKey, Write>()
    private var inFlight: Batch? = null
    private var lastSentAtMs = Long.MIN_VALUE / 2
    private var isScheduled = false
    private var isClosed = false
    private var failures = 0

    /** Set once the ownership is to be given back. */
    private var onReleased: (() -> Unit)? = null

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

    /**
     * Gives the ownership back in the next transaction, which also carries what is pending, new jobs first; nothing is
     * written afterwards. What does not fit is not lost: the workers still list the ends, and callers get no answer.
     */
    fun release(onDone: () -> Unit) {
        if (isClosed) {
            onDone()
            return
        }
        onReleased = onDone
        if (inFlight == null) send()
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
        val sentAt = loop.readClocks()
        tables.commit(changeOf(batch)) { onResult(batch, sentAt, it) }
    }

    private fun takeBatch(): Batch {
        val isLast = onReleased != null
        val queued = if (isLast) pending.values.sortedBy { !it.mustBeAbsent } else pending.values
        val writes = queued.take(MAX_WRITES)
        writes.forEach { pending.remove(it.key) }
        val next = if (isLast) owner.released() else owner.copy(heartbeat = owner.heartbeat + 1)
        return Batch(
            writes,
            next.copy(earlierOrdersWindowMs = earlierOrdersWindowMs()),
            writes.associate {
                it.key to it.value()
            },
            loop.readClocks(),
        )
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
        sentAt: ClockReading,
        result: ChangeResult,
    ) {
        if (isClosed) return
        when (result) {
            is ChangeResult.Committed -> onCommitted(batch, sentAt, result.version)
            is ChangeResult.Conflict -> onConflict(batch, result.rows)
            is ChangeResult.Failed -> onFailed(result)
        }
    }

    private fun onCommitted(
        batch: Batch,
        sentAt: ClockReading,
        version: Long,
    ) {
        if (failures > 0) log.write("store_regained", "failures", failures)
        failures = 0
        owner = batch.owner
        ownerVersion = version
        ownership.confirm(sentAt)
        inFlight = null
        for (write in batch.writes) write.onStored.forEach { it(null) }
        when {
            owner.holder.isEmpty() -> finishRelease()
            onReleased != null -> send()
            pending.isNotEmpty() -> schedule()
        }
    }

    private fun onConflict(
        batch: Batch,
        rows: List<StoredRow>,
    ) {
        val row = rows.firstOrNull { it.key == OwnerRow.KEY }
        val stored = row?.let { OwnerRow.decode(it.value) }
        when {
            // An earlier sending took effect; others count the ownership from that write, not from this answer.
            stored == batch.owner -> onCommitted(batch, batch.firstSentAt, checkNotNull(row).version)
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
        inFlight = Batch(kept, batch.owner, batch.values, loop.readClocks())
        for (write in dropped) write.onStored.forEach { it(existing.getValue(write.key)) }
        send()
    }

    private fun onFailed(result: ChangeResult.Failed) {
        failures++
        if (failures == 1) log.write("store_lost", "reason", result.reason, "mayHaveApplied", result.mayHaveApplied)
        loop.after(RETRY_DELAY_MS) { send() }
    }

    private fun finishRelease() {
        isClosed = true
        log.write("ownership_released", "epoch", owner.epoch, "dropped", pending.size)
        onReleased?.invoke()
    }

    private fun lose(reason: String) {
        isClosed = true
        onReleased?.invoke()
        onLost(reason)
    }

    private companion object {
        /** A transaction without an answer for this long is in trouble; an answer usually takes 5 ms. */
        const val SLOW_MS = 100L

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
