/*
 * Control work, done by the one entry that holds the controller's lease.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.Platform
import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.Precondition
import io.corianderrock.coordination.Transaction
import io.corianderrock.coordination.fleet.INSTANCE_PREFIX
import io.corianderrock.coordination.fleet.asWrite
import io.corianderrock.coordination.fleet.decodeInstanceRow
import io.corianderrock.coordination.fleet.instanceKey
import io.corianderrock.coordination.fleet.planAssignments
import io.corianderrock.coordination.lease.ControllerLease
import io.corianderrock.coordination.lease.HeldLease
import io.corianderrock.coordination.record.AuditRecord
import io.corianderrock.coordination.record.RecordedEvent
import io.corianderrock.coordination.transactSettled
import io.corianderrock.state.Declarations
import io.corianderrock.state.InstanceRow
import io.corianderrock.state.ListedInstance
import io.corianderrock.transport.EventLog
import io.corianderrock.transport.eq

/** Renews the lease and, while it is held, brings the fleet towards its declarations. Driven by one thread. */
public class ControlLoop(
    private val platform: Platform,
    private val lease: ControllerLease,
    private val record: AuditRecord,
    private val clock: Clock,
    private val self: String,
    private val declarations: () -> Declarations?,
    private val newId: () -> String,
) {
    private val log = EventLog("controller")
    private val rows = HashMap<String, InstanceRow>()
    private val listed = HashMap<String, ListedInstance>()
    private var rowRevision = 0L
    private var listRevision = 0L
    private var wasController = false

    /** True while this entry holds the lease. */
    @Volatile
    public var isController: Boolean = false
        private set

    /** Does one round. */
    public fun tick() {
        val held = lease.tick()
        isController = held != null
        if (isController != wasController) log.info("controller-changed", "isController" eq isController, "token" eq held?.token)
        wasController = isController
        val current = declarations()
        if (held == null || current == null || !refresh()) return
        assign(current, held)
        record.archive()
    }

    /** Gives the lease back. */
    public fun release() {
        isController = false
        lease.release()
    }

    private fun refresh(): Boolean {
        val changedRows = (platform.scan(INSTANCE_PREFIX, rowRevision) as? PlatformResult.Ok ?: return false).value
        changedRows.forEach { row ->
            rowRevision = maxOf(rowRevision, row.revision)
            val decoded = decodeInstanceRow(row)
            rows[decoded.id] = decoded
        }
        val page = (platform.instances(listRevision) as? PlatformResult.Ok ?: return false).value
        listRevision = page.revision
        page.instances.forEach { listed[it.id] = it }
        return true
    }

    private fun assign(
        current: Declarations,
        held: HeldLease,
    ) {
        val planned = planAssignments(current, listed.values, rows, clock.wallMs())
        planned.chunked(MAX_ROWS_PER_TRANSACTION).forEach { commitAssignments(it, held) }
    }

    private fun commitAssignments(
        batch: List<InstanceRow>,
        held: HeldLease,
    ) {
        val extension = (record.extension(batch.map(::assignedEvent)) as? PlatformResult.Ok ?: return).value
        val transaction =
            Transaction(
                id = newId(),
                preconditions = extension.preconditions + held.fence + batch.map { Precondition(instanceKey(it.dataCentre, it.id), 0) },
                writes = extension.writes + batch.map { it.asWrite() },
            )
        val result = platform.transactSettled(transaction)
        log.info("instances-assigned", "count" eq batch.size, "committed" eq (result is PlatformResult.Ok))
    }

    private fun assignedEvent(row: InstanceRow): RecordedEvent =
        RecordedEvent(
            kind = "instance-assigned",
            subject = row.id,
            author = self,
            cause = "pool ${row.pool} below its size",
            version = row.epoch,
            atMs = clock.wallMs(),
        )

    private companion object {
        const val MAX_ROWS_PER_TRANSACTION = 100
    }
}
