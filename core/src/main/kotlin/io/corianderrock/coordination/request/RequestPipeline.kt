/*
 * The path of a request through an entry: route, quota, claim, admission, dispatch, retry, outcome.
 */
package io.corianderrock.coordination.request

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.NS_PER_MS
import io.corianderrock.coordination.admission.AdmissionRequest
import io.corianderrock.coordination.admission.AdmissionResult
import io.corianderrock.coordination.admission.Slot
import io.corianderrock.coordination.claim.ClaimRequest
import io.corianderrock.coordination.claim.ClaimResult
import io.corianderrock.coordination.claim.KeyClaims
import io.corianderrock.coordination.health.FailureKind
import io.corianderrock.state.ServiceSpec
import io.corianderrock.state.startsWithPathPrefix

/** Limits of the retry policy. No retry or overflow starts with less than [minTimeLeftMs] until the deadline. */
public data class RetryLimits(
    val maxAttempts: Int = 3,
    val minTimeLeftMs: Long = 5,
)

/** Forwards requests that no local worker can take to another data centre. */
public interface Overflow {
    /** Sends [request] to an entry of another data centre; null if none is available. */
    public fun send(
        request: EntryRequest,
        timeoutMs: Long,
        maxResponseBytes: Int,
    ): AttemptResult?

    public companion object {
        /** For deployments with a single data centre. */
        public val NONE: Overflow =
            object : Overflow {
                override fun send(
                    request: EntryRequest,
                    timeoutMs: Long,
                    maxResponseBytes: Int,
                ): AttemptResult? = null
            }
    }
}

/** Handles requests of every service. Thread-safe; blocks the calling thread until the result. */
public class RequestPipeline(
    private val clock: Clock,
    private val services: ServiceDirectory,
    private val upstream: UpstreamClient,
    private val claims: KeyClaims,
    private val overflow: Overflow = Overflow.NONE,
    private val retryLimits: RetryLimits = RetryLimits(),
    private val observer: RequestObserver = RequestObserver.NONE,
) {
    /** Runs [request] through the pipeline and returns its outcome. */
    public fun handle(request: EntryRequest): EntryResult {
        val service = services.serviceFor(request.path) ?: return refusalOrUnknown(request, noService(request))
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
            refusal != null -> if (needsClaim) refusalOrUnknown(request, refusal) else refusal
            needsClaim -> runClaimed(call, key)
            else -> runWithRetries(call)
        }
    }

    private fun refusalBeforeClaim(call: CallContext): EntryResult.NotRun? {
        if (call.request.body.size > call.service.spec.maxBodyBytes) return notRun(Reason.BODY_TOO_LARGE, step = "receive")
        val quotaWaitNs = call.service.acquireQuota(call.request.team, clock.monotonicNs())
        if (quotaWaitNs <= 0) return null
        return notRun(Reason.QUOTA_EXCEEDED, step = "quota", retryAfterMs = quotaWaitNs / NS_PER_MS + 1)
    }

    /**
     * Returns [refusal], converted to [EntryResult.Unknown] for a keyed request that may be a resend: without the claim it
     * is not known whether an earlier send ran.
     */
    public fun refusalOrUnknown(
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
        val claimRequest = ClaimRequest(key, call.request.id, call.request.isFirstSend, firstSentMs = keyTimestampMs(key))
        return when (val claim = claims.claim(claimRequest)) {
            is ClaimResult.Granted -> runAndResolveClaim(key, call)
            is ClaimResult.Completed -> EntryResult.Ran(claim.response, attempts = 0)
            is ClaimResult.Held -> EntryResult.Unknown(claim.reason, step = "claim", peer = claim.peer)
            is ClaimResult.Unavailable -> refusalOrUnknown(call.request, unavailable(claim))
        }
    }

    private fun unavailable(claim: ClaimResult.Unavailable): EntryResult.NotRun =
        EntryResult.NotRun(claim.reason, claim.retryAfterMs, step = "claim", peer = claim.peer)

    private fun runAndResolveClaim(
        key: String,
        call: CallContext,
    ): EntryResult {
        val result = runWithRetries(call)
        when (result) {
            is EntryResult.Ran -> claims.complete(key, call.request.id, result.response)
            is EntryResult.NotRun -> claims.release(key, call.request.id)
            is EntryResult.Unknown -> Unit
        }
        return result
    }

    private fun runWithRetries(call: CallContext): EntryResult {
        while (true) {
            val slot =
                when (val admitted = admit(call)) {
                    is AdmissionResult.Granted -> admitted.slot
                    is AdmissionResult.Refused -> return resultAfterRefusal(call, admitted)
                }
            call.attempts += 1
            val attempt = dispatch(call, slot)
            if (attempt is AttemptResult.Responded && !isRetriableResponse(call, attempt)) return ranResult(call, attempt)
            call.lastAttempt = attempt
            call.failedWorkers += slot.worker.route.id
            if (!mayRetry(call, attempt)) return resultAfterLastAttempt(call)
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

    private fun resultAfterRefusal(
        call: CallContext,
        refused: AdmissionResult.Refused,
    ): EntryResult {
        if (call.attempts > 0) return resultAfterLastAttempt(call)
        if (refused.reason != Reason.CALLER_GONE) tryOverflow(call)?.let { return it }
        return EntryResult.NotRun(refused.reason, refused.retryAfterMs, step = "admit", peer = call.service.spec.name)
    }

    /** Overflows a request that certainly did not run here to another data centre. */
    private fun resultAfterLastAttempt(call: CallContext): EntryResult {
        val outcome = resultOfLastAttempt(call)
        val mayOverflow = outcome is EntryResult.NotRun && !call.request.caller.isGone()
        return if (mayOverflow) tryOverflow(call) ?: outcome else outcome
    }

    private fun tryOverflow(call: CallContext): EntryResult? {
        val timeLeftMs = timeLeftMs(call)
        if (call.request.hops > 0 || timeLeftMs < retryLimits.minTimeLeftMs) return null
        val attempt = overflow.send(call.request, timeLeftMs, call.service.spec.maxBodyBytes) ?: return null
        return when (attempt) {
            is AttemptResult.Responded -> EntryResult.Ran(attempt.response, attempts = 1)
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
            attempt !is AttemptResult.Responded || isServerFailure(attempt) -> onFailure(call, slot, ranNs)
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

    /**
     * Counts as a failure of the worker only when the timeout was at least [MIN_TIMEOUT_FACTOR] times the mean run
     * time. The worker may still be running the request, so its slot is released with a delay.
     */
    private fun onTimeout(
        call: CallContext,
        slot: Slot,
        timeoutMs: Long,
        ranNs: Long,
    ) {
        val meanNs = call.service.classifier.meanNs()
        if (timeoutMs * NS_PER_MS >= meanNs * MIN_TIMEOUT_FACTOR) slot.worker.health.onFailure(clock.monotonicNs(), FailureKind.TIMEOUT)
        call.service.classifier.observe(call.route, ranNs)
        call.service.releaseAfterTimeout(slot)
    }

    private fun isTimeout(attempt: AttemptResult): Boolean =
        attempt is AttemptResult.Indeterminate && attempt.reason == Reason.DEADLINE_PASSED

    private fun ranResult(
        call: CallContext,
        attempt: AttemptResult.Responded,
    ): EntryResult {
        call.service.retryBudget.onSuccess()
        return EntryResult.Ran(attempt.response, call.attempts)
    }

    private fun mayRetry(
        call: CallContext,
        attempt: AttemptResult,
    ): Boolean {
        val isSafe = attempt is AttemptResult.NotStarted || call.isIdempotent
        val isWithinLimits = call.attempts < retryLimits.maxAttempts && timeLeftMs(call) >= retryLimits.minTimeLeftMs
        return isSafe && isWithinLimits && !call.request.caller.isGone() && call.service.retryBudget.tryRetry()
    }

    private fun resultOfLastAttempt(call: CallContext): EntryResult =
        when (val lastAttempt = call.lastAttempt) {
            is AttemptResult.Responded -> EntryResult.Ran(lastAttempt.response, call.attempts)
            is AttemptResult.Indeterminate -> EntryResult.Unknown(lastAttempt.reason, lastAttempt.step, lastAttempt.peer)
            is AttemptResult.NotStarted -> resultOfNotStarted(call, lastAttempt)
            null -> notRun(Reason.NO_WORKER, step = "dispatch")
        }

    /** An earlier attempt of an idempotent request may have run although the last one was not started. */
    private fun resultOfNotStarted(
        call: CallContext,
        lastAttempt: AttemptResult.NotStarted,
    ): EntryResult =
        if (call.mayHaveRun) {
            EntryResult.Unknown(lastAttempt.reason, lastAttempt.step, lastAttempt.peer)
        } else {
            EntryResult.NotRun(lastAttempt.reason, DEFAULT_RETRY_AFTER_MS, lastAttempt.step, lastAttempt.peer)
        }

    private fun isRetriableResponse(
        call: CallContext,
        attempt: AttemptResult.Responded,
    ): Boolean = call.isIdempotent && isServerFailure(attempt)

    private fun isServerFailure(attempt: AttemptResult): Boolean =
        attempt is AttemptResult.Responded && attempt.response.status >= SERVER_ERROR_STATUS

    private fun timeLeftMs(call: CallContext): Long = (call.deadlineNs - clock.monotonicNs()) / NS_PER_MS

    /**
     * The first attempt of an idempotent request gets half of the remaining time, so that a retry on another worker still
     * fits, unless half is less than [FIRST_ATTEMPT_RUN_TIME_FACTOR] times the expected run time.
     */
    private fun attemptTimeoutMs(call: CallContext): Long {
        val remainingMs = timeLeftMs(call).coerceAtLeast(1)
        val isLast = !call.isIdempotent || call.attempts >= 2
        val expectedMs = call.service.classifier.expectedNs(call.route) / NS_PER_MS
        val isHalfTooShort = expectedMs * FIRST_ATTEMPT_RUN_TIME_FACTOR > remainingMs / 2
        return if (isLast || isHalfTooShort) remainingMs else remainingMs / 2
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
        val declared = spec.routes.filter { request.path.startsWithPathPrefix(it.pathPrefix) }.maxByOrNull { it.pathPrefix.length }
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
        var lastAttempt: AttemptResult? = null
            set(value) {
                field = value
                mayHaveRun = mayHaveRun || value !is AttemptResult.NotStarted
            }
    }

    private companion object {
        const val NOT_READY_RETRY_MS = 1_000L
        const val DEFAULT_RETRY_AFTER_MS = 100L
        const val SERVER_ERROR_STATUS = 500
        const val FIRST_ATTEMPT_RUN_TIME_FACTOR = 6
        const val MIN_TIMEOUT_FACTOR = 4
    }
}
