/*
 * What a placement pass chooses from, and the rules that a deployment may add to it.
 */
package io.corianderrock.jobs.placement

import io.corianderrock.jobs.state.StepRun
import io.corianderrock.jobs.state.TaskRun

/** A ready step with waiting tasks. */
internal class Candidate(
    val stepRun: StepRun,
    /** The tasks of [stepRun] that may be placed if they wait. */
    val tasks: List<TaskRun>,
    val isPastObjective: Boolean,
    /** Expected work of the job's tasks that are not done, in core-milliseconds. */
    val remainingCoreMs: Double,
)

/** Decides which candidates of a pool are served first. */
internal fun interface CandidateOrder {
    /** Returns [candidates] of [pool] in the order in which the pass places them. */
    fun order(
        pool: String,
        candidates: List<Candidate>,
    ): List<Candidate>
}

/** A [CandidateOrder] that tells which candidates it takes for equal, so that another rule may order these. */
internal interface RankedOrder : CandidateOrder {
    /** Compares the ranks of [a] and [b]; 0 for candidates of equal rank. */
    fun compareRank(
        a: Candidate,
        b: Candidate,
    ): Int
}

/** Limits what may start beyond the capacity of the workers. */
internal fun interface StartLimit {
    /** True if [task] may start now. Asked right before each start, so that earlier starts of the same pass count. */
    fun mayStart(task: TaskRun): Boolean
}

/** Long-running jobs, then jobs within their objective, then late ones; within each by priority, then by least remaining work. */
internal object ObjectiveOrder : CandidateOrder {
    val COMPARATOR: Comparator<Candidate> =
        compareBy<Candidate> { !it.stepRun.job.isLongRunning }
            .thenBy { it.isPastObjective }
            .thenBy { it.stepRun.job.queue.priority }
            .thenBy { it.remainingCoreMs }

    override fun order(
        pool: String,
        candidates: List<Candidate>,
    ): List<Candidate> = candidates.sortedWith(COMPARATOR)
}
