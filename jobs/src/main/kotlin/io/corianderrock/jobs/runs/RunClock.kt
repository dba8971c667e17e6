/*
 * How long runs take by the clock of their worker. By the owner's time a run would include the delays of its order and report: after
 * one interval in which the owner is frozen, all runs that ended meanwhile would pass for longer work.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.runtimes.EndedRun
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView

/**
 * A list of runs that a worker sent when its clock was at [clockMs], [answeredInMs] after it was requested; the list before was sent at
 * [lastClockMs]. A worker that had to wait for a run to end answers at once when it does.
 */
internal class RunClock(
    private val lastClockMs: Long,
    private val clockMs: Long,
    private val answeredInMs: Long,
) {
    /** The run of [task] on [worker] that the list reports as ended, at loop time [nowMs]. */
    fun endedRun(
        task: TaskRun,
        worker: WorkerView,
        kind: EndKind,
        nowMs: Long,
    ): EndedRun {
        val occupiedMs = nowMs - task.startedAtMs
        val startedClockMs = task.startedClockMs
        // A clock that was set back or ahead says nothing.
        val clockRanMs = startedClockMs?.let { clockMs - it }?.takeIf { it in 0..occupiedMs }
        if (startedClockMs == null || clockRanMs == null) return EndedRun(task.stepRun, worker, occupiedMs, kind, task.isWholeRun)
        val unwatchedMs = clockMs - maxOf(lastClockMs, startedClockMs)
        val isEndKnown = answeredInMs >= MIN_WAIT_MS || unwatchedMs <= maxOf(MAX_UNWATCHED_MS, clockRanMs / UNWATCHED_DIVISOR)
        val tookMs = if (isEndKnown) clockRanMs else (lastClockMs - startedClockMs).coerceIn(0, clockRanMs)
        return EndedRun(task.stepRun, worker, tookMs, kind, task.isWholeRun && isEndKnown, occupiedMs)
    }

    private companion object {
        /** An answer that comes sooner was not delayed until a run ended, so that the run had ended before the list was requested. */
        const val MIN_WAIT_MS = 50L

        /** Time between two lists, the usual pause of 80 ms with two delays of messages, in which the end of a run may lie anywhere. */
        const val MAX_UNWATCHED_MS = 200L

        /** For long runs a tenth of the run time, less than the spread between tasks. */
        const val UNWATCHED_DIVISOR = 10
    }
}
