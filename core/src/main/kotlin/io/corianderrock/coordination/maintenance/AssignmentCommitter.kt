/*
 * Commits the first row of each newly assigned instance, with its audit record entry, under the controller's fence.
 */
package io.corianderrock.coordination.maintenance

import io.corianderrock.coordination.Platform
import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.Precondition
import io.corianderrock.coordination.Transaction
import io.corianderrock.coordination.fleet.asWrite
import io.corianderrock.coordination.fleet.instanceKey
import io.corianderrock.coordination.lease.HeldLease
import io.corianderrock.coordination.record.AuditRecord
import io.corianderrock.coordination.record.RecordedEvent
import io.corianderrock.coordination.transactExactlyOnce
import io.corianderrock.state.InstanceRow

internal class AssignmentCommitter(
    private val platform: Platform,
    private val record: AuditRecord,
    private val instanceId: String,
    private val newId: () -> String,
) {
    fun assign(
        planned: List<InstanceRow>,
        lease: HeldLease,
        nowMs: Long,
    ) {
        planned.chunked(MAX_ROWS_PER_TRANSACTION).forEach { commit(it, lease, nowMs) }
    }

    private fun commit(
        batch: List<InstanceRow>,
        lease: HeldLease,
        nowMs: Long,
    ) {
        val events =
            batch.map {
                RecordedEvent("instance-assigned", it.id, instanceId, "pool ${it.pool} below its size", it.epoch, nowMs)
            }
        val recordAppend = (record.prepareAppend(events) as? PlatformResult.Ok ?: return).value
        val absent = batch.map { Precondition(instanceKey(it.dataCentre, it.id), revision = 0) }
        val transaction =
            Transaction(
                id = newId(),
                preconditions = recordAppend.preconditions + lease.fence + absent,
                writes = recordAppend.writes + batch.map { it.asWrite() },
            )
        platform.transactExactlyOnce(transaction)
    }

    private companion object {
        const val MAX_ROWS_PER_TRANSACTION = 100
    }
}
