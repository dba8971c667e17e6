/*
 * Transactions that the store has refused for their content. Each is sent in halves until the row at fault is alone; that one is
 * given up.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoreLimits

/** Confined to the event loop. */
internal class RefusedBatches(
    private val limits: StoreLimits,
    private val log: DecisionLog,
) {
    /** Writes of a refused batch that are yet to be sent by themselves, with the values that they had in it. */
    class Remainder(
        val writes: List<RowWrite>,
        val values: Map<RowKey, String?>,
        val mayHaveApplied: Boolean,
    )

    /** What is left of refused batches, to be sent before other writes. */
    private val remainders = ArrayDeque<Remainder>()

    /** A write that was refused alone. It is given up once the store accepts the owner row without it, so that the row is at fault. */
    private var suspect: Remainder? = null
    private var suspectReason = ""

    /** All writes whose outcome is open. */
    val writes: List<RowWrite> get() = suspect?.writes.orEmpty() + remainders.flatMap { it.writes }

    fun isNotEmpty(): Boolean = remainders.isNotEmpty()

    /** Removes and returns what is to be sent next. */
    fun takeNext(): Remainder? = remainders.removeFirstOrNull()

    /** Returns the writes of [batch], refused for [reason], that are sent next; the others wait or are suspected. */
    fun split(
        batch: WriteBatch,
        reason: String,
    ): List<RowWrite> {
        val halfCount = batch.writes.size / 2
        val rest = Remainder(batch.writes.drop(halfCount), batch.values, batch.mayHaveApplied)
        if (halfCount == 0) {
            suspect = rest
            suspectReason = reason
        } else {
            remainders.addFirst(rest)
        }
        return batch.writes.take(halfCount)
    }

    /** The store refuses the owner row as well, so the suspected row is sent again. */
    fun clearSuspect() {
        suspect?.let { remainders.addFirst(it) }
        suspect = null
    }

    /** Gives up the suspected row, then passes the writes whose values cover it to [reevaluate], as they are not to be stored as they are. */
    fun giveUpSuspect(reevaluate: (RowWrite) -> Unit) {
        val refused = suspect ?: return
        suspect = null
        val write = refused.writes.single()
        val size = refused.values.getValue(write.key)?.let(limits::sizeOf) ?: 0
        write.refuse(WriteRefusal(write.key, size, suspectReason), log)
        removeEach(isRemoved = { _, other -> other.coversEarlierWrites }).forEach(reevaluate)
    }

    /** Removes and returns the writes that may be given up. */
    fun withdraw(): List<RowWrite> =
        removeEach(isRemoved = { remainder, write -> write.onWithdrawn.isNotEmpty() && !remainder.mayHaveApplied })

    private fun removeEach(isRemoved: (Remainder, RowWrite) -> Boolean): List<RowWrite> {
        val removed = ArrayList<RowWrite>()
        val kept =
            remainders.map { remainder ->
                val (taken, others) = remainder.writes.partition { isRemoved(remainder, it) }
                removed += taken
                Remainder(others, remainder.values, remainder.mayHaveApplied)
            }
        remainders.clear()
        remainders.addAll(kept.filter { it.writes.isNotEmpty() })
        return removed
    }

    fun clear() {
        suspect = null
        remainders.clear()
    }
}
