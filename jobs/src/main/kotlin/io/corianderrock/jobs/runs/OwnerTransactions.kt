/*
 * The transactions of one ownership, one in flight at a time, and what becomes of their answers: committed, in conflict, refused for
 * good, or failed and repeated. See Committer.kt for why repeating is safe.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.ports.ChangeResult
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoredRow
import io.corianderrock.jobs.storerate.RetryBackoff
import kotlin.random.Random

/** Sends the writes of [queue], after those of [refused], under the ownership that [owner] tells. Confined to [loop]. */
internal class OwnerTransactions(
    private val loop: EventLoop,
    private val tables: JobTables,
    private val log: DecisionLog,
    private var owner: OwnerRow,
    private var ownerVersion: Long,
    private val earlierOrdersWindowMs: () -> Long,
    private val queue: WriteQueue,
    private val refused: RefusedBatches,
    private val onLost: (String) -> Unit,
    random: Random,
) {
    private var inFlight: WriteBatch? = null
    val health = WriteHealth(loop, log) { inFlight != null }
    private var isScheduled = false
    private var isClosed = false
    private val retryBackoff = RetryBackoff(FIRST_RETRY_WINDOW_MS, LONGEST_RETRY_WINDOW_MS, MIN_RETRY_DELAY_MS, random)

    /** True from a failed attempt of the batch in flight to the next one. */
    private var isRetryDue = false

    /** Callback of [release]; not null once the ownership is to be released. */
    private var onReleased: (() -> Unit)? = null

    /** Writes of refused batches and of the batch in flight, which have a value already. */
    fun openWrites(): List<RowWrite> = inFlight?.writes.orEmpty() + refused.writes

    /** Rewrites the owner row if no transaction was sent for [RENEW_INTERVAL_MS]. */
    fun renewIfDue() {
        health.update()
        if (!health.canWrite) withdrawUnsent()
        if (inFlight == null && health.sinceSentMs >= RENEW_INTERVAL_MS) send()
    }

    /** Gives up the new jobs that the store cannot have received, so that their callers are refused rather than left without answer. */
    private fun withdrawUnsent() {
        val withdrawn = ArrayList(queue.withdraw())
        val batch = inFlight
        if (batch != null && isRetryDue && !batch.mayHaveApplied) {
            val (unsent, kept) = batch.writes.partition { it.onWithdrawn.isNotEmpty() }
            inFlight = WriteBatch(kept, batch.owner, batch.values, batch.firstSentAt)
            withdrawn += unsent
        }
        if (batch == null || isRetryDue && !batch.mayHaveApplied) withdrawn += refused.withdraw()
        if (withdrawn.isEmpty()) return
        log.write("writes_withdrawn", "jobs", withdrawn.size, "confirmedAgoMs", health.ownership.ageMs)
        for (write in withdrawn) write.onWithdrawn.forEach { it() }
    }

    /** Calls [onDone] once the ownership is released, see [Committer.release]. */
    fun release(onDone: () -> Unit) {
        if (isClosed) {
            onDone()
            return
        }
        onReleased = onDone
        if (inFlight == null) send()
    }

    /** Sends the pending writes soon, unless a transaction is in flight. */
    fun schedule() {
        if (isScheduled || inFlight != null) return
        isScheduled = true
        val delayMs = (MIN_INTERVAL_MS - health.sinceSentMs).coerceIn(1, MIN_INTERVAL_MS)
        loop.after(delayMs) {
            isScheduled = false
            if (inFlight == null && queue.isNotEmpty()) send()
        }
    }

    private fun send() {
        if (isClosed) return
        val batch = inFlight ?: takeRemainder() ?: takeBatch()
        // A row that was given up on the way may have ended the term.
        if (isClosed) return
        inFlight = batch
        health.onSent()
        isRetryDue = false
        val sentAt = loop.readClocks()
        tables.commit(batch.changeAt(ownerVersion)) { onResult(batch, sentAt, it) }
    }

    private fun takeRemainder(): WriteBatch? {
        val remainder = refused.takeNext() ?: return null
        return WriteBatch(remainder.writes, nextOwnerRow(), remainder.values, loop.readClocks(), remainder.mayHaveApplied)
    }

    private fun nextOwnerRow(): OwnerRow = owner.copy(heartbeat = owner.heartbeat + 1, earlierOrdersWindowMs = earlierOrdersWindowMs())

    private fun takeBatch(): WriteBatch {
        val values = LinkedHashMap<RowKey, String?>()
        val writes = queue.take(values)
        // What does not fit beside the release is dropped, see [release].
        val next = if (onReleased != null) owner.released().copy(earlierOrdersWindowMs = earlierOrdersWindowMs()) else nextOwnerRow()
        return WriteBatch(writes, next, values, loop.readClocks())
    }

    private fun onResult(
        batch: WriteBatch,
        sentAt: ClockReading,
        result: ChangeResult,
    ) {
        if (isClosed) return
        when (result) {
            is ChangeResult.Committed -> onCommitted(batch, sentAt, result.version)
            is ChangeResult.Conflict -> onConflict(batch, result.rows)
            is ChangeResult.Failed -> if (result.isPermanent) onRefused(batch, result) else onFailed(batch, result)
        }
    }

    private fun onCommitted(
        batch: WriteBatch,
        sentAt: ClockReading,
        version: Long,
    ) {
        health.onCommitted(sentAt, batch.writes.size, queue.size)
        retryBackoff.reset()
        owner = batch.owner
        ownerVersion = version
        inFlight = null
        if (batch.writes.isEmpty()) refused.giveUpSuspect(queue::putBack)
        for (write in batch.writes) write.onStored.forEach { it(null) }
        when {
            isClosed -> Unit
            owner.holder.isEmpty() -> finishRelease()
            onReleased != null || refused.isNotEmpty() -> send()
            queue.isNotEmpty() -> schedule()
        }
    }

    private fun onConflict(
        batch: WriteBatch,
        rows: List<StoredRow>,
    ) {
        val row = rows.firstOrNull { it.key == OwnerRow.KEY }
        val stored = row?.let { OwnerRow.decode(it.value) }
        when {
            // An earlier attempt was applied. Other entries count the ownership from that write, so it confirms as of then.
            stored == batch.owner -> onCommitted(batch, batch.firstSentAt, checkNotNull(row).version)
            stored == owner -> retryWithoutExisting(batch, rows)
            else -> lose("owner row now names holder ${stored?.holder}, epoch ${stored?.epoch}")
        }
    }

    /** Passes rows that must be absent but exist to their callbacks and retries the transaction without them. */
    private fun retryWithoutExisting(
        batch: WriteBatch,
        rows: List<StoredRow>,
    ) {
        val existing = rows.associateBy { it.key }
        val (dropped, kept) = batch.writes.partition { it.mustBeAbsent && it.key in existing }
        if (dropped.isEmpty()) {
            lose("store reported a conflict but returned no conflicting row")
            return
        }
        inFlight = WriteBatch(kept, batch.owner, batch.values, loop.readClocks(), batch.mayHaveApplied)
        for (write in dropped) write.onStored.forEach { it(existing.getValue(write.key)) }
        send()
    }

    /**
     * The store does not accept a row of [batch], and will not. The halves are sent under the same condition on the owner row. As long
     * as an attempt at the whole may still be applied, the first keeps its owner row, by which [onConflict] knows that it was.
     */
    private fun onRefused(
        batch: WriteBatch,
        result: ChangeResult.Failed,
    ) {
        if (batch.writes.isEmpty()) {
            // Not even the owner row is accepted: this is the state of the store, not of the row that was refused before.
            refused.clearSuspect()
            onFailed(batch, result)
            return
        }
        val first = refused.split(batch, result.reason)
        // The release of the ownership ends all writes, so it waits for the other half.
        val ownerRow = if (batch.owner.holder.isEmpty()) nextOwnerRow() else batch.owner
        inFlight = WriteBatch(first, ownerRow, batch.values, batch.firstSentAt, batch.mayHaveApplied)
        send()
    }

    private fun onFailed(
        batch: WriteBatch,
        result: ChangeResult.Failed,
    ) {
        health.onFailed(result.reason, result.mayHaveApplied)
        if (result.mayHaveApplied) batch.mayHaveApplied = true
        isRetryDue = true
        if (!health.canWrite) withdrawUnsent()
        // A transaction without an answer has waited for its timeout already, so it is not delayed further and further.
        val delayMs = if (result.mayHaveApplied) UNANSWERED_RETRY_DELAY_MS else retryBackoff.nextDelayMs()
        loop.after(delayMs) { send() }
    }

    private fun finishRelease() {
        isClosed = true
        log.write("ownership_released", "epoch", owner.epoch, "droppedWrites", queue.size)
        dropWrites()
        onReleased?.invoke()
    }

    /** Ends the ownership, see [Committer.lose]. */
    fun lose(reason: String) {
        if (isClosed) return
        isClosed = true
        dropWrites()
        onReleased?.invoke()
        onLost(reason)
    }

    private fun dropWrites() {
        val dropped = openWrites() + queue.removeAll()
        inFlight = null
        refused.clear()
        for (write in dropped) write.onDropped.forEach { it() }
    }

    private companion object {
        /** Least time between transactions, in which writes are batched: at most 50 transactions a second. */
        const val MIN_INTERVAL_MS = 20L

        /** Interval at which an idle owner rewrites its row: well below the silence after which peers ask for it. */
        const val RENEW_INTERVAL_MS = 400L

        /** Delay before a transaction without an answer is sent again. */
        const val UNANSWERED_RETRY_DELAY_MS = 150L

        /** Least delay after a refusal. With the longest window it is less than the 500 ms that a peer leaves an owner after the timeout of its last write. */
        const val MIN_RETRY_DELAY_MS = 50L
        const val FIRST_RETRY_WINDOW_MS = 100L
        const val LONGEST_RETRY_WINDOW_MS = 400L
    }
}
