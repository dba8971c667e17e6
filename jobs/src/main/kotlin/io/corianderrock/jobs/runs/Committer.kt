/*
 * Groups all writes of the owner into transactions, with one in flight at a time. Each transaction is conditional on the
 * version of the owner row and rewrites it. A scheduler that has lost its ownership therefore cannot write, and a
 * transaction without an answer can be retried safely: only one of the attempts takes effect.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoredRow
import kotlin.random.Random

/** Writes rows for the owner [owner]. All methods and callbacks run on the event loop; [onLost] gets the reason as text. */
internal class Committer(
    loop: EventLoop,
    tables: JobTables,
    log: DecisionLog,
    owner: OwnerRow,
    ownerVersion: Long,
    /** How long from now, in milliseconds, earlier owners may still send orders; stored with each write. */
    earlierOrdersWindowMs: () -> Long,
    onLost: (String) -> Unit,
    random: Random = Random(owner.epoch),
) {
    private val limits = tables.limits
    private val queue = WriteQueue(limits, log)
    private val transactions =
        OwnerTransactions(loop, tables, log, owner, ownerVersion, earlierOrdersWindowMs, queue, RefusedBatches(limits, log), onLost, random)

    /** The most ASCII characters that a value may have. */
    val largestValueLength: Int get() = limits.largestValueLength

    /** Number of rows that wait for a transaction. */
    val pendingCount: Int get() = queue.size

    /** True while the current transaction is failing or its answer is overdue. */
    val isStoreUnhealthy: Boolean get() = transactions.health.isUnhealthy

    /** False if the store does not carry writes, see [WriteHealth.canWrite]. Updated by [renewIfDue]. Readable from any thread. */
    val canWrite: Boolean get() = transactions.health.canWrite

    /** Age of the ownership: the last committed transaction confirms it as of the time at which it was sent. */
    val ownership: Freshness get() = transactions.health.ownership

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
            transactions.openWrites().firstOrNull { mustBeAbsent && it.mustBeAbsent && it.key == key }
                ?: queue.add(key, mustBeAbsent, value)
        write.onStored.add(onStored)
        write.onDropped.add(onDropped)
        onWithdrawn?.let(write.onWithdrawn::add)
        write.onRefused.add(onRefused ?: { onDropped() })
        transactions.schedule()
    }

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
        val write = RowWrite(key, value, mustBeAbsent = false, coversEarlierWrites = true).also(queue::addLast)
        write.onStored.add(onStored)
        write.onDropped.add(onDropped)
        write.onRefused.add(onRefused ?: { onDropped() })
        transactions.schedule()
    }

    /** Rewrites the owner row if no transaction was sent for some time. */
    fun renewIfDue() = transactions.renewIfDue()

    /**
     * Releases the ownership in the next transaction, which also carries pending writes; nothing is written afterwards. Dropping
     * the rest is safe: workers list ended runs until they are acknowledged, and callers whose jobs were not stored are told that
     * the outcome is open.
     */
    fun release(onDone: () -> Unit) = transactions.release(onDone)

    /** Ends the ownership for [reason]: nothing is sent any more. A write in flight may still be applied. */
    fun lose(reason: String) = transactions.lose(reason)
}
