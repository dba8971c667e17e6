/*
 * Workers on which an earlier owner may have left runs. Until such a worker has answered, is proved over or its leases
 * must have run out, tasks that may be running there are not started again.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.DecisionLog
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The stored note that a worker may hold runs: which incarnation, where it is, and which of its ends are stored. */
@Serializable
internal data class WorkerLeaseRow(
    val workerId: String,
    val address: String,
    val pool: String,
    val bornWallMs: Long,
    val storedEnd: Long,
    @SerialName("machineId") val instanceId: String? = null,
)

internal class InheritedWorkerLeases(
    private val log: DecisionLog,
) {
    private val unreconciled = HashMap<String, WorkerLeaseRow>()

    /** Until then, in loop time, runs that the earlier owner ordered may go on. */
    var deadlineMs: Long = 0
        private set

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

    /** What runs on [workerId] is known now; false when it was known before. */
    fun reconcile(workerId: String): Boolean {
        if (unreconciled.remove(workerId) == null) return false
        log.write("contact_settled", "worker", workerId, "left", unreconciled.size)
        return true
    }

    /** Returns the workers whose leases are over at [nowMs]; [leaseEndOf] tells of leases that this owner has ordered. */
    fun expired(
        nowMs: Long,
        leaseEndOf: (String) -> Long?,
    ): List<String> {
        val over = unreconciled.keys.filter { nowMs > maxOf(deadlineMs, leaseEndOf(it) ?: 0) }
        if (over.isNotEmpty()) log.write("contacts_expired", "workers", over.joinToString(","))
        return over
    }
}
