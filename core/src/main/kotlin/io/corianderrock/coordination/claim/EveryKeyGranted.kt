/*
 * Claims without memory: the baseline against which the claim mechanisms are measured.
 */
package io.corianderrock.coordination.claim

import io.corianderrock.coordination.request.UpstreamResponse

/** Grants every claim. A resent key runs again; use it as a baseline only. */
public object EveryKeyGranted : KeyClaims {
    override fun claim(call: ClaimCall): ClaimResult = ClaimResult.Granted

    override fun release(
        key: String,
        attempt: String,
    ): Unit = Unit

    override fun complete(
        key: String,
        attempt: String,
        answer: UpstreamResponse,
    ): Unit = Unit
}
