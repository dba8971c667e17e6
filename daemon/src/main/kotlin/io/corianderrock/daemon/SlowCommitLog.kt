/*
 * Logs the commits of the claim log that take a large part of the time a claim waits for one.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.claim.ClaimLimits
import io.corianderrock.coordination.claim.CommitAttempt
import io.corianderrock.coordination.claim.CommitObserver
import io.corianderrock.coordination.claim.CommitResult
import io.corianderrock.transport.EventLog
import io.corianderrock.transport.eq

/**
 * Writes a line for each attempt that ends later than half of [ClaimLimits.claimTimeoutMs] after its oldest record was queued; of
 * attempts that fail one after the other, as in an outage, for the first such one only.
 */
internal class SlowCommitLog(
    private val limits: ClaimLimits,
) : CommitObserver {
    private val log = EventLog("claims")
    private var hasLoggedFailure = false

    override fun onAttempt(attempt: CommitAttempt) {
        if (attempt.result != CommitResult.FAILED) hasLoggedFailure = false
        if (hasLoggedFailure || attempt.queuedMs + attempt.platformMs < limits.claimTimeoutMs / 2) return
        hasLoggedFailure = attempt.result == CommitResult.FAILED
        log.warn(
            "claim-commit-slow",
            "result" eq attempt.result,
            "records" eq attempt.recordCount,
            "queuedMs" eq attempt.queuedMs,
            "platformMs" eq attempt.platformMs,
        )
    }
}
