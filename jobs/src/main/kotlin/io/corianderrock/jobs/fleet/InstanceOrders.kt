/*
 * The journal of orders to instances. Two owners may not order one instance shortly after each other, so an order is
 * stored before it is sent and its row is kept for as long as a next owner has to wait with that instance. Instances
 * without a row may be ordered at once after a handover.
 */
package io.corianderrock.jobs.fleet

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoredRow
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.runs.Committer
import io.corianderrock.jobs.runs.decodeStored
import io.corianderrock.jobs.runs.storedJson
import kotlinx.serialization.Serializable

/** A stored order; [waveNumber] is null for a move. */
@Serializable
internal data class InstanceOrderRow(
    val waveNumber: Int? = null,
)

internal class InstanceOrders(
    private val loop: EventLoop,
    private val committer: Committer,
    private val log: DecisionLog,
    /** How long a row stays after its order was answered or given up. */
    private val keepMs: Long,
    /** From when on instances that an earlier owner has ordered may be ordered again. */
    private val inheritedUntilMs: Long,
) {
    private val inherited = HashMap<String, InstanceOrderRow>()

    /** The rows as they should be stored. */
    private val recorded = HashMap<String, InstanceOrderRow>()

    /** When the last order to an instance of [recorded] was answered. */
    private val answeredAtMs = HashMap<String, Long>()

    /** Takes the orders of earlier owners. */
    fun load(rows: List<StoredRow>) {
        for (row in rows) {
            val order = decodeStored(InstanceOrderRow.serializer(), row.value)
            if (order == null) log.write("instance_order_unreadable", "instance", row.key.key)
            inherited[row.key.key] = order ?: InstanceOrderRow()
        }
        if (rows.isNotEmpty()) {
            log.write("instance_orders_inherited", "instances", rows.size, "forMs", inheritedUntilMs - loop.nowMs)
        }
    }

    /** True while an order of an earlier owner to the instance may be too recent for another one. */
    fun isInherited(instanceId: String): Boolean = instanceId in inherited

    /** Counts the instances that an earlier owner may have just sent to maintenance of wave [waveNumber], but for [known]. */
    fun inheritedMaintenanceCount(
        waveNumber: Int,
        known: Set<String>,
    ): Int = inherited.count { (instanceId, order) -> order.waveNumber == waveNumber && instanceId !in known }

    /** Stores that [instanceId] is about to be ordered, then runs [send]. */
    fun record(
        instanceId: String,
        waveNumber: Int?,
        send: () -> Unit,
    ) {
        answeredAtMs.remove(instanceId)
        recorded[instanceId] = InstanceOrderRow(waveNumber)
        store(instanceId, send)
    }

    /** The order to [instanceId] was answered or given up. */
    fun onAnswered(instanceId: String) {
        answeredAtMs[instanceId] = loop.nowMs
    }

    /** Deletes the rows that no next owner needs any more. */
    fun tick() {
        val over = answeredAtMs.filterValues { loop.nowMs - it >= keepMs }.keys.toList()
        answeredAtMs.keys.removeAll(over.toSet())
        over.forEach(::delete)
        if (inherited.isEmpty() || loop.nowMs < inheritedUntilMs) return
        log.write("instance_orders_over", "instances", inherited.size)
        inherited.keys.filter { it !in recorded }.forEach(::delete)
        inherited.clear()
    }

    private fun delete(instanceId: String) {
        recorded.remove(instanceId)
        store(instanceId) {}
    }

    /** Stores the row as it is when the transaction is built: writes to one row that wait for it become one. */
    private fun store(
        instanceId: String,
        onStored: () -> Unit,
    ) = committer.put(key(instanceId), onStored = { onStored() }) {
        recorded[instanceId]?.let { storedJson.encodeToString(InstanceOrderRow.serializer(), it) }
    }

    private fun key(instanceId: String) = RowKey(Table.INSTANCE_ORDERS, instanceId)
}
