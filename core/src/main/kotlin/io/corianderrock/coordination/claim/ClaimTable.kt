/*
 * The claims that one owner has granted, in memory.
 */
package io.corianderrock.coordination.claim

import io.corianderrock.coordination.request.UpstreamResponse
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue

/** A granted claim. */
public class Claim(
    public val key: String,
    public val attempt: String,
    public val grantedWallMs: Long,
) {
    /** The whole answer, while it is kept. */
    @Volatile
    public var answer: UpstreamResponse? = null

    /** True once the request is known to have run. */
    @Volatile
    public var isCompleted: Boolean = false
}

/** Claims by key. Lock-free for readers; each key is updated atomically. */
public class ClaimTable(
    private val limits: ClaimLimits,
) {
    private val claims = ConcurrentHashMap<String, Claim>()
    private val answered = ConcurrentLinkedQueue<Claim>()

    /** The number of claims. */
    public val size: Int get() = claims.size

    /** Claims [key] for [attempt]. Returns the claim in force, which is the new one when the key was free. */
    public fun claim(
        key: String,
        attempt: String,
        wallMs: Long,
    ): Claim {
        val fresh = Claim(key, attempt, wallMs)
        return claims.putIfAbsent(key, fresh) ?: fresh
    }

    /** Returns the claim on [key], or null when it is free. */
    public fun find(key: String): Claim? = claims[key]

    /** Frees [key] if [attempt] holds it and has not completed. Returns true when it did. */
    public fun release(
        key: String,
        attempt: String,
    ): Boolean {
        val claim = claims[key] ?: return false
        return claim.attempt == attempt && !claim.isCompleted && claims.remove(key, claim)
    }

    /** Records that [attempt] ran, and keeps its [answer] unless it is too large. */
    public fun complete(
        key: String,
        attempt: String,
        answer: UpstreamResponse?,
    ) {
        val claim = claims[key]?.takeIf { it.attempt == attempt } ?: return
        claim.isCompleted = true
        if (answer == null || answer.body.size > limits.maxAnswerBytes) return
        claim.answer = answer
        answered.add(claim)
        dropOldAnswers()
    }

    /** Applies lines of a log in their order. */
    public fun load(
        lines: List<ClaimLogLine>,
        wallMs: Long,
    ) {
        for (line in lines) {
            if (line.isRelease) release(line.key, line.attempt) else claim(line.key, line.attempt, wallMs)
        }
    }

    /** Forgets claims of [range]. */
    public fun dropRange(range: Int) {
        claims.keys.removeIf { rangeOf(it) == range }
    }

    /** Forgets claims that are older than the retention. */
    public fun dropExpired(nowWallMs: Long) {
        claims.values.removeIf { nowWallMs - it.grantedWallMs > limits.retentionMs }
    }

    private fun dropOldAnswers() {
        while (answered.size > limits.maxAnswers) {
            answered.poll()?.answer = null
        }
    }
}
