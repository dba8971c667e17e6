/*
 * The policies of a daemon. Experiments swap them for baselines; the daemon's process uses the defaults.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.admission.LeastLoadedOfTwo
import io.corianderrock.coordination.claim.ClaimLimits
import io.corianderrock.coordination.health.HealthLimits
import io.corianderrock.coordination.request.RetryLimits
import io.corianderrock.coordination.request.SchedulingPolicy

/** How requests are scheduled, judged, retried and claimed. */
public data class DaemonPolicies(
    val clock: Clock = Clock.SYSTEM,
    val scheduling: SchedulingPolicy = SchedulingPolicy(LeastLoadedOfTwo(clock)),
    val health: HealthLimits = HealthLimits(),
    val retries: RetryLimits = RetryLimits(),
    val claims: ClaimLimits = ClaimLimits(),
    val claimsKeys: Boolean = true,
)
