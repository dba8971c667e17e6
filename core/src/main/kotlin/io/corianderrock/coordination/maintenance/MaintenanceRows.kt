/*
 * Keys, types and codecs of the maintenance rows: wave runs, and the instances that planned work keeps out of service.
 */
package io.corianderrock.coordination.maintenance

import io.corianderrock.coordination.Row
import io.corianderrock.coordination.Write
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The status of a wave run. A run ends as [ABORTED] by an operator, [STOPPED] after failures, or [FINISHED]. */
@Serializable
public enum class WaveStatus {
    RUNNING,
    PAUSED,
    ABORTED,
    STOPPED,
    FINISHED,
    ;

    /** True for a final status. */
    public val isTerminal: Boolean get() = this == ABORTED || this == STOPPED || this == FINISHED
}

/**
 * The latest run of the wave [name], numbered [run] from 1. [failed] holds the ids of instances that did not return to
 * service within the verify timeout. [endedAtMs] is 0 while the run is not in a final status.
 */
@Serializable
public data class WaveRow(
    val name: String,
    val run: Long,
    val status: WaveStatus,
    val startedBy: String,
    val startedAtMs: Long,
    val reason: String = "",
    val failed: List<String> = emptyList(),
    val endedAtMs: Long = 0,
) {
    /** Identifies this run in instance rows and the audit record, as `name#run`. */
    val runId: String get() = "$name#$run"
}

/** Extracts the wave name from a [WaveRow.runId]. */
internal fun waveNameOf(runId: String): String = runId.substringBeforeLast('#')

/** Ids of the instances of [pool] that planned work keeps out of service; changed in the transaction that drains or returns one. */
@Serializable
public data class BudgetRow(
    val pool: String,
    val planned: List<String>,
)

/** The key prefix of [WaveRow]s. */
public const val WAVE_PREFIX: String = "wave/"

/** The key prefix of [BudgetRow]s. */
public const val BUDGET_PREFIX: String = "budget/"

/** The key of the row of wave [name]. */
public fun waveKey(name: String): String = WAVE_PREFIX + name

/** The key of the budget row of [pool]. */
public fun budgetKey(pool: String): String = BUDGET_PREFIX + pool

internal fun decodeWave(row: Row): WaveRow = Json.decodeFromString(WaveRow.serializer(), row.value)

internal fun decodeBudget(row: Row): BudgetRow = Json.decodeFromString(BudgetRow.serializer(), row.value)

internal fun WaveRow.asWrite(): Write = Write(waveKey(name), Json.encodeToString(WaveRow.serializer(), this))

internal fun BudgetRow.asWrite(): Write = Write(budgetKey(pool), Json.encodeToString(BudgetRow.serializer(), this))
