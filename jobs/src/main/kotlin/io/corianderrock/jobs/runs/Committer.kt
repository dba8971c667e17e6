/*
 * Groups all writes of the owner into transactions, with one in flight at a time. Each transaction is conditional on the
 * version of the owner row and rewrites it. A scheduler that has lost its ownership therefore cannot write, and a
 * transaction without an answer can be retried safely: only one of the attempts takes effect.
 *
 * A transaction that the store refuses for its content is sent in halves until the row at fault is alone; that one is given up.
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
import io.corianderrock.jobs.storerate.RetryBackoff
import kotlin.random.Random

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

/** Writes rows for the owner [owner]. All methods and callbacks run on the event loop; [onLost] gets the reason as text. */
internal class Committer(
    private val loop: EventLoop,
    private val tables: JobTables,
    private val log: DecisionLog,
    private var owner: OwnerRow,
    private var ownerVersion: Long,
    /** How long from now, in milliseconds, earlier owners may still send orders; stored with each write. */
    private val earlierOrdersWindowMs: () -> Long,
    private val onLost: (String) -> Unit,
    random: Random = Random(owner.epoch),
) {
    private class Write(
        val key: RowKey,
        var value: () -> String?,
        val mustBeAbsent: Boolean,
        val onStored: ArrayList<(StoredRow?) -> Unit> = ArrayList(),
        val onDropped: ArrayList<() -> Unit> = ArrayList(),
        /** Not empty if the write may be given up while it is certain that it was not applied. */
        val onWithdrawn: ArrayList<() -> Unit> = ArrayList(),
        val onRefused: ArrayList<(WriteRefusal) -> Unit> = ArrayList(),
        /** True if the value covers what earlier writes store, so that it must not be stored as it is once one of these was refused. */
        val coversEarlierWrites: Boolean = false,
    )

    /** Writes of a refused batch that are yet to be sent by themselves, with the values that they had in it. */
    private class Remainder(
        val writes: List<Write>,
        val values: Map<RowKey, String?>,
        val mayHaveApplied: Boolean,
    )

    private class Batch(
        val writes: List<Write>,
        val owner: OwnerRow,
        val values: Map<RowKey, String?>,
        val firstSentAt: ClockReading,
        /** True once an attempt has failed that may have been applied or may still be. */
        var mayHaveApplied: Boolean = false,
    )

    private val pending = LinkedHashMap<RowKey, Write>()
    private var inFlight: Batch? = null

    /** What is left of refused batches, to be sent before [pending]. */
    private val remainders = ArrayDeque<Remainder>()

    /** A write that was refused alone. It is given up once the store accepts the owner row without it, so that the row is at fault. */
    private var suspect: Remainder? = null
    private var suspectReason = ""
    private val limits = tables.limits
    private var lastSentAtMs = Long.MIN_VALUE / 2
    private var isScheduled = false
    private var isClosed = false
    private var failures = 0
    private val retryBackoff = RetryBackoff(FIRST_RETRY_WINDOW_MS, LONGEST_RETRY_WINDOW_MS, MIN_RETRY_DELAY_MS, random)

    /** True from a failed attempt of the batch in flight to the next one. */
    private var isRetryDue = false

    /** Callback of [release]; not null once the ownership is to be released. */
    private var onReleased: (() -> Unit)? = null

    /** The most ASCII characters that a value may have. */
    val largestValueLength: Int get() = limits.largestValueLength

    /** True while the current transaction is failing or its answer is overdue. */
    val isStoreUnhealthy: Boolean get() = failures > 0 || isAnswerOverdue(SLOW_ANSWER_MS)

    /**
     * False if no write has been answered for [WRITE_LOST_MS] and the current one was refused or is overdue by as long: a store
     * that takes most of that time for each transaction still carries them. Updated by [renewIfDue], so that a loop that is
     * merely busy does not look like a lost store. Readable from any thread.
     */
    @Volatile
    var canWrite: Boolean = true
        private set

    /** Age of the ownership: the last committed transaction confirms it as of the time at which it was sent. */
    val ownership = Freshness(loop)

    /**
     * Writes the row [key] in a later transaction. [value] is evaluated when the transaction is built; null deletes the
     * row. With [mustBeAbsent] an existing row is left unchanged and passed to [onStored], which otherwise gets null. A
     * write that is still pending for the same key keeps its place, writes the later [value] and calls [onStored] as well; one in
     * flight with [mustBeAbsent] is joined, since a second one would only conflict with it. [onDropped] is called instead if the
     * ownership ends before the answer: the row may have been written or not. With [onWithdrawn] the write is given up once the
     * store is lost, if it is certain that it was not and will not be applied. [onRefused] is called, and [onStored] is not, if the
     * store does not accept the row: it holds what it held before. Without [onRefused], [onDropped] is called then.
     */
    fun put(
        key: RowKey,
        mustBeAbsent: Boolean = false,
        onDropped: () -> Unit = {},
        onWithdrawn: (() -> Unit)? = null,
        onRefused: ((WriteRefusal) -> Unit)? = null,
        onStored: (StoredRow?) -> Unit = {},
        value: () -> String?,
    ) {
        val write =
            sentWrites().firstOrNull { mustBeAbsent && it.mustBeAbsent && it.key == key }
                ?: pending.getOrPut(key) { Write(key, value, mustBeAbsent) }.also { if (!it.mustBeAbsent) it.value = value }
        write.onStored.add(onStored)
        write.onDropped.add(onDropped)
        onWithdrawn?.let(write.onWithdrawn::add)
        write.onRefused.add(onRefused ?: { onDropped() })
        schedule()
    }

    /** Writes of refused batches and of the batch in flight, which have a value already. */
    private fun sentWrites(): List<Write> = inFlight?.writes.orEmpty() + suspect?.writes.orEmpty() + remainders.flatMap { it.writes }

    /**
     * Like [put], but commits in the same transaction as the writes pending now, or in a later one. If one of these is refused,
     * [value] is evaluated again before the row is stored.
     */
    fun putAfterPending(
        key: RowKey,
        onDropped: () -> Unit = {},
        onRefused: ((WriteRefusal) -> Unit)? = null,
        onStored: (StoredRow?) -> Unit,
        value: () -> String?,
    ) {
        val write = moveToEnd(Write(key, value, mustBeAbsent = false, coversEarlierWrites = true))
        write.onStored.add(onStored)
        write.onDropped.add(onDropped)
        write.onRefused.add(onRefused ?: { onDropped() })
        schedule()
    }

    /** Makes [write] the last one pending; it takes over the callbacks of one that is pending for the same key. */
    private fun moveToEnd(write: Write): Write {
        val earlier = pending.remove(write.key)
        earlier?.let {
            write.onStored.addAll(it.onStored)
            write.onDropped.addAll(it.onDropped)
            write.onRefused.addAll(it.onRefused)
        }
        pending[write.key] = write
        return write
    }

    /** Rewrites the owner row if no transaction was sent for [RENEW_INTERVAL_MS]. */
    fun renewIfDue() {
        canWrite = ownership.ageMs < WRITE_LOST_MS || failures == 0 && !isAnswerOverdue(WRITE_LOST_MS)
        if (!canWrite) withdrawUnsent()
        if (inFlight == null && loop.nowMs - lastSentAtMs >= RENEW_INTERVAL_MS) send()
    }

    /** Gives up the new jobs that the store cannot have received, so that their callers are refused rather than left without answer. */
    private fun withdrawUnsent() {
        val withdrawn = pending.values.filterTo(ArrayList()) { it.onWithdrawn.isNotEmpty() }
        withdrawn.forEach { pending.remove(it.key) }
        val batch = inFlight
        if (batch != null && isRetryDue && !batch.mayHaveApplied) {
            val (unsent, kept) = batch.writes.partition { it.onWithdrawn.isNotEmpty() }
            inFlight = Batch(kept, batch.owner, batch.values, batch.firstSentAt)
            withdrawn += unsent
        }
        if (batch == null || isRetryDue && !batch.mayHaveApplied) withdrawn += withdrawRemainders()
        if (withdrawn.isEmpty()) return
        log.write("writes_withdrawn", "jobs", withdrawn.size, "confirmedAgoMs", ownership.ageMs)
        for (write in withdrawn) write.onWithdrawn.forEach { it() }
    }

    private fun withdrawRemainders(): List<Write> {
        val withdrawn = ArrayList<Write>()
        val kept =
            remainders.map { remainder ->
                val (unsent, others) = remainder.writes.partition { it.onWithdrawn.isNotEmpty() && !remainder.mayHaveApplied }
                withdrawn += unsent
                Remainder(others, remainder.values, remainder.mayHaveApplied)
            }
        remainders.clear()
        remainders.addAll(kept.filter { it.writes.isNotEmpty() })
        return withdrawn
    }

    /**
     * Releases the ownership in the next transaction, which also carries pending writes; nothing is written afterwards. Dropping
     * the rest is safe: workers list ended runs until they are acknowledged, and callers whose jobs were not stored are told that
     * the outcome is open.
     */
    fun release(onDone: () -> Unit) {
        if (isClosed) {
            onDone()
            return
        }
        onReleased = onDone
        if (inFlight == null) send()
    }

    private fun isAnswerOverdue(afterMs: Long): Boolean = inFlight != null && loop.nowMs - lastSentAtMs > afterMs

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
        val batch = inFlight ?: takeRemainder() ?: takeBatch()
        // A row that was given up on the way may have ended the term.
        if (isClosed) return
        inFlight = batch
        lastSentAtMs = loop.nowMs
        isRetryDue = false
        val sentAt = loop.readClocks()
        tables.commit(changeOf(batch)) { onResult(batch, sentAt, it) }
    }

    private fun takeRemainder(): Batch? {
        val remainder = remainders.removeFirstOrNull() ?: return null
        return Batch(remainder.writes, nextOwnerRow(), remainder.values, loop.readClocks(), remainder.mayHaveApplied)
    }

    private fun nextOwnerRow(): OwnerRow = owner.copy(heartbeat = owner.heartbeat + 1, earlierOrdersWindowMs = earlierOrdersWindowMs())

    private fun takeBatch(): Batch {
        val values = LinkedHashMap<RowKey, String?>()
        val writes = takeWrites(values)
        // What does not fit beside the release is dropped, see [release].
        val next = if (onReleased != null) owner.released().copy(earlierOrdersWindowMs = earlierOrdersWindowMs()) else nextOwnerRow()
        return Batch(writes, next, values, loop.readClocks())
    }

    /** Takes the writes of the next transaction from [pending] and puts their values into [values]. Rows that cannot be stored are given up. */
    private fun takeWrites(values: MutableMap<RowKey, String?>): List<Write> {
        val taken = ArrayList<Write>()
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
                exceeded?.let { refuse(write, WriteRefusal(write.key, it.sizeBytes, "not sent", it.name, it.limitBytes)) }
            }
        }
        return taken
    }

    /**
     * As many pending writes as one transaction holds: new jobs first, since their callers wait, then in order of arrival. New jobs
     * leave a share to other rows, without which nothing starts on new workers and no end is acknowledged.
     */
    private fun nextWrites(): Pair<List<Write>, List<Write>> {
        val (newJobs, others) = pending.values.partition { it.mustBeAbsent }
        val reserved = minOf(others.size, RESERVED_ENTRIES)
        val first = newJobs.take((MAX_ENTRIES - OWNER_ROW_ENTRIES - reserved) / ENTRIES_PER_NEW_JOB)
        return first to others.take(MAX_ENTRIES - OWNER_ROW_ENTRIES - first.size * ENTRIES_PER_NEW_JOB)
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
            is ChangeResult.Failed -> if (result.isPermanent) onRefused(batch, result) else onFailed(batch, result)
        }
    }

    private fun onCommitted(
        batch: Batch,
        sentAt: ClockReading,
        version: Long,
    ) {
        if (failures > 0) log.write("store_regained", "failures", failures)
        val tookMs = loop.nowMs - sentAt.loopMs
        if (tookMs > SLOW_ANSWER_MS) log.write("commit_slow", "tookMs", tookMs, "rows", batch.writes.size, "waiting", pending.size)
        failures = 0
        retryBackoff.reset()
        owner = batch.owner
        ownerVersion = version
        ownership.confirm(sentAt)
        canWrite = true
        inFlight = null
        if (batch.writes.isEmpty()) giveUpSuspect()
        for (write in batch.writes) write.onStored.forEach { it(null) }
        when {
            isClosed -> Unit
            owner.holder.isEmpty() -> finishRelease()
            onReleased != null || remainders.isNotEmpty() -> send()
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
            // An earlier attempt was applied. Other entries count the ownership from that write, so it confirms as of then.
            stored == batch.owner -> onCommitted(batch, batch.firstSentAt, checkNotNull(row).version)
            stored == owner -> retryWithoutExisting(batch, rows)
            else -> lose("owner row now names holder ${stored?.holder}, epoch ${stored?.epoch}")
        }
    }

    /** Passes rows that must be absent but exist to their callbacks and retries the transaction without them. */
    private fun retryWithoutExisting(
        batch: Batch,
        rows: List<StoredRow>,
    ) {
        val existing = rows.associateBy { it.key }
        val (dropped, kept) = batch.writes.partition { it.mustBeAbsent && it.key in existing }
        if (dropped.isEmpty()) {
            lose("store reported a conflict but returned no conflicting row")
            return
        }
        inFlight = Batch(kept, batch.owner, batch.values, loop.readClocks(), batch.mayHaveApplied)
        for (write in dropped) write.onStored.forEach { it(existing.getValue(write.key)) }
        send()
    }

    /**
     * The store does not accept a row of [batch], and will not. The halves are sent under the same condition on the owner row. As long
     * as an attempt at the whole may still be applied, the first keeps its owner row, by which [onConflict] knows that it was.
     */
    private fun onRefused(
        batch: Batch,
        result: ChangeResult.Failed,
    ) {
        if (batch.writes.isEmpty()) {
            // Not even the owner row is accepted: this is the state of the store, not of the row that was refused before.
            suspect?.let { remainders.addFirst(it) }
            suspect = null
            onFailed(batch, result)
            return
        }
        val halfCount = batch.writes.size / 2
        val first = batch.writes.take(halfCount)
        val rest = Remainder(batch.writes.drop(halfCount), batch.values, batch.mayHaveApplied)
        if (halfCount == 0) {
            suspect = rest
            suspectReason = result.reason
        } else {
            remainders.addFirst(rest)
        }
        // The release of the ownership ends all writes, so it waits for the other half.
        val ownerRow = if (batch.owner.holder.isEmpty()) nextOwnerRow() else batch.owner
        inFlight = Batch(first, ownerRow, batch.values, batch.firstSentAt, batch.mayHaveApplied)
        send()
    }

    private fun giveUpSuspect() {
        val refused = suspect ?: return
        suspect = null
        val write = refused.writes.single()
        val size = refused.values.getValue(write.key)?.let(limits::sizeOf) ?: 0
        refuse(write, WriteRefusal(write.key, size, suspectReason))
        for (remainder in remainders.toList()) {
            val (covering, others) = remainder.writes.partition { it.coversEarlierWrites }
            if (covering.isEmpty()) continue
            remainders[remainders.indexOf(remainder)] = Remainder(others, remainder.values, remainder.mayHaveApplied)
            covering.forEach(::reevaluate)
        }
        remainders.removeAll { it.writes.isEmpty() }
    }

    /** Puts [write] back among the pending ones, so that its value is evaluated again; one that was put since keeps its later value. */
    private fun reevaluate(write: Write) {
        val later = pending[write.key]
        if (later == null) {
            pending[write.key] = write
        } else {
            later.onStored.addAll(0, write.onStored)
            later.onDropped.addAll(0, write.onDropped)
            later.onRefused.addAll(0, write.onRefused)
        }
    }

    private fun refuse(
        write: Write,
        refusal: WriteRefusal,
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
        write.onRefused.forEach { it(refusal) }
    }

    private fun onFailed(
        batch: Batch,
        result: ChangeResult.Failed,
    ) {
        failures++
        if (result.mayHaveApplied) batch.mayHaveApplied = true
        isRetryDue = true
        if (failures == 1) log.write("store_lost", "reason", result.reason, "mayHaveApplied", result.mayHaveApplied)
        if (!canWrite) withdrawUnsent()
        // A transaction without an answer has waited for its timeout already, so it is not delayed further and further.
        val delayMs = if (result.mayHaveApplied) UNANSWERED_RETRY_DELAY_MS else retryBackoff.nextDelayMs()
        loop.after(delayMs) { send() }
    }

    private fun finishRelease() {
        isClosed = true
        log.write("ownership_released", "epoch", owner.epoch, "droppedWrites", pending.size)
        dropWrites()
        onReleased?.invoke()
    }

    /** Ends the ownership for [reason]: nothing is sent any more. A write in flight may still be applied. */
    fun lose(reason: String) {
        if (isClosed) return
        isClosed = true
        dropWrites()
        onReleased?.invoke()
        onLost(reason)
    }

    private fun dropWrites() {
        val dropped = sentWrites() + pending.values
        inFlight = null
        suspect = null
        remainders.clear()
        pending.clear()
        for (write in dropped) write.onDropped.forEach { it() }
    }

    private companion object {
        /** Age from which the answer to a transaction counts as overdue; answers usually take 5 ms. */
        const val SLOW_ANSWER_MS = 100L

        /** Least time between transactions, in which writes are batched: at most 50 transactions a second. */
        const val MIN_INTERVAL_MS = 20L

        /** Interval at which an idle owner rewrites its row: well below the silence after which peers ask for it. */
        const val RENEW_INTERVAL_MS = 400L

        /** Two renewals without an answer; also the longest wait for the answer to one transaction. */
        const val WRITE_LOST_MS = 800L

        /** Delay before a transaction without an answer is sent again. */
        const val UNANSWERED_RETRY_DELAY_MS = 150L

        /** Least delay after a refusal. With the longest window it is less than the 500 ms that a peer leaves an owner after the timeout of its last write. */
        const val MIN_RETRY_DELAY_MS = 50L
        const val FIRST_RETRY_WINDOW_MS = 100L
        const val LONGEST_RETRY_WINDOW_MS = 400L

        /** Entries of one transaction that the store accepts: rows and conditions. */
        const val MAX_ENTRIES = 100

        /** Entries that new jobs leave to other rows. */
        const val RESERVED_ENTRIES = 32

        /** New jobs leave a quarter of the bytes to other rows. */
        const val RESERVED_BYTES_DIVISOR = 4

        /** The row and the condition that it is absent. */
        const val ENTRIES_PER_NEW_JOB = 2

        /** The owner row and the condition on it. */
        const val OWNER_ROW_ENTRIES = 2
    }
}
