/*
 * Workers on which an earlier owner may have left runs. Until such a worker has answered, is proved over or its leases
 * must have run out, tasks that may be running there are not started again.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.DecisionLog
import kotlinx.serialization.Serializable

/** The stored note that a worker may hold runs: which incarnation, where it is, and which of its ends are stored. */
@Serializable
internal data class ContactRow(
    val workerId: String,
    val address: String,
    val pool: String,
    val bornWallMs: Long,
    val storedEnd: Long,
    val machineId: String? = null,
)

internal class InheritedContacts(
    private val log: DecisionLog,
) {
    private val unsettled = HashMap<String, ContactRow>()

    /** Until then, in loop time, runs that the earlier owner ordered may go on. */
    var deadlineMs: Long = 0
        private set

    fun inherit(
        contacts: List<ContactRow>,
        deadlineMs: Long,
    ) {
        this.deadlineMs = deadlineMs
        contacts.associateByTo(unsettled) { it.workerId }
    }

    fun find(workerId: String): ContactRow? = unsettled[workerId]

    /** True while tasks of inherited jobs may be running on a worker of [pool] that has not answered. */
    fun isSettling(pool: String): Boolean = unsettled.values.any { it.pool == pool }

    /** What runs on [workerId] is known now; false when it was known before. */
    fun settle(workerId: String): Boolean {
        if (unsettled.remove(workerId) == null) return false
        log.write("contact_settled", "worker", workerId, "left", unsettled.size)
        return true
    }

    /** Returns the workers whose leases are over at [nowMs]; [leaseEndOf] tells of leases that this owner has ordered. */
    fun expired(
        nowMs: Long,
        leaseEndOf: (String) -> Long?,
    ): List<String> {
        val over = unsettled.keys.filter { nowMs > maxOf(deadlineMs, leaseEndOf(it) ?: 0) }
        if (over.isNotEmpty()) log.write("contacts_expired", "workers", over.joinToString(","))
        return over
    }
}
