/*
 * Decides the next steps of a run of a wave.
 */
package io.corianderrock.coordination.maintenance

import io.corianderrock.state.InstancePhase
import io.corianderrock.state.InstanceRow
import io.corianderrock.state.ListedState
import io.corianderrock.state.WaveSpec

/** What the controller has found out about single instances in this round. */
public data class Findings(
    val drained: Set<String> = emptySet(),
    val verified: Set<String> = emptySet(),
)

/**
 * Returns the steps that the run [row] of [spec] may take now. New drains stay within each pool's [accounts]; the first
 * instances are a canary; a run whose instances fail to come back stops itself. Instances that this or an earlier run
 * has taken out of service are brought back also when it is paused or over.
 */
public fun planWave(
    spec: WaveSpec,
    row: WaveRow,
    snapshot: FleetSnapshot,
    findings: Findings,
    accounts: (String) -> BudgetAccount,
): List<Step> = WavePlan(spec, row, snapshot, findings, accounts).steps()

private class WavePlan(
    private val spec: WaveSpec,
    private val wave: WaveRow,
    private val snapshot: FleetSnapshot,
    private val findings: Findings,
    private val accounts: (String) -> BudgetAccount,
) {
    private val members = spec.pools.flatMap { snapshot.rowsOf(it) }.sortedWith(compareBy({ it.rack }, { it.id }))
    private val own =
        snapshot.instances
            .filter { row -> row.wave?.let(::waveNameOf) == wave.name }
    private val nowMs = snapshot.nowMs

    fun steps(): List<Step> {
        val progress = own.mapNotNull(::progress)
        if (wave.status != WaveStatus.RUNNING) return progress
        val failed = own.filter { it.wave == wave.runId && isOverdue(it) }.map { it.id }
        val newlyFailed = failed - wave.failed.toSet()
        if (newlyFailed.isNotEmpty()) return progress + failure(newlyFailed)
        val pending = members.filter(::isPending)
        if (pending.isEmpty() && own.isEmpty()) return progress + finish()
        return progress + drains(pending)
    }

    private fun progress(row: InstanceRow): Step? =
        when (row.phase) {
            InstancePhase.ASSIGNED, InstancePhase.RETIRED -> null
            InstancePhase.DRAINING -> if (row.id in findings.drained) afterDrain(row) else null
            InstancePhase.REBOOTING ->
                if (hasRebooted(
                        row,
                    )
                ) {
                    change(row, row.next(InstancePhase.VERIFYING, nowMs), "instance-rebooted")
                } else {
                    null
                }
            InstancePhase.VERIFYING ->
                if (row.id in findings.verified) change(row, row.returned(nowMs, maintainedBy = row.wave), "instance-returned") else null
        }

    /** Instances drained for a run that is over return as they are. */
    private fun afterDrain(row: InstanceRow): Step {
        if (wave.status.isOver || row.wave != wave.runId) return change(row, row.returned(nowMs), "instance-returned")
        val bootCount = snapshot.listed[row.id]?.bootCount ?: 0
        return change(row, row.next(InstancePhase.REBOOTING, nowMs).copy(bootCountBefore = bootCount), "instance-drained")
    }

    private fun hasRebooted(row: InstanceRow): Boolean {
        val listed = snapshot.listed[row.id] ?: return false
        return listed.state == ListedState.LIVE && listed.bootCount > row.bootCountBefore
    }

    private fun isOverdue(row: InstanceRow): Boolean {
        val limitMs = if (row.phase == InstancePhase.DRAINING) Long.MAX_VALUE else spec.verifyTimeoutMs
        return nowMs - row.phaseSinceMs > limitMs
    }

    private fun isPending(row: InstanceRow): Boolean {
        val isAlive = snapshot.listed[row.id]?.state == ListedState.LIVE
        return row.phase == InstancePhase.ASSIGNED && row.maintainedBy != wave.runId && isAlive
    }

    private fun drains(pending: List<InstanceRow>): List<Step> {
        val done = members.count { it.maintainedBy == wave.runId }
        val room = if (done < spec.canarySize) spec.canarySize - done - own.size else MAX_NEW_DRAINS
        return pending
            .asSequence()
            .filter { accounts(it.pool).allows(it) }
            .onEach { accounts(it.pool).spend(it) }
            .take(room.coerceAtLeast(0))
            .map { change(it, it.next(InstancePhase.DRAINING, nowMs).copy(wave = wave.runId), "drain-started") }
            .toList()
    }

    private fun failure(newlyFailed: List<String>): Step {
        val all = wave.failed + newlyFailed
        val isStopped = all.size >= spec.stopAfterFailures
        val reason = "not back within ${spec.verifyTimeoutMs} ms: ${all.joinToString()}"
        val status = if (isStopped) WaveStatus.STOPPED else WaveStatus.RUNNING
        val after = wave.copy(failed = all, status = status, reason = reason, endedAtMs = if (isStopped) nowMs else 0)
        return Step.ChangeWave(wave, after, if (isStopped) "wave-stopped" else "wave-failure", reason)
    }

    private fun finish(): Step =
        Step.ChangeWave(wave, wave.copy(status = WaveStatus.FINISHED, endedAtMs = nowMs), "wave-finished", "every instance is maintained")

    private fun change(
        before: InstanceRow,
        after: InstanceRow,
        kind: String,
    ): Step = Step.ChangeRow(before, after, kind, "wave ${wave.runId}")

    private companion object {
        const val MAX_NEW_DRAINS = 50
    }
}
