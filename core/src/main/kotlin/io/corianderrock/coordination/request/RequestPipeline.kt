/*
 * The path of a request through an entry: route, quota, claim, admission, dispatch, retry, outcome.
 */
package io.corianderrock.coordination.request

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.NS_PER_MS
import io.corianderrock.coordination.admission.AdmissionRequest
import io.corianderrock.coordination.admission.AdmissionResult
import io.corianderrock.coordination.admission.Slot
import io.corianderrock.coordination.claim.ClaimCall
import io.corianderrock.coordination.claim.ClaimResult
import io.corianderrock.coordination.claim.KeyClaims
import io.corianderrock.coordination.health.FailureKind
import io.corianderrock.state.ServiceSpec
import io.corianderrock.state.startsWithSegment

/** Limits of the retry policy. */
public data class RetryLimits(
    val maxAttempts: Int = 3,
    val minTimeLeftMs: Long = 5,
)

/** An entry of another data centre, to which work may overflow. */
public interface Overflow {
    /** Sends [request] to an entry of another data centre, or returns null when none is known. */
    public fun send(
        request: EntryRequest,
        timeoutMs: Long,
        maxAnswerBytes: Int,
    ): AttemptResult?

    public companion object {
        /** No other data centre. */
        public val NONE: Overflow =
            object : Overflow {
                override fun send(
                    request: EntryRequest,
                    timeoutMs: Long,
                    maxAnswerBytes: Int,
                ): AttemptResult? = null
            }
    }
}

/** Handles requests of every service. Thread-safe; the calling thread waits for the result. */
public class RequestPipeline(
    private val clock: Clock,
    private val services: ServiceDirectory,
    private val upstream: UpstreamClient,
    private val claims: KeyClaims,
    private val overflow: Overflow = Overflow.NONE,
    private val retryLimits: RetryLimits = RetryLimits(),
    private val observer: RequestObserver = RequestObserver.NONE,
) {
    /** Serves [request] and returns what is known of it. */
    public fun handle(request: EntryRequest): EntryResult {
        val service = services.serviceFor(request.path) ?: return refuseCautiously(request, noService(request))
        val startedNs = clock.monotonicNs()
        val result = serve(service, request)
        observer.onFinished(service.spec, request, result, clock.monotonicNs() - startedNs)
        return result
    }

    private fun noService(request: EntryRequest): EntryResult.NotRun {
        val reason = if (services.isReady) Reason.NO_SERVICE else Reason.NOT_READY
        return EntryResult.NotRun(reason, retryAfterMs = NOT_READY_RETRY_MS, step = "route", peer = request.path)
    }

    private fun serve(
        service: ServiceRuntime,
        request: EntryRequest,
    ): EntryResult {
        val call = CallContext(service, request, deadlineOf(service.spec, request), isIdempotent(service.spec, request))
        val key = request.idempotencyKey
        val needsClaim = key != null && !call.isIdempotent && request.hops == 0
        val refusal = refusalBeforeClaim(call)
        return when {
            refusal != null -> if (needsClaim) refuseCautiously(request, refusal) else refusal
            needsClaim -> runClaimed(call, key)
            else -> runUnclaimed(call)
        }
    }

    private fun refusalBeforeClaim(call: CallContext): EntryResult.NotRun? {
        if (call.request.body.size > call.service.spec.maxBodyBytes) return notRun(Reason.BODY_TOO_LARGE, step = "receive")
        val quotaWaitNs = call.service.takeQuota(call.request.team, clock.monotonicNs())
        if (quotaWaitNs <= 0) return null
        return notRun(Reason.QUOTA_EXCEEDED, step = "quota", retryAfterMs = quotaWaitNs / NS_PER_MS + 1)
    }

    /**
     * Returns [refusal], or "unknown" for a keyed request that may be a resend: without its claim nobody knows whether
     * an earlier send of it ran.
     */
    public fun refuseCautiously(
        request: EntryRequest,
        refusal: EntryResult.NotRun,
    ): EntryResult {
        val mayBeResend = request.idempotencyKey != null && !request.isFirstSend
        return if (mayBeResend) EntryResult.Unknown(refusal.reason, refusal.step, refusal.peer) else refusal
    }

    private fun runClaimed(
        call: CallContext,
        key: String,
    ): EntryResult {
        val claimCall = ClaimCall(key, call.request.id, call.request.isFirstSend, firstSentMs = keyTimestampMs(key))
        return when (val claim = claims.claim(claimCall)) {
            is ClaimResult.Granted -> finishClaim(key, call)
            is ClaimResult.Completed -> EntryResult.Ran(claim.answer, attempts = 0)
            is ClaimResult.Taken -> EntryResult.Unknown(claim.reason, step = "claim", peer = claim.peer)
            is ClaimResult.Unavailable -> refuseCautiously(call.request, unavailable(claim))
        }
    }

    private fun unavailable(claim: ClaimResult.Unavailable): EntryResult.NotRun =
        EntryResult.NotRun(claim.reason, claim.retryAfterMs, step = "claim", peer = claim.peer)

    private fun finishClaim(
        key: String,
        call: CallContext,
    ): EntryResult {
        val result = runUnclaimed(call)
        when (result) {
            is EntryResult.Ran -> claims.complete(key, call.request.id, result.answer)
            is EntryResult.NotRun -> claims.release(key, call.request.id)
            is EntryResult.Unknown -> Unit
        }
        return result
    }

    private fun runUnclaimed(call: CallContext): EntryResult {
        while (true) {
            val slot =
                when (val admitted = admit(call)) {
                    is AdmissionResult.Granted -> admitted.slot
                    is AdmissionResult.Refused -> return afterRefusal(call, admitted)
                }
            call.attempts += 1
            val attempt = dispatch(call, slot)
            if (attempt is AttemptResult.Answered && !isRetriableAnswer(call, attempt)) return ran(call, attempt)
            call.last = attempt
            call.failedWorkers += slot.worker.route.id
            if (!mayRetry(call, attempt)) return afterLastAttempt(call)
        }
    }

    private fun admit(call: CallContext): AdmissionResult =
        call.service.scheduler.acquire(
            AdmissionRequest(
                team = call.request.team,
                route = call.route,
                deadlineNs = call.deadlineNs,
                caller = call.request.caller,
                excluded = call.failedWorkers,
            ),
        )

    private fun afterRefusal(
        call: CallContext,
        refused: AdmissionResult.Refused,
    ): EntryResult {
        if (call.attempts > 0) return afterLastAttempt(call)
        if (refused.reason != Reason.CALLER_GONE) overflowed(call)?.let { return it }
        return EntryResult.NotRun(refused.reason, refused.retryAfterMs, step = "admit", peer = call.service.spec.name)
    }

    /** A request that certainly did not start here may still run in another data centre. */
    private fun afterLastAttempt(call: CallContext): EntryResult {
        val outcome = lastOutcome(call)
        val mayOverflow = outcome is EntryResult.NotRun && !call.request.caller.isGone()
        return if (mayOverflow) overflowed(call) ?: outcome else outcome
    }

    private fun overflowed(call: CallContext): EntryResult? {
        val timeLeftMs = timeLeftMs(call)
        if (call.request.hops > 0 || timeLeftMs < retryLimits.minTimeLeftMs) return null
        val attempt = overflow.send(call.request, timeLeftMs, call.service.spec.maxBodyBytes) ?: return null
        return when (attempt) {
            is AttemptResult.Answered -> EntryResult.Ran(attempt.answer, attempts = 1)
            is AttemptResult.NotStarted -> null
            is AttemptResult.Indeterminate -> EntryResult.Unknown(attempt.reason, attempt.step, attempt.peer)
        }
    }

    private fun dispatch(
        call: CallContext,
        slot: Slot,
    ): AttemptResult {
        val worker = slot.worker
        val startedNs = clock.monotonicNs()
        val timeoutMs = attemptTimeoutMs(call)
        val attempt = upstream.send(worker.route.host, worker.route.port, call.request, timeoutMs, call.service.spec.maxBodyBytes)
        val ranNs = clock.monotonicNs() - startedNs
        when {
            isTimeout(attempt) -> onTimeout(call, slot, timeoutMs, ranNs)
            attempt !is AttemptResult.Answered || isServerFailure(attempt) -> onFailure(call, slot, ranNs)
            else -> onSuccess(call, slot, ranNs)
        }
        return attempt
    }

    private fun onSuccess(
        call: CallContext,
        slot: Slot,
        ranNs: Long,
    ) {
        slot.worker.health.onSuccess()
        call.service.classifier.observe(call.route, ranNs)
        slot.release()
    }

    private fun onFailure(
        call: CallContext,
        slot: Slot,
        ranNs: Long,
    ) {
        slot.worker.health.onFailure(clock.monotonicNs())
        call.service.releaseAfterFailure(slot, ranNs)
    }

    /** A worker is to blame only when it had several times the usual run time. It may still be busy with the request. */
    private fun onTimeout(
        call: CallContext,
        slot: Slot,
        timeoutMs: Long,
        ranNs: Long,
    ) {
        val usualNs = call.service.classifier.meanNs()
        if (timeoutMs * NS_PER_MS >= usualNs * BLAME_FACTOR) slot.worker.health.onFailure(clock.monotonicNs(), FailureKind.TIMEOUT)
        call.service.classifier.observe(call.route, ranNs)
        call.service.releaseAfterTimeout(slot)
    }

    private fun isTimeout(attempt: AttemptResult): Boolean =
        attempt is AttemptResult.Indeterminate && attempt.reason == Reason.DEADLINE_PASSED

    private fun ran(
        call: CallContext,
        attempt: AttemptResult.Answered,
    ): EntryResult {
        call.service.retryBudget.onSuccess()
        return EntryResult.Ran(attempt.answer, call.attempts)
    }

    private fun mayRetry(
        call: CallContext,
        attempt: AttemptResult,
    ): Boolean {
        val isSafe = attempt is AttemptResult.NotStarted || call.isIdempotent
        val hasRoom = call.attempts < retryLimits.maxAttempts && timeLeftMs(call) >= retryLimits.minTimeLeftMs
        return isSafe && hasRoom && !call.request.caller.isGone() && call.service.retryBudget.tryRetry()
    }

    private fun lastOutcome(call: CallContext): EntryResult =
        when (val last = call.last) {
            is AttemptResult.Answered -> EntryResult.Ran(last.answer, call.attempts)
            is AttemptResult.Indeterminate -> EntryResult.Unknown(last.reason, last.step, last.peer)
            is AttemptResult.NotStarted -> notStarted(call, last)
            null -> notRun(Reason.NO_WORKER, step = "dispatch")
        }

    /** An earlier attempt of an idempotent request may have run even if the last one was refused. */
    private fun notStarted(
        call: CallContext,
        last: AttemptResult.NotStarted,
    ): EntryResult =
        if (call.mayHaveRun) {
            EntryResult.Unknown(last.reason, last.step, last.peer)
        } else {
            EntryResult.NotRun(last.reason, DEFAULT_RETRY_AFTER_MS, last.step, last.peer)
        }

    private fun isRetriableAnswer(
        call: CallContext,
        attempt: AttemptResult.Answered,
    ): Boolean = call.isIdempotent && isServerFailure(attempt)

    private fun isServerFailure(attempt: AttemptResult): Boolean =
        attempt is AttemptResult.Answered && attempt.answer.status >= SERVER_ERROR_STATUS

    private fun timeLeftMs(call: CallContext): Long = (call.deadlineNs - clock.monotonicNs()) / NS_PER_MS

    /** The first attempt of an idempotent request leaves half of the time for another worker, if half is plenty. */
    private fun attemptTimeoutMs(call: CallContext): Long {
        val leftMs = timeLeftMs(call).coerceAtLeast(1)
        val isLast = !call.isIdempotent || call.attempts >= 2
        val expectedMs = call.service.classifier.expectedNs(call.route) / NS_PER_MS
        val isTight = expectedMs * EXPECTED_TIME_FACTOR > leftMs / 2
        return if (isLast || isTight) leftMs else leftMs / 2
    }

    private fun deadlineOf(
        spec: ServiceSpec,
        request: EntryRequest,
    ): Long {
        val timeoutMs = (request.requestedTimeoutMs ?: spec.requestTimeoutMs).coerceAtMost(spec.requestTimeoutMs)
        return request.receivedNs + timeoutMs * NS_PER_MS
    }

    private fun isIdempotent(
        spec: ServiceSpec,
        request: EntryRequest,
    ): Boolean {
        val declared = spec.routes.filter { request.path.startsWithSegment(it.pathPrefix) }.maxByOrNull { it.pathPrefix.length }
        return declared?.idempotent ?: isIdempotentMethod(request.method)
    }

    private fun notRun(
        reason: Reason,
        step: String,
        retryAfterMs: Long = DEFAULT_RETRY_AFTER_MS,
    ): EntryResult.NotRun = EntryResult.NotRun(reason, retryAfterMs, step)

    private class CallContext(
        val service: ServiceRuntime,
        val request: EntryRequest,
        val deadlineNs: Long,
        val isIdempotent: Boolean,
    ) {
        val route: String = routeKey(request)
        var attempts = 0
        var failedWorkers: Set<String> = emptySet()
        var mayHaveRun = false
        var last: AttemptResult? = null
            set(value) {
                field = value
                mayHaveRun = mayHaveRun || value !is AttemptResult.NotStarted
            }
    }

    private companion object {
        const val NOT_READY_RETRY_MS = 1_000L
        const val DEFAULT_RETRY_AFTER_MS = 100L
        const val SERVER_ERROR_STATUS = 500
        const val EXPECTED_TIME_FACTOR = 6
        const val BLAME_FACTOR = 4
    }
}
