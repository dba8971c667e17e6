/*
 * The request policies of a daemon. The daemon process uses the defaults; experiments replace some to measure a baseline.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.admission.LeastLoadedOfTwo
import io.corianderrock.coordination.claim.ClaimLimits
import io.corianderrock.coordination.health.HealthLimits
import io.corianderrock.coordination.request.RetryLimits
import io.corianderrock.coordination.request.SchedulingPolicy

/** Policies for scheduling, worker health, retries and idempotency claims; without [usesIdempotencyClaims] every claim is granted. */
public data class DaemonPolicies(
    val clock: Clock = Clock.SYSTEM,
    val scheduling: SchedulingPolicy = SchedulingPolicy(LeastLoadedOfTwo(clock)),
    val health: HealthLimits = HealthLimits(),
    val retries: RetryLimits = RetryLimits(),
    val claims: ClaimLimits = ClaimLimits(),
    val usesIdempotencyClaims: Boolean = true,
)
