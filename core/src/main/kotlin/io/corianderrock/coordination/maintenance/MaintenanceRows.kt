/*
 * The rows of maintenance: runs of waves and spent budgets.
 */
package io.corianderrock.coordination.maintenance

import io.corianderrock.coordination.Row
import io.corianderrock.coordination.Write
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The status of a run of a wave. */
@Serializable
public enum class WaveStatus {
    RUNNING,
    PAUSED,
    ABORTED,
    STOPPED,
    FINISHED,
    ;

    /** True when the run is over. */
    public val isOver: Boolean get() = this == ABORTED || this == STOPPED || this == FINISHED
}

/** A run of the wave called [name]. [failed] are the instances that did not come back in time. */
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
    /** The name under which instances remember this run. */
    val runId: String get() = "$name#$run"
}

/** Returns the name of the wave that [runId] is a run of. */
internal fun waveNameOf(runId: String): String = runId.substringBeforeLast('#')

/** The instances of [pool] that planned work keeps out of service. Changed in the transaction that drains or returns one. */
@Serializable
public data class BudgetRow(
    val pool: String,
    val planned: List<String>,
)

/** The prefix of rows of waves. */
public const val WAVE_PREFIX: String = "wave/"

/** The prefix of rows of budgets. */
public const val BUDGET_PREFIX: String = "budget/"

/** Returns the key of the row of wave [name]. */
public fun waveKey(name: String): String = WAVE_PREFIX + name

/** Returns the key of the row of the budget of [pool]. */
public fun budgetKey(pool: String): String = BUDGET_PREFIX + pool

internal fun decodeWave(row: Row): WaveRow = Json.decodeFromString(WaveRow.serializer(), row.value)

internal fun decodeBudget(row: Row): BudgetRow = Json.decodeFromString(BudgetRow.serializer(), row.value)

internal fun WaveRow.asWrite(): Write = Write(waveKey(name), Json.encodeToString(WaveRow.serializer(), this))

internal fun BudgetRow.asWrite(): Write = Write(budgetKey(pool), Json.encodeToString(BudgetRow.serializer(), this))
