/*
 * Write-ahead journal of orders to instances. Two owners must not order the same instance within its lease, so an order
 * is stored before it is sent, and its row is kept until a successor may order that instance. Instances without a row
 * may be ordered immediately after a takeover. The lease is between entries: an entry that takes over from itself may order
 * again what it ordered in earlier terms, but keeps the rows, since another entry may take over next.
 */
package io.corianderrock.jobs.fleet

import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoredRow
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.runs.Committer
import io.corianderrock.jobs.runs.StoreClock
import io.corianderrock.jobs.runs.decodeStored
import io.corianderrock.jobs.runs.longestSinceMs
import io.corianderrock.jobs.runs.readClocks
import io.corianderrock.jobs.runs.storedJson
import kotlinx.serialization.Serializable

/**
 * A stored order; [waveNumber] is null for a move. [holder] and [address] are those of the owner that sent it, empty in rows
 * stored by versions that did not write them. The order is not sent after [sentByStoreMs] on the store's clock, null if its owner
 * did not know that clock.
 */
@Serializable
internal data class InstanceOrderRow(
    val waveNumber: Int? = null,
    val holder: String = "",
    val address: String = "",
    val sentByStoreMs: Long? = null,
)

internal class InstanceOrders(
    private val loop: EventLoop,
    private val committer: Committer,
    private val log: DecisionLog,
    private val owner: OwnerRow,
    /** True when the owner before was this entry in an earlier term, which sends no orders any more. */
    private val isSameEntry: Boolean,
    private val storeClock: StoreClock,
    /** How long after an order another owner must not order the instance; its row is kept as long after it was answered or abandoned. */
    private val keepMs: Long,
    /** Loop time from which no order of an earlier owner matters any more, whenever it was stored. */
    private val inheritedUntilMs: Long,
) {
    private class InheritedOrder(
        val row: InstanceOrderRow,
        /** Loop time from which the instance may be ordered again. */
        val untilMs: Long,
    )

    private val inherited = HashMap<String, InheritedOrder>()

    /** Instances ordered by this entry in earlier terms; their rows are kept for the next owner. */
    private val orderedBySameEntry = HashSet<String>()

    /** Current rows by instance id; the source of each write. */
    private val recorded = HashMap<String, InstanceOrderRow>()

    /** Loop time at which the last order to an instance of [recorded] was answered. */
    private val answeredAtMs = HashMap<String, Long>()

    /** Loads the orders of earlier owners. A row that cannot be decoded counts as a recent move. */
    fun load(rows: List<StoredRow>) {
        for (row in rows) {
            val order = decodeStored(InstanceOrderRow.serializer(), row.value)
            if (order == null) log.write("instance_order_unreadable", "instance", row.key.key)
            if (order != null && isOfSameEntry(order)) {
                orderedBySameEntry.add(row.key.key)
            } else {
                val inheritedOrder = order ?: InstanceOrderRow()
                inherited[row.key.key] = InheritedOrder(inheritedOrder, untilMs(inheritedOrder))
            }
        }
        if (rows.isNotEmpty()) logInherited()
    }

    /**
     * An owner orders many instances at the start of a demand peak. If it fails, its successor would lack all of them for the lease
     * and longer if each counted as ordered just before the failure.
     */
    private fun untilMs(order: InstanceOrderRow): Long {
        val sentByStoreMs = order.sentByStoreMs ?: return inheritedUntilMs
        val storeMs = storeClock.earliestMs ?: return inheritedUntilMs
        return minOf(inheritedUntilMs, loop.nowMs + sentByStoreMs - storeMs + keepMs)
    }

    private fun logInherited() =
        log.write(
            "instance_orders_inherited",
            "instances",
            inherited.size,
            "ofSameEntry",
            orderedBySameEntry.size,
            "over",
            inherited.values.count { it.untilMs <= loop.nowMs },
            "forMs",
            (inherited.values.maxOfOrNull { it.untilMs } ?: loop.nowMs) - loop.nowMs,
        )

    private fun isOfSameEntry(order: InstanceOrderRow): Boolean =
        isSameEntry && order.holder == owner.holder && order.address == owner.address

    /** True while an earlier owner may have ordered the instance too recently for a new order. */
    fun isInherited(instanceId: String): Boolean = inherited[instanceId]?.let { loop.nowMs < it.untilMs } == true

    /** Counts instances, except [alreadyCounted], that an earlier owner may recently have sent to maintenance in wave [waveNumber]. */
    fun inheritedMaintenanceCount(
        waveNumber: Int,
        alreadyCounted: Set<String>,
    ): Int = inherited.count { (instanceId, order) -> order.row.waveNumber == waveNumber && instanceId !in alreadyCounted }

    /**
     * Stores a row for an order to [instanceId], then runs [send] with whether the order may still be sent: not if storing the row took
     * so long that a successor may take the order for an older one.
     */
    fun record(
        instanceId: String,
        waveNumber: Int?,
        send: (Boolean) -> Unit,
    ) {
        val recordedAt = loop.readClocks()
        val sendWindowMs = (SEND_WINDOW_ANSWERS * storeClock.answerMs).coerceIn(MIN_SEND_WINDOW_MS, MAX_SEND_WINDOW_MS)
        val sentByStoreMs = storeClock.latestMs?.plus(sendWindowMs)
        answeredAtMs.remove(instanceId)
        inherited.remove(instanceId)
        recorded[instanceId] = InstanceOrderRow(waveNumber, owner.holder, owner.address, sentByStoreMs)
        store(instanceId) { send(sentByStoreMs == null || loop.longestSinceMs(recordedAt) <= sendWindowMs) }
    }

    /** Marks the order to [instanceId] as answered or abandoned. */
    fun onAnswered(instanceId: String) {
        answeredAtMs[instanceId] = loop.nowMs
    }

    /** Deletes rows that no successor has to wait for any more. */
    fun tick() {
        val expired = answeredAtMs.filterValues { loop.nowMs - it >= keepMs }.keys.toList()
        answeredAtMs.keys.removeAll(expired.toSet())
        expired.forEach(::delete)
        val earlierOrders = inherited.keys + orderedBySameEntry
        if (earlierOrders.isEmpty() || loop.nowMs < inheritedUntilMs) return
        log.write("instance_orders_over", "instances", earlierOrders.size)
        earlierOrders.filter { it !in recorded }.forEach(::delete)
        inherited.clear()
        orderedBySameEntry.clear()
    }

    private fun delete(instanceId: String) {
        recorded.remove(instanceId)
        store(instanceId) {}
    }

    /** Writes the row as of the time when the transaction is built, so that queued writes to one row coalesce. */
    private fun store(
        instanceId: String,
        onStored: () -> Unit,
    ) = committer.put(key(instanceId), onStored = { onStored() }) {
        recorded[instanceId]?.let { storedJson.encodeToString(InstanceOrderRow.serializer(), it) }
    }

    private fun key(instanceId: String) = RowKey(Table.INSTANCE_ORDERS, instanceId)

    private companion object {
        /** A row waits for the transaction in flight, then for its own; an order whose row takes longer to store is not sent. */
        const val SEND_WINDOW_ANSWERS = 4L

        const val MIN_SEND_WINDOW_MS = 500L

        /** An owner whose writes are older than this sends no orders in any case. */
        const val MAX_SEND_WINDOW_MS = 1_500L
    }
}
