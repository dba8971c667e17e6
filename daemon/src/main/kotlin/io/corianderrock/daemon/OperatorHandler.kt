/*
 * The operators' interface: health, metrics, status and changes. All but health and metrics need a token.
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

/** What the operators' interface reads of the daemon. */
public interface DaemonView {
    /** True when callers may be sent to this entry. */
    public val isReady: Boolean

    /** The state of this entry. */
    public fun status(): StatusAnswer
}

/** Builds the operators' interface. */
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

    /** Returns the handler of all paths. */
    public fun handler(): HttpHandler =
        routes(
            OperatorPaths.HEALTH bind Method.GET to { Response(Status.OK).body("ok\n") },
            OperatorPaths.READY bind Method.GET to { readiness() },
            OperatorPaths.METRICS bind Method.GET to { metricsPage() },
            OperatorPaths.STATUS bind Method.GET to authorized { _, _ -> ok(StatusAnswer.serializer(), view.status()) },
            OperatorPaths.CONFIGURATION bind Method.GET to authorized { _, _ -> configuration() },
            OperatorPaths.APPLY bind Method.POST to authorized(::apply),
            OperatorPaths.WAVE bind Method.GET to authorized { _, _ -> respond(WavesAnswer.serializer(), fleetOperations.waves()) },
            OperatorPaths.WAVE bind Method.POST to authorized(::wave),
            OperatorPaths.DRAIN bind Method.POST to authorized(::drain),
            OperatorPaths.EXPLAIN bind Method.GET to authorized { request, _ -> explain(request) },
            OperatorPaths.BURN bind Method.GET to authorized { _, _ -> ok(BurnReport.serializer(), fleetOperations.burn()) },
            OperatorPaths.RECORD bind Method.GET to authorized { _, _ -> respond(RecordAnswer.serializer(), fleetOperations.record()) },
        )

    private fun readiness(): Response =
        if (view.isReady) Response(Status.OK).body("ready\n") else Response(Status.SERVICE_UNAVAILABLE).body("not ready\n")

    private fun metricsPage(): Response =
        Response(Status.OK).header("Content-Type", "text/plain; version=0.0.4; charset=utf-8").body(metrics.render())

    private fun configuration(): Response {
        sync.poll()
        return ok(ConfigurationAnswer.serializer(), ConfigurationAnswer(sync.configuration.takeIf { it.version > 0 }))
    }

    private fun apply(
        request: Request,
        operator: String,
    ): Response {
        val submitted = decode(ApplyRequest.serializer(), request) ?: return malformed()
        val problems = validateDeclarations(submitted.declarations)
        if (problems.isNotEmpty()) {
            return ok(ApplyAnswer.serializer(), ApplyAnswer(ApplyOutcome.INVALID, problems = problems))
        }
        val submission = Submission(submitted.changeId, operator, submitted.baseVersion, submitted.declarations, clock.wallMs())
        val answer = answerTo(store.submit(submission))
        log.info("configuration-submitted", "operator" eq operator, "change" eq submitted.changeId, "outcome" eq answer.outcome)
        sync.poll()
        return ok(ApplyAnswer.serializer(), answer)
    }

    private fun wave(
        request: Request,
        operator: String,
    ): Response {
        val asked = decode(WaveRequest.serializer(), request) ?: return malformed()
        return done(fleetOperations.changeWave(asked.wave, asked.action, operator))
    }

    private fun drain(
        request: Request,
        operator: String,
    ): Response {
        val asked = decode(DrainRequest.serializer(), request) ?: return malformed()
        return done(fleetOperations.drain(asked.instance, asked.isReturn, operator))
    }

    private fun explain(request: Request): Response {
        val instance = request.query("instance") ?: return malformed()
        return respond(ExplainAnswer.serializer(), fleetOperations.explain(instance))
    }

    private fun done(result: OperatorResult): Response =
        when (result) {
            is OperatorResult.Done -> ok(ActionAnswer.serializer(), ActionAnswer(result.summary))
            is OperatorResult.Refused -> error(Status.CONFLICT, "decide", result.reason)
            is OperatorResult.Failed -> failed(result.failure)
        }

    private fun <T> respond(
        serializer: KSerializer<T>,
        result: PlatformResult<T>,
    ): Response =
        when (result) {
            is PlatformResult.Ok -> ok(serializer, result.value)
            is PlatformResult.Conflict -> error(Status.CONFLICT, "read", "row ${result.key} changed meanwhile; try again")
            is PlatformResult.Failed -> failed(result)
        }

    private fun failed(failure: PlatformResult.Failed): Response {
        val body = OperatorError(failure.step, failure.peer, failure.reason)
        return Response(Status.BAD_GATEWAY).body(Json.encodeToString(OperatorError.serializer(), body))
    }

    private fun answerTo(result: SubmitResult): ApplyAnswer =
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
                error(Status.UNAUTHORIZED, "authorize", "a known operator's token is needed")
            } else {
                action(request, operator.name)
            }
        }

    private fun malformed(): Response = error(Status.BAD_REQUEST, "decode", "the body is not a valid message of this path")

    private fun <T> decode(
        strategy: DeserializationStrategy<T>,
        request: Request,
    ): T? =
        try {
            Json.decodeFromString(strategy, request.bodyString())
        } catch (_: SerializationException) {
            null
        }

    private fun error(
        status: Status,
        step: String,
        message: String,
    ): Response =
        Response(status)
            .header("Content-Type", "application/json")
            .body(Json.encodeToString(OperatorError.serializer(), OperatorError(step, "daemon", message)))

    private fun <T> ok(
        serializer: KSerializer<T>,
        value: T,
    ): Response = Response(Status.OK).header("Content-Type", "application/json").body(Json.encodeToString(serializer, value))
}
