/*
 * The baseline without claims, for comparison in experiments.
 */
package io.corianderrock.coordination.claim

import io.corianderrock.coordination.request.UpstreamResponse

/** Grants every claim, so that a resent key runs again. For baselines only. */
public object AlwaysGrantedClaims : KeyClaims {
    override fun claim(request: ClaimRequest): ClaimResult = ClaimResult.Granted

    override fun release(
        key: String,
        attempt: String,
    ): Unit = Unit

    override fun complete(
        key: String,
        attempt: String,
        response: UpstreamResponse,
    ): Unit = Unit
}
