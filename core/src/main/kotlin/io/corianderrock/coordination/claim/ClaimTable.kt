/*
 * The in-memory table of the claims that one owner has granted.
 */
package io.corianderrock.coordination.claim

import io.corianderrock.coordination.request.UpstreamResponse
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue

/** A claim on [key] granted to the request with the id [attempt]. */
public class Claim(
    public val key: String,
    public val attempt: String,
    public val grantedWallMs: Long,
) {
    /** The complete response, while it is kept for resends. */
    @Volatile
    public var response: UpstreamResponse? = null

    /** True once the request is known to have run. */
    @Volatile
    public var isCompleted: Boolean = false
}

/** Claims by key. Lock-free for readers; each key is updated atomically. */
public class ClaimTable(
    private val limits: ClaimLimits,
) {
    private val claims = ConcurrentHashMap<String, Claim>()
    private val withKeptResponse = ConcurrentLinkedQueue<Claim>()

    public val size: Int get() = claims.size

    /** Claims [key] for [attempt]. Returns the new claim, or the existing one of whichever attempt holds the key. */
    public fun claim(
        key: String,
        attempt: String,
        wallMs: Long,
    ): Claim {
        val newClaim = Claim(key, attempt, wallMs)
        return claims.putIfAbsent(key, newClaim) ?: newClaim
    }

    /** The claim on [key], or null if there is none. */
    public fun find(key: String): Claim? = claims[key]

    /** Removes the claim on [key] if [attempt] holds it and has not completed. Returns true if it was removed. */
    public fun release(
        key: String,
        attempt: String,
    ): Boolean {
        val claim = claims[key] ?: return false
        return claim.attempt == attempt && !claim.isCompleted && claims.remove(key, claim)
    }

    /** Records that [attempt] ran, and keeps a [response] of at most [ClaimLimits.maxResponseBytes]. */
    public fun complete(
        key: String,
        attempt: String,
        response: UpstreamResponse?,
    ) {
        val claim = claims[key]?.takeIf { it.attempt == attempt } ?: return
        claim.isCompleted = true
        if (response == null || response.body.size > limits.maxResponseBytes) return
        claim.response = response
        withKeptResponse.add(claim)
        dropOldResponses()
    }

    /** Replays [records] in log order; [wallMs] is the time of their commit. */
    public fun load(
        records: List<ClaimLogRecord>,
        wallMs: Long,
    ) {
        for (record in records) {
            if (record.isRelease) release(record.key, record.attempt) else claim(record.key, record.attempt, wallMs)
        }
    }

    /** Removes the claims of [range]. */
    public fun dropRange(range: Int) {
        claims.keys.removeIf { rangeOf(it) == range }
    }

    /** Removes claims older than [ClaimLimits.retentionMs]. */
    public fun dropExpired(nowWallMs: Long) {
        claims.values.removeIf { nowWallMs - it.grantedWallMs > limits.retentionMs }
    }

    private fun dropOldResponses() {
        while (withKeptResponse.size > limits.maxKeptResponses) {
            withKeptResponse.poll()?.response = null
        }
    }
}
