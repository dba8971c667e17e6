/*
 * What the runs of one incarnation of a worker tell of it. Discarded with the incarnation; not stored.
 */
package io.corianderrock.jobs.workers

import io.corianderrock.jobs.state.TaskId

/** The record of one worker. Changed by [WorkerFailures] only. */
internal class WorkerRecord {
    /** Tasks that failed here and have not ended elsewhere since, with the loop time of the failure. */
    val openFailures = LinkedHashMap<TaskId, Long>()

    /** Log-likelihood ratio, at least 0, of a worker that fails tasks against one that fails as often as its peers. */
    var evidence: Double = 0.0

    /** Ended and failed runs, fading with time; valid at [countedAtMs]. */
    var endedCount: Double = 0.0
    var failedCount: Double = 0.0
    var countedAtMs: Long = 0

    /** Loop time until which the worker gets no short task. */
    var avoidedUntilMs: Long = 0

    /** Loop time until which the worker gets single short tasks. */
    var probationEndsAtMs: Long = 0
    var avoidances: Int = 0

    /** Runs that were done in a row since the worker was last avoided. */
    var doneOnProbation: Int = 0

    fun isAvoided(nowMs: Long): Boolean = nowMs < avoidedUntilMs

    fun isOnProbation(nowMs: Long): Boolean = nowMs in avoidedUntilMs until probationEndsAtMs
}
