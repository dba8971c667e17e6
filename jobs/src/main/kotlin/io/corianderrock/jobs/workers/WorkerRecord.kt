/*
 * What the runs of one incarnation of a worker tell of it. Discarded with the incarnation; not stored.
 */
package io.corianderrock.jobs.workers

import io.corianderrock.jobs.state.TaskId
import kotlin.math.pow

/** Counts runs, and those of them that failed or were slow, fading with time. */
internal class FadingCount {
    private var runs = 0.0
    private var hits = 0.0
    private var countedAtMs = 0L

    fun add(
        isHit: Boolean,
        nowMs: Long,
    ) {
        val fade = fadeAt(nowMs)
        runs = runs * fade + 1
        hits = hits * fade + if (isHit) 1 else 0
        countedAtMs = nowMs
    }

    fun runsAt(nowMs: Long): Double = runs * fadeAt(nowMs)

    fun hitsAt(nowMs: Long): Double = hits * fadeAt(nowMs)

    private fun fadeAt(nowMs: Long): Double = HALF.pow((nowMs - countedAtMs) / HALF_LIFE_MS)

    private companion object {
        /** Some dozen runs of a worker. */
        const val HALF_LIFE_MS = 5_000.0
        const val HALF = 0.5
    }
}

/** The record of one worker. Changed by the judgements of this package only. */
internal class WorkerRecord {
    /** Tasks that failed here and have not ended elsewhere since, with the loop time of the failure. */
    val openFailures = LinkedHashMap<TaskId, Long>()
    val failures = FadingCount()
    val slowRuns = FadingCount()

    /** Log-likelihood ratio, at least 0, of a worker that fails tasks against one that fails as often as its peers. */
    var failureEvidence: Double = 0.0

    /** The same for a worker that is slow. */
    var slownessEvidence: Double = 0.0

    /** Loop time until which the worker gets no short task. */
    var avoidedUntilMs: Long = 0

    /** Loop time until which the worker gets single short tasks. */
    var probationEndsAtMs: Long = 0

    /** True if the worker was last avoided because it was slow. */
    var isAvoidedAsSlow: Boolean = false
    var avoidances: Int = 0

    /** Runs that were done in a row since the worker was last avoided. */
    var doneOnProbation: Int = 0

    fun isAvoided(nowMs: Long): Boolean = nowMs < avoidedUntilMs

    fun isOnProbation(nowMs: Long): Boolean = nowMs in avoidedUntilMs until probationEndsAtMs
}
