/*
 * What operators ask of the fleet, answered from the platform's table and the entries.
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

/** Waves, drains, explanations, burn and the record, as the operators' interface offers them. */
public class FleetOperations(
    private val operatorActions: OperatorActions,
    private val explainer: Explainer,
    private val burnWork: BurnWork,
    private val auditRecord: AuditRecord,
    private val declarations: () -> Declarations,
) {
    /** Changes a wave. */
    public fun changeWave(
        wave: String,
        action: WaveAction,
        operator: String,
    ): OperatorResult = operatorActions.changeWave(declarations(), wave, action, operator)

    /** Takes an instance out of service or returns it. */
    public fun drain(
        instance: String,
        isReturn: Boolean,
        operator: String,
    ): OperatorResult = operatorActions.drain(declarations(), instance, isReturn, operator)

    /** The progress of all waves. */
    public fun waves(): PlatformResult<WavesAnswer> {
        val rows =
            when (val read = operatorActions.instances()) {
                is PlatformResult.Ok -> read.value.filter { it.phase != InstancePhase.RETIRED }
                is PlatformResult.Conflict -> return read
                is PlatformResult.Failed -> return read
            }
        return operatorActions.waves().map { waves -> WavesAnswer(waves.map { progressOf(it, rows) }) }
    }

    /** Why an instance is in its state. */
    public fun explain(instance: String): PlatformResult<ExplainAnswer> {
        val snapshot =
            operatorActions.snapshot(declarations())
                ?: return PlatformResult.Failed("read the fleet", "platform", "no answer", mayHaveApplied = false)
        return PlatformResult.Ok(ExplainAnswer(instance, explainer.explain(instance, snapshot)))
    }

    /** The burn of all services. */
    public fun burn(): BurnReport = burnWork.report()

    /** The whole record. */
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
            maintainedCount = members.count { it.maintainedBy == wave.runId },
            total = members.size,
            out = rows.filter { it.wave == wave.runId }.map { it.id }.sorted(),
        )
    }
}
