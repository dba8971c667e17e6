/*
 * Workers on which an earlier owner may have left runs. Until such a worker has answered, has provably ended or its lease
 * must have run out, tasks that may be running there are not started again.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.state.LATE_ORDER_WINDOW_MS
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Stored before the first start on a worker: records that it may have runs. [bornWallMs] identifies its incarnation, and
 * [storedEnd] is the number of the last ended run whose effect is stored.
 */
@Serializable
internal data class WorkerLeaseRow(
    val workerId: String,
    val address: String,
    val pool: String,
    val bornWallMs: Long,
    val storedEnd: Long,
    @SerialName("machineId") val instanceId: String? = null,
)

/** Tracks which inherited workers are not reconciled yet. Used on the event loop only. */
internal class InheritedWorkerLeases(
    private val log: DecisionLog,
) {
    private val unreconciled = HashMap<String, WorkerLeaseRow>()

    /** Loop time until which runs started by earlier owners may continue. */
    var deadlineMs: Long = 0
        private set

    /**
     * Loop time until which a start of an earlier owner may run on a worker that has restarted under its id and was not reached
     * since: the new incarnation has not seen the fence and takes the order as long as it may arrive late.
     */
    val lateOrdersDeadlineMs: Long get() = if (deadlineMs == 0L) 0 else deadlineMs + LATE_ORDER_WINDOW_MS

    fun inherit(
        leases: List<WorkerLeaseRow>,
        deadlineMs: Long,
    ) {
        this.deadlineMs = deadlineMs
        leases.associateByTo(unreconciled) { it.workerId }
    }

    fun find(workerId: String): WorkerLeaseRow? = unreconciled[workerId]

    /** True while tasks of inherited jobs may be running on a worker of [pool] that has not answered. */
    fun isReconciling(pool: String): Boolean = unreconciled.values.any { it.pool == pool }

    /** Ids of the workers of [pool] for which [isReconciling] waits. */
    fun unreconciledIn(pool: String): List<String> = unreconciled.values.filter { it.pool == pool }.map { it.workerId }

    /** Marks the runs on [workerId] as known. Returns false if the worker was not inherited or already reconciled. */
    fun markReconciled(workerId: String): Boolean {
        if (unreconciled.remove(workerId) == null) return false
        log.write("contact_settled", "worker", workerId, "remaining", unreconciled.size)
        return true
    }

    /** Ids of unreconciled workers whose leases have expired at [nowMs]; [leaseEndOf] gives the end of this owner's lease. */
    fun findExpired(
        nowMs: Long,
        leaseEndOf: (String) -> Long?,
    ): List<String> {
        val expired = unreconciled.keys.filter { nowMs > maxOf(deadlineMs, leaseEndOf(it) ?: 0) }
        if (expired.isNotEmpty()) log.write("contacts_expired", "workers", expired.joinToString(","))
        return expired
    }
}
