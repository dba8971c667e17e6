/*
 * In-memory store with the faults of the platform's store: unreachable for all entries or for one, slow, late or lost answers, and
 * writes that are applied seconds later.
 */
package io.corianderrock.jobs.world

import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.ports.ChangeResult
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.ReadResult
import io.corianderrock.jobs.ports.RowChange
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoredRow
import io.corianderrock.jobs.ports.Table
import kotlin.random.Random

internal class SimStore(
    private val time: SimTime,
    private val random: Random,
) {
    private val rows = HashMap<RowKey, StoredRow>()
    private var version = 0L
    var isDown = false
    var lostAnswerRatio = 0.0

    /** Further delay of each answer and the time that each transaction keeps the next one waiting; above zero the store is slow. */
    var slowMs = 0L
    private var busyUntilMs = 0L

    /** Further delay of the answer to each write, which is applied without it. */
    var commitAnswerDelayMs = 0L

    /** Further delay of the answer to each read. */
    var readAnswerDelayMs = 0L
    val completeWaves = HashSet<Int>()

    /** The load against the store's rates; null while they do not matter. */
    var load: StoreLoad? = null

    /** The budget that calls of each entry pass from now on; null if they pass none. */
    var budget: SimBudget? = null

    /** Transactions of entries around the owner that were carried out, and those of them that changed nothing. */
    var callersCount = 0
        private set
    var wastedCount = 0
        private set

    /** Called with each change that an entry sends. */
    var onCommitSent: (SimEntry, RowChange) -> Unit = { _, _ -> }

    /** True while no fault is active. */
    val isSound: Boolean get() = !isDown && slowMs == 0L && lostAnswerRatio == 0.0 && load.let { it == null || it.slowFactor == 1.0 }

    fun apply(change: RowChange): ChangeResult {
        val conflicts = change.expected.filter { (key, expected) -> (rows[key]?.version ?: 0) != expected }
        if (conflicts.isNotEmpty()) return ChangeResult.Conflict(change.expected.keys.mapNotNull { rows[it] })
        version++
        change.puts.forEach { (key, value) -> rows[key] = StoredRow(key, value, version) }
        change.deletes.forEach { rows.remove(it) }
        return ChangeResult.Committed(version, time.nowMs)
    }

    fun rowsOf(table: Table): ReadResult =
        ReadResult.Rows(
            rows.values
                .filter {
                    it.key.table == table
                }.sortedBy { it.key.key },
            version,
            time.nowMs,
        )

    fun row(key: RowKey): ReadResult = ReadResult.Rows(listOfNotNull(rows[key]), version, time.nowMs)

    /** The tables as [entry] sees them, with delays and faults. */
    fun tablesFor(entry: SimEntry): JobTables = BudgetedTables(entry, EntryTables(entry)) { budget }

    private inner class EntryTables(
        private val entry: SimEntry,
    ) : JobTables {
        private val loop: EventLoop = entry.loop

        override fun commit(
            change: RowChange,
            onResult: (ChangeResult) -> Unit,
        ) {
            onCommitSent(entry, change)
            if (isUnreachable()) {
                loop.after(TIMEOUT_MS) { onResult(ChangeResult.Failed("no answer", mayHaveApplied = true)) }
                return
            }
            load?.let {
                commitWithin(it, change, onResult)
                return
            }
            if (slowMs > 0) {
                commitSlowly(change, onResult)
                return
            }
            val isLost = random.nextDouble() < lostAnswerRatio
            val applyDelayMs = if (isLost && random.nextBoolean()) random.nextLong(500, 5_000) else random.nextLong(1, 4)
            time.after(applyDelayMs) {
                val result = apply(change)
                if (!isLost) loop.after(random.nextLong(1, 4) + commitAnswerDelayMs) { onResult(result) }
            }
            if (isLost) loop.after(TIMEOUT_MS) { onResult(ChangeResult.Failed("answer lost", mayHaveApplied = true)) }
        }

        /** Applies the change when its turn comes within the store's rates; one that is applied late cannot be refused any more. */
        private fun commitWithin(
            load: StoreLoad,
            change: RowChange,
            onResult: (ChangeResult) -> Unit,
        ) {
            val isLost = random.nextDouble() < lostAnswerRatio
            val answer = once(onResult)
            loop.after(TIMEOUT_MS) { answer(ChangeResult.Failed("no answer", mayHaveApplied = true)) }
            if (isLost && random.nextBoolean()) {
                time.after(random.nextLong(500, 5_000)) {
                    load.addLateTransaction()
                    applyCounted(change)
                }
                return
            }
            val takesMs = load.transactionMs()
            if (takesMs == null) {
                if (!isLost) loop.after(2 + load.extraAnswerMs) { answer(ChangeResult.Failed("status 429", mayHaveApplied = false)) }
                return
            }
            time.after(takesMs) {
                val result = applyCounted(change)
                if (!isLost) loop.after(2) { answer(result) }
            }
        }

        private fun applyCounted(change: RowChange): ChangeResult {
            val result = apply(change)
            if (OwnerRow.KEY !in change.puts) {
                callersCount++
                if (result is ChangeResult.Conflict) wastedCount++
            }
            return result
        }

        private fun once(onResult: (ChangeResult) -> Unit): (ChangeResult) -> Unit {
            var isAnswered = false
            return { result ->
                if (!isAnswered) {
                    isAnswered = true
                    onResult(result)
                }
            }
        }

        /** Applies transactions one after another; refuses them while more than a second of them waits. */
        private fun commitSlowly(
            change: RowChange,
            onResult: (ChangeResult) -> Unit,
        ) {
            val startMs = maxOf(busyUntilMs, time.nowMs)
            if (startMs - time.nowMs > MAX_WAITING_MS) {
                loop.after(slowMs) { onResult(ChangeResult.Failed("overloaded", mayHaveApplied = false)) }
                return
            }
            busyUntilMs = startMs + slowMs
            val answer = once(onResult)
            time.after(busyUntilMs - time.nowMs) {
                val result = apply(change)
                loop.after(slowMs) { answer(result) }
            }
            loop.after(TIMEOUT_MS) { answer(ChangeResult.Failed("no answer", mayHaveApplied = true)) }
        }

        override fun scan(
            table: Table,
            onResult: (ReadResult) -> Unit,
        ) = read({ rowsOf(table) }, onResult)

        override fun read(
            key: RowKey,
            onResult: (ReadResult) -> Unit,
        ) = read({ row(key) }, onResult)

        private fun read(
            rows: () -> ReadResult,
            onResult: (ReadResult) -> Unit,
        ) {
            if (isUnreachable()) {
                loop.after(TIMEOUT_MS) { onResult(ReadResult.Failed("no answer")) }
                return
            }
            val load = load
            when {
                load == null -> answerRead(2 + slowMs, rows, onResult)
                random.nextDouble() < lostAnswerRatio -> loop.after(TIMEOUT_MS) { onResult(ReadResult.Failed("answer lost")) }
                load.admitsRead() -> answerRead(2 + load.extraAnswerMs, rows, onResult)
                else -> loop.after(2 + load.extraAnswerMs) { onResult(ReadResult.Failed("status 429")) }
            }
        }

        private fun answerRead(
            delayMs: Long,
            rows: () -> ReadResult,
            onResult: (ReadResult) -> Unit,
        ) = time.after(delayMs) {
            val result = rows()
            loop.after(2 + readAnswerDelayMs) { onResult(result) }
        }

        override fun publishWave(
            number: Int,
            isComplete: Boolean,
            onResult: (Boolean) -> Unit,
        ) {
            val isStored = !isUnreachable()
            if (isComplete && isStored) completeWaves.add(number)
            loop.after(2) { onResult(isStored) }
        }

        private fun isUnreachable(): Boolean = isDown || entry.isPartitionedFromStore
    }

    private companion object {
        const val TIMEOUT_MS = 900L

        /** Waiting transactions beyond which the platform's store refuses more. */
        const val MAX_WAITING_MS = 1_000L
    }
}

/** Tables that never answer. */
internal object SilentTables : JobTables {
    override fun commit(
        change: RowChange,
        onResult: (ChangeResult) -> Unit,
    ) = Unit

    override fun scan(
        table: Table,
        onResult: (ReadResult) -> Unit,
    ) = Unit

    override fun read(
        key: RowKey,
        onResult: (ReadResult) -> Unit,
    ) = Unit

    override fun publishWave(
        number: Int,
        isComplete: Boolean,
        onResult: (Boolean) -> Unit,
    ) = Unit
}
