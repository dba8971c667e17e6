/*
 * The HTTP interface for operators: health, readiness, metrics, status and changes. Every path but health, readiness and metrics
 * requires an operator's bearer token.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.burn.BurnReport
import io.corianderrock.coordination.configuration.ConfigurationStore
import io.corianderrock.coordination.configuration.Submission
import io.corianderrock.coordination.configuration.SubmitResult
import io.corianderrock.coordination.maintenance.OperatorResult
import io.corianderrock.protocol.ActionAnswer
import io.corianderrock.protocol.ApplyAnswer
import io.corianderrock.protocol.ApplyOutcome
import io.corianderrock.protocol.ApplyRequest
import io.corianderrock.protocol.ConfigurationAnswer
import io.corianderrock.protocol.DrainRequest
import io.corianderrock.protocol.ExplainAnswer
import io.corianderrock.protocol.OperatorError
import io.corianderrock.protocol.OperatorPaths
import io.corianderrock.protocol.RecordAnswer
import io.corianderrock.protocol.StatusAnswer
import io.corianderrock.protocol.WaveRequest
import io.corianderrock.protocol.WavesAnswer
import io.corianderrock.protocol.validateDeclarations
import io.corianderrock.transport.EventLog
import io.corianderrock.transport.eq
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.routes

/** The state of the daemon that the operators' interface shows. */
public interface DaemonView {
    /** True when this entry accepts callers' requests. */
    public val isReady: Boolean

    /** A snapshot of this entry's view of services and workers. */
    public fun status(): StatusAnswer
}

/** Handles operators' requests; [operators] lists the accepted tokens. */
public class OperatorHandler(
    private val view: DaemonView,
    private val sync: FleetSync,
    private val store: ConfigurationStore,
    private val metrics: DaemonMetrics,
    private val clock: Clock,
    private val operators: List<OperatorSettings>,
    private val fleetOperations: FleetOperations,
) {
    private val log = EventLog("operators")

    /** The routes of all paths in [OperatorPaths]. */
    public fun handler(): HttpHandler =
        routes(
            OperatorPaths.HEALTH bind Method.GET to { Response(Status.OK).body("ok\n") },
            OperatorPaths.READY bind Method.GET to { readinessResponse() },
            OperatorPaths.METRICS bind Method.GET to { metricsResponse() },
            OperatorPaths.STATUS bind Method.GET to authorized { _, _ -> okResponse(StatusAnswer.serializer(), view.status()) },
            OperatorPaths.CONFIGURATION bind Method.GET to authorized { _, _ -> configurationResponse() },
            OperatorPaths.APPLY bind Method.POST to authorized(::applyDeclarations),
            OperatorPaths.WAVE bind Method.GET to authorized { _, _ -> respond(WavesAnswer.serializer(), fleetOperations.waves()) },
            OperatorPaths.WAVE bind Method.POST to authorized(::changeWave),
            OperatorPaths.DRAIN bind Method.POST to authorized(::drain),
            OperatorPaths.EXPLAIN bind Method.GET to authorized { request, _ -> explain(request) },
            OperatorPaths.BURN bind Method.GET to authorized { _, _ -> okResponse(BurnReport.serializer(), fleetOperations.burn()) },
            OperatorPaths.RECORD bind Method.GET to authorized { _, _ -> respond(RecordAnswer.serializer(), fleetOperations.record()) },
        )

    private fun readinessResponse(): Response =
        if (view.isReady) Response(Status.OK).body("ready\n") else Response(Status.SERVICE_UNAVAILABLE).body("not ready\n")

    private fun metricsResponse(): Response =
        Response(Status.OK).header("Content-Type", "text/plain; version=0.0.4; charset=utf-8").body(metrics.render())

    private fun configurationResponse(): Response {
        sync.poll()
        return okResponse(ConfigurationAnswer.serializer(), ConfigurationAnswer(sync.configuration.takeIf { it.version > 0 }))
    }

    private fun applyDeclarations(
        request: Request,
        operator: String,
    ): Response {
        val applyRequest = decode(ApplyRequest.serializer(), request) ?: return badRequestResponse()
        val problems = validateDeclarations(applyRequest.declarations)
        if (problems.isNotEmpty()) {
            return okResponse(ApplyAnswer.serializer(), ApplyAnswer(ApplyOutcome.INVALID, problems = problems))
        }
        val submission = Submission(applyRequest.changeId, operator, applyRequest.baseVersion, applyRequest.declarations, clock.wallMs())
        val answer = applyAnswer(store.submit(submission))
        log.info("configuration-submitted", "operator" eq operator, "change" eq applyRequest.changeId, "outcome" eq answer.outcome)
        sync.poll()
        return okResponse(ApplyAnswer.serializer(), answer)
    }

    private fun changeWave(
        request: Request,
        operator: String,
    ): Response {
        val command = decode(WaveRequest.serializer(), request) ?: return badRequestResponse()
        return operatorResponse(fleetOperations.changeWave(command.wave, command.action, operator))
    }

    private fun drain(
        request: Request,
        operator: String,
    ): Response {
        val command = decode(DrainRequest.serializer(), request) ?: return badRequestResponse()
        return operatorResponse(fleetOperations.drain(command.instance, command.isReturn, operator))
    }

    private fun explain(request: Request): Response {
        val instance = request.query("instance") ?: return badRequestResponse()
        return respond(ExplainAnswer.serializer(), fleetOperations.explain(instance))
    }

    private fun operatorResponse(result: OperatorResult): Response =
        when (result) {
            is OperatorResult.Done -> okResponse(ActionAnswer.serializer(), ActionAnswer(result.summary))
            is OperatorResult.Refused -> errorResponse(Status.CONFLICT, "decide", result.reason)
            is OperatorResult.Failed -> platformErrorResponse(result.failure)
        }

    private fun <T> respond(
        serializer: KSerializer<T>,
        result: PlatformResult<T>,
    ): Response =
        when (result) {
            is PlatformResult.Ok -> okResponse(serializer, result.value)
            is PlatformResult.Conflict -> errorResponse(Status.CONFLICT, "read", "row ${result.key} was changed concurrently; try again")
            is PlatformResult.Failed -> platformErrorResponse(result)
        }

    private fun platformErrorResponse(failure: PlatformResult.Failed): Response {
        val body = OperatorError(failure.step, failure.peer, failure.reason)
        return Response(Status.BAD_GATEWAY).body(Json.encodeToString(OperatorError.serializer(), body))
    }

    private fun applyAnswer(result: SubmitResult): ApplyAnswer =
        when (result) {
            is SubmitResult.Accepted -> ApplyAnswer(ApplyOutcome.ACCEPTED, result.pointer)
            is SubmitResult.Unchanged -> ApplyAnswer(ApplyOutcome.UNCHANGED, result.pointer)
            is SubmitResult.Superseded -> ApplyAnswer(ApplyOutcome.SUPERSEDED, result.winner)
            is SubmitResult.Failed ->
                ApplyAnswer(
                    outcome = ApplyOutcome.FAILED,
                    error = OperatorError(result.failure.step, result.failure.peer, result.failure.reason),
                    mayHaveApplied = result.failure.mayHaveApplied,
                )
        }

    private fun authorized(action: (Request, String) -> Response): HttpHandler =
        { request ->
            val token = request.header("Authorization")?.removePrefix("Bearer ")
            val operator = operators.firstOrNull { it.token.matches(token) }
            if (operator ==
                null
            ) {
                errorResponse(
                    Status.UNAUTHORIZED,
                    "authorize",
                    "the Authorization header must carry \"Bearer\" and the token of a configured operator",
                )
            } else {
                action(request, operator.name)
            }
        }

    private fun badRequestResponse(): Response =
        errorResponse(Status.BAD_REQUEST, "decode", "the request has no valid message for this path; check its JSON body or its query")

    private fun <T> decode(
        strategy: DeserializationStrategy<T>,
        request: Request,
    ): T? =
        try {
            Json.decodeFromString(strategy, request.bodyString())
        } catch (_: SerializationException) {
            null
        }

    private fun errorResponse(
        status: Status,
        step: String,
        message: String,
    ): Response =
        Response(status)
            .header("Content-Type", "application/json")
            .body(Json.encodeToString(OperatorError.serializer(), OperatorError(step, "daemon", message)))

    private fun <T> okResponse(
        serializer: KSerializer<T>,
        value: T,
    ): Response = Response(Status.OK).header("Content-Type", "application/json").body(Json.encodeToString(serializer, value))
}
