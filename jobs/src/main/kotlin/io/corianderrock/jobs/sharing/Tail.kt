/*
 * What the last lists of a worker tell of the response times of the tasks that serve there.
 */
package io.corianderrock.jobs.sharing

import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView

/** The tail of [task], which is nearest to its target among the tasks of its worker, or above it. */
internal class Tail(
    val task: TaskRun,
    val tailMs: Long,
    val targetMs: Long,
) {
    /** The tail as a part of the target. */
    val ratio: Double get() = tailMs.toDouble() / targetMs
}

/**
 * The tail on [worker] that has the least slack, at loop time [nowMs]; null while the tail of some task is older than [maxAgeMs] or not
 * known, as while it starts.
 */
internal fun worstTail(
    worker: WorkerView,
    nowMs: Long,
    maxAgeMs: Long,
): Tail? {
    var worst: Tail? = null
    for (task in worker.runs.values) {
        val targetMs = task.stepRun.step.responseTargetMs ?: continue
        if (task.phase == TaskPhase.STOPPING) continue
        val tailMs = task.load?.takeIf { task.isAtWork && nowMs - task.loadAtMs <= maxAgeMs } ?: return null
        val tail = Tail(task, tailMs, targetMs)
        if (worst == null || tail.ratio > worst.ratio) worst = tail
    }
    return worst
}
