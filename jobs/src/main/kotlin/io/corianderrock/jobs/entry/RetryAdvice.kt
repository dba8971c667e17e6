/*
 * Tells refused callers when to retry. A client has four retries and the outages of the store and of data centres last 4 to 8 s, so
 * a fixed delay of a second uses them up before a longer outage ends.
 */
package io.corianderrock.jobs.entry

import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.StoreRefusal
import io.corianderrock.jobs.storerate.RetryBackoff
import kotlin.random.Random

/** Delays are whole seconds, the unit of the HTTP field. Used on the event loop only. */
public class RetryAdvice(
    private val loop: EventLoop,
    private val random: Random = Random.Default,
) {
    private class Refusals(
        var count: Int,
        var lastAtMs: Long,
    )

    /** By job, in the order of the last refusal. */
    private val refusalsByJob = LinkedHashMap<String, Refusals>()
    private var outageSinceMs = Long.MIN_VALUE / 2
    private var lastRefusedAtMs = Long.MIN_VALUE / 2

    /** Counts a refusal of the job [id] and returns how often this entry has refused it. One retried inside an entry counts once. */
    public fun countRefusal(id: String): Int {
        val refusals = refusalsByJob.remove(id) ?: Refusals(0, Long.MIN_VALUE / 2)
        if (loop.nowMs - refusals.lastAtMs > SAME_ATTEMPT_MS) {
            refusals.count++
            refusals.lastAtMs = loop.nowMs
        }
        refusalsByJob[id] = refusals
        while (refusalsByJob.size > MAX_JOBS || loop.nowMs - refusalsByJob.values.first().lastAtMs > FORGET_AFTER_MS) {
            refusalsByJob.remove(refusalsByJob.keys.first())
        }
        return refusals.count
    }

    /**
     * The delay after refusal number [attempt] of a job, null if other entries may have refused it before. [silentMs] is how long
     * the store has not answered, 0 while it does.
     */
    public fun retryAfterMs(
        attempt: Int?,
        silentMs: Long = 0,
    ): Long {
        if (loop.nowMs - lastRefusedAtMs > SAME_OUTAGE_MS) outageSinceMs = loop.nowMs
        lastRefusedAtMs = loop.nowMs
        val seconds =
            if (attempt == null) secondsByAge(maxOf(silentMs, loop.nowMs - outageSinceMs)) else secondsByAttempt(attempt)
        return seconds * MS_PER_S
    }

    /** The least delay after [refusal], spread over half of it so that callers do not return together; 0 without a refusal. */
    public fun retryAfterMs(refusal: StoreRefusal?): Long {
        if (refusal == null) return 0
        val seconds = ((refusal.retryAfterMs ?: 0) + MS_PER_S - 1) / MS_PER_S
        return (maxOf(1, seconds) + random.nextLong(maxOf(1, seconds / 2) + 1)) * MS_PER_S
    }

    /** Pauses between attempts of one request inside this entry. */
    internal fun newBackoff(): RetryBackoff =
        RetryBackoff(firstWindowMs = 2 * FIRST_PAUSE_MS, longestWindowMs = LONGEST_PAUSE_MS, random = random)

    /** The first retry is soon, since a short job that waits more than 1.5 s is late; all four together outlast 8 s. */
    private fun secondsByAttempt(attempt: Int): Long {
        val seconds = SECONDS_BY_ATTEMPT[(attempt - 1).coerceIn(SECONDS_BY_ATTEMPT.indices)]
        return if (attempt > UNSPREAD_ATTEMPTS) seconds + random.nextInt(2) else seconds
    }

    /** Half of the callers retry soon, which serves those whose first attempt came near the end of the outage. */
    private fun secondsByAge(ageMs: Long): Long =
        when {
            ageMs < TAKEOVER_MS || random.nextBoolean() -> SECONDS_BY_ATTEMPT.first()
            ageMs < LONG_OUTAGE_MS -> LONG_S
            else -> LONGEST_S
        }

    private companion object {
        val SECONDS_BY_ATTEMPT = listOf(1L, 1L, 2L, 4L)

        /** Refusals whose delay is the same for all callers; they are as spread as the callers' first attempts. */
        const val UNSPREAD_ATTEMPTS = 2

        /** An owner that has failed is replaced within 1 to 1.3 s. */
        const val TAKEOVER_MS = 1_300L
        const val LONG_OUTAGE_MS = 3_000L
        const val LONG_S = 3L
        const val LONGEST_S = 4L

        /** Callers retry after a second at the earliest; what is asked again sooner belongs to the same attempt. */
        const val SAME_ATTEMPT_MS = 700L

        /** Longest time without a refusal that still belongs to the same outage. */
        const val SAME_OUTAGE_MS = 3_000L

        /** Above the longest delay. */
        const val FORGET_AFTER_MS = 10_000L

        /** Jobs refused within [FORGET_AFTER_MS] at a rate of 400 per second, at some 150 bytes each. */
        const val MAX_JOBS = 4_000
        const val MS_PER_S = 1_000L

        /** Callers wait 3 s: some six attempts. */
        const val FIRST_PAUSE_MS = 200L
        const val LONGEST_PAUSE_MS = 1_000L
    }
}
