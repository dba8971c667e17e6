/*
 * The stored rows that record which workers may have runs and which ends on them are stored. The row of a worker is stored
 * before its first start, so that the next owner knows where to look for runs.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.state.WorkerView

/** Writes the rows of [workers] through [committer]. Used on the event loop only. */
internal class WorkerLeaseRows(
    private val workers: WorkerTable,
    private val committer: Committer,
) {
    /** Stores the row of [worker] unless it is stored or on its way; [onStored] is called once it is stored. */
    fun store(
        worker: WorkerView,
        onStored: () -> Unit,
    ) {
        if (worker.isLeaseRowStored || worker.isLeaseRowStoring) return
        worker.isLeaseRowStoring = true
        committer.put(keyOf(worker), onStored = {
            worker.isLeaseRowStoring = false
            worker.isLeaseRowStored = true
            onStored()
        }) { valueOf(worker) }
    }

    /**
     * Stores the last processed end on [worker] after the progress of its job; [onStored] is called once both are stored. An end whose
     * effect the store refuses, and those after it, stay in the worker's list for a later owner.
     */
    fun storeEnd(
        worker: WorkerView,
        onStored: () -> Unit,
    ): Unit = committer.putAfterPending(keyOf(worker), onStored = { onStored() }) { valueOf(worker) }

    /** Deletes the row of [worker], which was removed. */
    fun delete(worker: WorkerView) {
        if (worker.isLeaseRowStored || worker.isLeaseRowStoring) committer.put(keyOf(worker)) { null }
    }

    private fun keyOf(worker: WorkerView) = RowKey(Table.WORKER_LEASES, worker.id)

    private fun valueOf(worker: WorkerView): String? {
        if (worker !in workers) return null
        worker.storingEnd = worker.storableEnd
        val entry = worker.answeredEntry ?: worker.entry
        val row = WorkerLeaseRow(worker.id, entry.address, entry.pool, worker.bornWallMs, worker.storingEnd, entry.instanceId)
        return storedJson.encodeToString(WorkerLeaseRow.serializer(), row)
    }
}
