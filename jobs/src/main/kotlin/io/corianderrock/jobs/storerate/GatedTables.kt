/*
 * Passes each call to the job tables through a gate.
 */
package io.corianderrock.jobs.storerate

import io.corianderrock.jobs.ports.ChangeResult
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.ReadResult
import io.corianderrock.jobs.ports.RowChange
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoreLimits
import io.corianderrock.jobs.ports.StoreRefusal
import io.corianderrock.jobs.ports.Table

/** [tables] behind [gate]. All calls belong to [callClass], or if it is null to the class of the rows that they concern. */
public class GatedTables(
    private val tables: JobTables,
    private val gate: StoreGate,
    private val callClass: StoreCallClass? = null,
) : JobTables {
    override val limits: StoreLimits get() = tables.limits

    /** By a row that they create, the latest last: reports that a transaction without an answer was found carried out. */
    private val unanswered = LinkedHashMap<RowKey, (StoreCallEnd) -> Unit>()

    override fun commit(
        change: RowChange,
        onResult: (ChangeResult) -> Unit,
    ) {
        val call = StoreCall(callClass ?: classOf(change), StoreCallKind.WRITE)
        gate.pass(call, { onResult(ChangeResult.Failed(WITHHELD, mayHaveApplied = false, it)) }) { onEnd ->
            tables.commit(change) { result ->
                val end = endOf(result)
                onEnd(end)
                if (end is StoreCallEnd.Unanswered) remember(change, onEnd)
                onResult(result)
            }
        }
    }

    private fun remember(
        change: RowChange,
        onEnd: (StoreCallEnd) -> Unit,
    ) {
        val created = change.puts.keys.firstOrNull { change.expected[it] == 0L } ?: return
        unanswered[created] = onEnd
        if (unanswered.size > MAX_UNANSWERED) unanswered.remove(unanswered.keys.first())
    }

    override fun scan(
        table: Table,
        onResult: (ReadResult) -> Unit,
    ): Unit =
        passRead(StoreCall(callClass ?: StoreCallClass.of(table), StoreCallKind.READ, isTimed = false), onResult) {
            tables.scan(table, it)
        }

    override fun scanPage(
        table: Table,
        after: String?,
        onResult: (ReadResult) -> Unit,
    ): Unit =
        passRead(StoreCall(callClass ?: StoreCallClass.of(table), StoreCallKind.READ, isTimed = false), onResult) {
            tables.scanPage(table, after, it)
        }

    override fun read(
        key: RowKey,
        onResult: (ReadResult) -> Unit,
    ): Unit =
        passRead(StoreCall(callClass ?: StoreCallClass.of(key.table), StoreCallKind.READ), onResult) { onRead ->
            tables.read(key) { result ->
                if (result is ReadResult.Rows && result.rows.isNotEmpty()) unanswered.remove(key)?.invoke(StoreCallEnd.ReadBack)
                onRead(result)
            }
        }

    private fun passRead(
        call: StoreCall,
        onResult: (ReadResult) -> Unit,
        read: ((ReadResult) -> Unit) -> Unit,
    ) = gate.pass(call, { onResult(ReadResult.Failed(WITHHELD, it)) }) { onEnd ->
        read { result ->
            onEnd(endOf(result))
            onResult(result)
        }
    }

    override fun publishWave(
        number: Int,
        isComplete: Boolean,
        onResult: (Boolean) -> Unit,
    ) {
        val call = StoreCall(callClass ?: StoreCallClass.FLEET, StoreCallKind.WRITE)
        gate.pass(call, { onResult(false) }) { onEnd ->
            tables.publishWave(number, isComplete) { isStored ->
                onEnd(if (isStored) StoreCallEnd.Answered else StoreCallEnd.Unanswered)
                onResult(isStored)
            }
        }
    }

    private fun classOf(change: RowChange): StoreCallClass {
        val classes = (change.expected.keys + change.puts.keys + change.deletes).map { StoreCallClass.of(it.table) }
        return classes.minOrNull() ?: StoreCallClass.OTHER
    }

    private fun endOf(result: ChangeResult): StoreCallEnd =
        when (result) {
            is ChangeResult.Committed, is ChangeResult.Conflict -> StoreCallEnd.Answered
            is ChangeResult.Failed -> endOfFailed(result.refusal)
        }

    private fun endOf(result: ReadResult): StoreCallEnd =
        when (result) {
            is ReadResult.Rows -> StoreCallEnd.Answered
            is ReadResult.Failed -> endOfFailed(result.refusal)
        }

    private fun endOfFailed(refusal: StoreRefusal?): StoreCallEnd = refusal?.let(StoreCallEnd::Refused) ?: StoreCallEnd.Unanswered

    private companion object {
        const val WITHHELD = "not sent: the entry's budget for calls to the store is exhausted"

        /** Above what the budget lets callers have open. */
        const val MAX_UNANSWERED = 64
    }
}
