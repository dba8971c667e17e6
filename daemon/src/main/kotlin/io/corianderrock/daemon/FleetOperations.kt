/*
 * Operators' queries and commands on the fleet, served from the platform's table and the entries.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.burn.BurnReport
import io.corianderrock.coordination.maintenance.OperatorActions
import io.corianderrock.coordination.maintenance.OperatorResult
import io.corianderrock.coordination.maintenance.WaveAction
import io.corianderrock.coordination.maintenance.WaveRow
import io.corianderrock.coordination.map
import io.corianderrock.coordination.record.AuditRecord
import io.corianderrock.protocol.ExplainAnswer
import io.corianderrock.protocol.RecordAnswer
import io.corianderrock.protocol.WaveProgress
import io.corianderrock.protocol.WavesAnswer
import io.corianderrock.state.Declarations
import io.corianderrock.state.InstancePhase
import io.corianderrock.state.InstanceRow

/** Maintenance waves, drains, explanations, burn rates and the audit record. */
public class FleetOperations(
    private val operatorActions: OperatorActions,
    private val explainer: Explainer,
    private val burnReporter: BurnReporter,
    private val auditRecord: AuditRecord,
    private val declarations: () -> Declarations,
) {
    /** Applies [action] to [wave] on behalf of [operator]. */
    public fun changeWave(
        wave: String,
        action: WaveAction,
        operator: String,
    ): OperatorResult = operatorActions.changeWave(declarations(), wave, action, operator)

    /** Drains an instance on behalf of [operator], or returns it to service with [isReturn]. */
    public fun drain(
        instance: String,
        isReturn: Boolean,
        operator: String,
    ): OperatorResult = operatorActions.drain(declarations(), instance, isReturn, operator)

    /** The progress of every wave; counts leave out retired instances. */
    public fun waves(): PlatformResult<WavesAnswer> {
        val rows =
            when (val read = operatorActions.instances()) {
                is PlatformResult.Ok -> read.value.filter { it.phase != InstancePhase.RETIRED }
                is PlatformResult.Conflict -> return read
                is PlatformResult.Failed -> return read
            }
        return operatorActions.waves().map { waves -> WavesAnswer(waves.map { progressOf(it, rows) }) }
    }

    /** The reasons for the state of [instance], the most important first. */
    public fun explain(instance: String): PlatformResult<ExplainAnswer> {
        val snapshot =
            operatorActions.snapshot(declarations())
                ?: return PlatformResult.Failed("read the fleet", "platform", "no answer", mayHaveApplied = false)
        return PlatformResult.Ok(ExplainAnswer(instance, explainer.explain(instance, snapshot)))
    }

    /** Burn rates of all services over all entries. */
    public fun burn(): BurnReport = burnReporter.report()

    /** All entries of the audit record. */
    public fun record(): PlatformResult<RecordAnswer> = auditRecord.readAll().map { RecordAnswer(it.entries, it.head) }

    private fun progressOf(
        wave: WaveRow,
        rows: List<InstanceRow>,
    ): WaveProgress {
        val pools =
            declarations()
                .waves
                .firstOrNull { it.name == wave.name }
                ?.pools
                .orEmpty()
        val members = rows.filter { it.pool in pools }
        return WaveProgress(
            row = wave,
            maintained = members.count { it.maintainedBy == wave.runId },
            total = members.size,
            out = rows.filter { it.wave == wave.runId }.map { it.id }.sorted(),
        )
    }
}
