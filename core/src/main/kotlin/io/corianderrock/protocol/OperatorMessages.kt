/*
 * The JSON messages of the daemon's HTTP API for operators. Property names and enum entries are part of the API.
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
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Paths of the operators' API. */
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

/**
 * Submits declarations that were edited on the basis of the configuration version [baseVersion]. Repeating a request
 * with the same [changeId] is idempotent.
 */
@Serializable
public data class ApplyRequest(
    val changeId: String,
    val baseVersion: Long,
    val declarations: Declarations,
)

/** The outcome of a submission. SUPERSEDED: the base version is not the version in force. */
@Serializable
public enum class ApplyOutcome { ACCEPTED, UNCHANGED, SUPERSEDED, INVALID, FAILED }

/**
 * The response to [ApplyRequest]. [pointer] identifies the configuration in force. If [mayHaveApplied] is set, the
 * outcome is not known: repeat the request with the same change id.
 */
@Serializable
public data class ApplyAnswer(
    val outcome: ApplyOutcome,
    val pointer: ConfigurationPointer? = null,
    val problems: List<Problem> = emptyList(),
    val error: OperatorError? = null,
    val mayHaveApplied: Boolean = false,
)

/** An error, with the step that failed and the peer that was called. */
@Serializable
public data class OperatorError(
    val step: String,
    val peer: String,
    val message: String,
)

/** The configuration in force at an entry, or null if none has been published. */
@Serializable
public data class ConfigurationAnswer(
    val configuration: Configuration? = null,
)

/**
 * A worker as seen by an entry: [listed] is its state in the platform's list, [usedSlots] counts the entry's requests.
 */
@Serializable
public data class WorkerStatus(
    val row: InstanceRow,
    val listed: String,
    val usedSlots: Int,
    val isEjected: Boolean,
)

/** A service as seen by an entry, with the requests that are [waiting] in its queue and [inFlight] to its workers. */
@Serializable
public data class ServiceStatus(
    val name: String,
    val pool: String,
    val waiting: Int,
    val inFlight: Int,
)

/** Requests [action] on the wave called [wave]. */
@Serializable
public data class WaveRequest(
    val wave: String,
    val action: WaveAction,
)

/** Requests to drain [instance], or to return it to service if [isReturn] is set. */
@Serializable
public data class DrainRequest(
    val instance: String,
    val isReturn: Boolean = false,
)

/** The response to an accepted action of an operator, with a summary for display. */
@Serializable
public data class ActionAnswer(
    val summary: String,
)

/** All waves that have been started, including finished ones. */
@Serializable
public data class WavesAnswer(
    val waves: List<WaveProgress>,
)

/**
 * The progress of a wave run: [maintained] of [total] instances have been maintained; [out] lists the ids of those
 * that it keeps out of service now.
 */
@Serializable
public data class WaveProgress(
    val row: WaveRow,
    @SerialName("done") val maintained: Int,
    val total: Int,
    val out: List<String>,
)

/** The reasons for the state of the instance [subject], one line each. */
@Serializable
public data class ExplainAnswer(
    val subject: String,
    val reasons: List<String>,
)

/** The complete audit record. */
@Serializable
public data class RecordAnswer(
    val entries: List<RecordEntry>,
    val head: RecordHead,
)

/**
 * The status of an entry and its view of the fleet. [platformAgeMs] is the time since it last reached the platform, or
 * [Long.MAX_VALUE] if it never did.
 */
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
