/*
 * Plans the next changes of a maintenance wave: drains instances within the availability budgets, reboots them, verifies that
 * they serve and returns them to service. Decides from a snapshot only; nothing here calls the platform.
 */
package io.corianderrock.coordination.maintenance

import io.corianderrock.state.InstancePhase
import io.corianderrock.state.InstanceRow
import io.corianderrock.state.ListedState
import io.corianderrock.state.WaveSpec

/** Ids of the instances that passed a probe in this round: [drained] are free of requests, [verified] serve again after a reboot. */
public data class ProbeResults(
    val drained: Set<String> = emptySet(),
    val verified: Set<String> = emptySet(),
)

/**
 * Returns the changes that the run [row] of [spec] may commit now. New drains are limited by the budget of each pool and,
 * until the canary instances are maintained, by the canary size. The run stops itself once too many instances have failed
 * to return in time. Instances that this or an earlier run has drained return to service even if the run is paused or over.
 */
public fun planWave(
    spec: WaveSpec,
    row: WaveRow,
    snapshot: FleetSnapshot,
    probes: ProbeResults,
    budgetOf: (String) -> BudgetTracker,
): List<FleetChange> = WavePlan(spec, row, snapshot, probes, budgetOf).changes()

private class WavePlan(
    private val spec: WaveSpec,
    private val wave: WaveRow,
    private val snapshot: FleetSnapshot,
    private val probes: ProbeResults,
    private val budgetOf: (String) -> BudgetTracker,
) {
    private val members = spec.pools.flatMap { snapshot.rowsOf(it) }.sortedWith(compareBy({ it.rack }, { it.id }))
    private val inMaintenance =
        snapshot.instances
            .filter { row -> row.wave?.let(::waveNameOf) == wave.name }
    private val nowMs = snapshot.nowMs

    fun changes(): List<FleetChange> {
        val advances = inMaintenance.mapNotNull(::nextChange)
        if (wave.status != WaveStatus.RUNNING) return advances
        val failed = inMaintenance.filter { it.wave == wave.runId && isOverdue(it) }.map { it.id }
        val newlyFailed = failed - wave.failed.toSet()
        if (newlyFailed.isNotEmpty()) return advances + recordFailures(newlyFailed)
        val pending = members.filter(::isPending)
        if (pending.isEmpty() && inMaintenance.isEmpty()) return advances + finishWave()
        return advances + drains(pending)
    }

    private fun nextChange(row: InstanceRow): FleetChange? =
        when (row.phase) {
            InstancePhase.ASSIGNED, InstancePhase.RETIRED -> null
            InstancePhase.DRAINING -> if (row.id in probes.drained) changeAfterDrain(row) else null
            InstancePhase.REBOOTING ->
                if (hasRebooted(row)) {
                    change(row, row.withPhase(InstancePhase.VERIFYING, nowMs), "instance-rebooted")
                } else {
                    null
                }
            InstancePhase.VERIFYING ->
                if (row.id in probes.verified) change(row, row.inService(nowMs, maintainedBy = row.wave), "instance-returned") else null
        }

    /** An instance that was drained for an ended run returns to service without a reboot. */
    private fun changeAfterDrain(row: InstanceRow): FleetChange {
        if (wave.status.isTerminal || row.wave != wave.runId) return change(row, row.inService(nowMs), "instance-returned")
        val bootCount = snapshot.listed[row.id]?.bootCount ?: 0
        return change(row, row.withPhase(InstancePhase.REBOOTING, nowMs).copy(bootCountBefore = bootCount), "instance-drained")
    }

    private fun hasRebooted(row: InstanceRow): Boolean {
        val listed = snapshot.listed[row.id] ?: return false
        return listed.state == ListedState.LIVE && listed.bootCount > row.bootCountBefore
    }

    private fun isOverdue(row: InstanceRow): Boolean {
        val timeoutMs = if (row.phase == InstancePhase.DRAINING) Long.MAX_VALUE else spec.verifyTimeoutMs
        return nowMs - row.phaseSinceMs > timeoutMs
    }

    private fun isPending(row: InstanceRow): Boolean {
        val isAlive = snapshot.listed[row.id]?.state == ListedState.LIVE
        return row.phase == InstancePhase.ASSIGNED && row.maintainedBy != wave.runId && isAlive
    }

    private fun drains(pending: List<InstanceRow>): List<FleetChange> {
        val maintained = members.count { it.maintainedBy == wave.runId }
        val maxDrains = if (maintained < spec.canarySize) spec.canarySize - maintained - inMaintenance.size else MAX_NEW_DRAINS_PER_ROUND
        return pending
            .asSequence()
            .filter { budgetOf(it.pool).allows(it) }
            .onEach { budgetOf(it.pool).reserve(it) }
            .take(maxDrains.coerceAtLeast(0))
            .map { change(it, it.withPhase(InstancePhase.DRAINING, nowMs).copy(wave = wave.runId), "drain-started") }
            .toList()
    }

    private fun recordFailures(newlyFailed: List<String>): FleetChange {
        val allFailed = wave.failed + newlyFailed
        val isStopped = allFailed.size >= spec.stopAfterFailures
        val reason = "not back within ${spec.verifyTimeoutMs} ms: ${allFailed.joinToString()}"
        val status = if (isStopped) WaveStatus.STOPPED else WaveStatus.RUNNING
        val after = wave.copy(failed = allFailed, status = status, reason = reason, endedAtMs = if (isStopped) nowMs else 0)
        return FleetChange.WaveChange(wave, after, if (isStopped) "wave-stopped" else "wave-failure", reason)
    }

    private fun finishWave(): FleetChange =
        FleetChange.WaveChange(
            wave,
            wave.copy(status = WaveStatus.FINISHED, endedAtMs = nowMs),
            "wave-finished",
            "every instance is maintained",
        )

    private fun change(
        before: InstanceRow,
        after: InstanceRow,
        kind: String,
    ): FleetChange = FleetChange.InstanceChange(before, after, kind, "wave ${wave.runId}")

    private companion object {
        const val MAX_NEW_DRAINS_PER_ROUND = 50
    }
}
