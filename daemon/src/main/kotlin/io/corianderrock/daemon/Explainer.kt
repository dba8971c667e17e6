/*
 * Explains the state of an instance in sentences for operators.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.fleet.EntryRow
import io.corianderrock.coordination.maintenance.BudgetTracker
import io.corianderrock.coordination.maintenance.FleetSnapshot
import io.corianderrock.coordination.maintenance.WaveStatus
import io.corianderrock.protocol.DrainQuery
import io.corianderrock.protocol.DrainReply
import io.corianderrock.state.InstancePhase
import io.corianderrock.state.InstanceRow
import io.corianderrock.state.ListedState

/** Collects the reasons behind an instance's state from the fleet and the entries. */
public class Explainer(
    private val entries: () -> Collection<EntryRow>,
    private val queryDrain: (String, DrainQuery) -> DrainReply?,
) {
    /** The reasons for the state of [instance] in [snapshot], the most important first. */
    public fun explain(
        instance: String,
        snapshot: FleetSnapshot,
    ): List<String> {
        val row = snapshot.rows[instance]?.value ?: return listOf(unassignedReason(instance, snapshot))
        val listed = snapshot.listed[instance]?.state
        val assignment = "pool ${row.pool}, phase ${row.phase}, epoch ${row.epoch}, listed ${listed ?: "nowhere"}"
        return listOf(assignment) + causes(row) + phaseReasons(row, snapshot) + healthReasons(row, listed, snapshot)
    }

    private fun unassignedReason(
        instance: String,
        snapshot: FleetSnapshot,
    ): String {
        val listed = snapshot.listed[instance] ?: return "the platform does not list $instance"
        if (listed.state != ListedState.LIVE) return "not assigned to a pool; the platform lists it as ${listed.state}"
        return "not assigned to a pool: every pool has its declared size in ${listed.dataCentre}, or no entry is the controller"
    }

    private fun causes(row: InstanceRow): List<String> =
        listOfNotNull(
            row.wave?.let { "taken out of service by wave $it" },
            row.drainedBy?.let { "taken out of service by operator $it; drain --return puts it back" },
            row.nextPool?.let { "moving to pool $it" },
        )

    private fun phaseReasons(
        row: InstanceRow,
        snapshot: FleetSnapshot,
    ): List<String> =
        when (row.phase) {
            InstancePhase.ASSIGNED -> waitingReasons(row, snapshot)
            InstancePhase.DRAINING ->
                entries()
                    .filter {
                        it.dataCentre == row.dataCentre
                    }.mapNotNull { drainReason(it, row) }
                    .ifEmpty { listOf("drained") }
            InstancePhase.REBOOTING ->
                listOf(
                    "rebooting: waits for boot count ${row.bootCountBefore + 1}; the platform lists ${snapshot.listed[row.id]?.bootCount}",
                )
            InstancePhase.VERIFYING -> listOf("verifying: waits for a complete response from the instance")
            InstancePhase.RETIRED -> listOf("retired: the instance does not come back")
        }

    private fun drainReason(
        entry: EntryRow,
        row: InstanceRow,
    ): String? {
        val reply = queryDrain(entry.id, DrainQuery(row.id, row.epoch))
        return when {
            reply == null -> "not drained: entry ${entry.id} does not answer and is not listed as gone"
            !reply.hasSeenEpoch -> "not drained: entry ${entry.id} has not seen epoch ${row.epoch}"
            reply.inFlight > 0 -> "not drained: entry ${entry.id} has ${reply.inFlight} requests to it in flight"
            else -> null
        }
    }

    private fun waitingReasons(
        row: InstanceRow,
        snapshot: FleetSnapshot,
    ): List<String> {
        val running =
            snapshot.waves.values
                .map { it.value }
                .filter { it.status == WaveStatus.RUNNING && row.maintainedBy != it.runId }
        if (running.isEmpty()) return emptyList()
        val budget = BudgetTracker(snapshot, row.pool)
        if (budget.allows(row)) return listOf("next in wave ${running.first().runId}")
        return listOf("waits for the budget of pool ${row.pool}: out of service are ${budget.unavailable.sorted().joinToString()}")
    }

    private fun healthReasons(
        row: InstanceRow,
        listed: ListedState?,
        snapshot: FleetSnapshot,
    ): List<String> =
        listOfNotNull(
            "receives no requests: the platform lists it as ${listed ?: "unknown"}".takeIf { listed != ListedState.LIVE },
            "receives few or no requests: ejected after failures, or leaving".takeIf { row.id in snapshot.unhealthy },
        )
}
