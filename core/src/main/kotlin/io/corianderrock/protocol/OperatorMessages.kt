/*
 * The messages of the operators' HTTP interface of the daemon.
 */
package io.corianderrock.protocol

import io.corianderrock.coordination.maintenance.WaveAction
import io.corianderrock.coordination.maintenance.WaveRow
import io.corianderrock.coordination.record.RecordEntry
import io.corianderrock.coordination.record.RecordHead
import io.corianderrock.protocol.toml.Problem
import io.corianderrock.state.Configuration
import io.corianderrock.state.ConfigurationPointer
import io.corianderrock.state.Declarations
import io.corianderrock.state.InstanceRow
import kotlinx.serialization.Serializable

/** Paths of the operators' interface. */
public object OperatorPaths {
    public const val HEALTH: String = "/healthz"
    public const val READY: String = "/readyz"
    public const val METRICS: String = "/metrics"
    public const val STATUS: String = "/v1/status"
    public const val CONFIGURATION: String = "/v1/configuration"
    public const val APPLY: String = "/v1/apply"
    public const val DRAIN: String = "/v1/drain"
    public const val EXPLAIN: String = "/v1/explain"
    public const val WAVE: String = "/v1/wave"
    public const val BURN: String = "/v1/burn"
    public const val RECORD: String = "/v1/record"
}

/** A submission of declarations, made from [baseVersion]. */
@Serializable
public data class ApplyRequest(
    val changeId: String,
    val baseVersion: Long,
    val declarations: Declarations,
)

/** What became of a submission. */
@Serializable
public enum class ApplyOutcome { ACCEPTED, UNCHANGED, SUPERSEDED, INVALID, FAILED }

/** The answer to a submission. [pointer] names the configuration in force; [mayHaveApplied] asks to submit again. */
@Serializable
public data class ApplyAnswer(
    val outcome: ApplyOutcome,
    val pointer: ConfigurationPointer? = null,
    val problems: List<Problem> = emptyList(),
    val error: OperatorError? = null,
    val mayHaveApplied: Boolean = false,
)

/** An error with the step and the peer at which it arose. */
@Serializable
public data class OperatorError(
    val step: String,
    val peer: String,
    val message: String,
)

/** The configuration in force at an entry; null before the first. */
@Serializable
public data class ConfigurationAnswer(
    val configuration: Configuration? = null,
)

/** One worker as an entry sees it. */
@Serializable
public data class WorkerStatus(
    val row: InstanceRow,
    val listed: String,
    val usedSlots: Int,
    val isEjected: Boolean,
)

/** One service as an entry sees it. */
@Serializable
public data class ServiceStatus(
    val name: String,
    val pool: String,
    val waiting: Int,
    val inFlight: Int,
)

/** Asks for a change of the wave called [wave]. */
@Serializable
public data class WaveRequest(
    val wave: String,
    val action: WaveAction,
)

/** Asks to take [instance] out of service, or to return it. */
@Serializable
public data class DrainRequest(
    val instance: String,
    val isReturn: Boolean = false,
)

/** The result of an operator's change. */
@Serializable
public data class DoneAnswer(
    val summary: String,
)

/** The waves that were ever started, with the progress of each. */
@Serializable
public data class WavesAnswer(
    val waves: List<WaveProgress>,
)

/** A run of a wave: [done] of [total] instances are maintained, [out] are out of service for it. */
@Serializable
public data class WaveProgress(
    val row: WaveRow,
    val done: Int,
    val total: Int,
    val out: List<String>,
)

/** Why an instance is in its state, one reason a line. */
@Serializable
public data class ExplainAnswer(
    val subject: String,
    val reasons: List<String>,
)

/** The whole record. */
@Serializable
public data class RecordAnswer(
    val entries: List<RecordEntry>,
    val head: RecordHead,
)

/** An entry's view of itself and the fleet. */
@Serializable
public data class StatusAnswer(
    val entry: String,
    val dataCentre: String,
    val isReady: Boolean,
    val isController: Boolean,
    val configurationVersion: Long,
    val platformAgeMs: Long,
    val entries: List<String>,
    val services: List<ServiceStatus>,
    val workers: List<WorkerStatus>,
)
