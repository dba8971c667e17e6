/*
 * The starts that were sent to one worker and are not settled. A start passes these states:
 *
 * - Sent: there is no answer yet.
 * - Unanswered: the answer was lost, and the worker may carry the start out until [LATE_ORDER_WINDOW_MS] after it was sent. Orders
 *   name the id of a worker only, so that a later incarnation may do so as well.
 * - Stopped: the present incarnation has answered a stop of the run, or of a later one of its task, and rejects the start. The
 *   next incarnation has no record of that.
 *
 * An answer by which the start was carried out or refused settles it, and so does the end of the window.
 */
package io.corianderrock.jobs.state

/** Confined to the event loop. Outlives the [WorkerView], as a worker may be removed and be listed again under its id. */
internal class UnsettledStarts {
    private class Start(
        val sentAtMs: Long,
    ) {
        /** True once the present incarnation has answered a stop of the run or of a later one. */
        var isStopped = false

        fun isOver(nowMs: Long): Boolean = nowMs - sentAtMs >= LATE_ORDER_WINDOW_MS
    }

    /** By task and run number. */
    private val starts = HashMap<TaskId, HashMap<Long, Start>>()

    /** Called when the start of the run [runNumber] of [task] is sent. */
    fun onSent(
        task: TaskId,
        runNumber: Long,
        nowMs: Long,
    ) {
        starts.getOrPut(task, ::HashMap)[runNumber] = Start(nowMs)
    }

    /** Called when an answer shows that the start of the run [runNumber] of [task] was carried out or refused, or cannot arrive. */
    fun onSettled(
        task: TaskId,
        runNumber: Long,
    ) {
        val ofTask = starts[task] ?: return
        ofTask.remove(runNumber)
        if (ofTask.isEmpty()) starts.remove(task)
    }

    /** Called when the present incarnation has answered a stop of the run [runNumber] of [task], which holds for earlier runs too. */
    fun onStopAnswered(
        task: TaskId,
        runNumber: Long,
    ) {
        starts[task]?.forEach { (number, start) -> if (number <= runNumber) start.isStopped = true }
    }

    /** Called when the worker has started again: it has no record of stops. */
    fun beginIncarnation() = starts.values.forEach { ofTask -> ofTask.values.forEach { it.isStopped = false } }

    /** True if the present incarnation may still begin the run [runNumber] of [task]. */
    fun mayBegin(
        task: TaskId,
        runNumber: Long,
        nowMs: Long,
    ): Boolean = starts[task]?.get(runNumber)?.let { !it.isStopped && !it.isOver(nowMs) } == true

    /** The last run number of each task of which a start may still arrive, at the present or at a later incarnation. */
    fun lastRuns(nowMs: Long): Map<TaskId, Long> {
        removeOver(nowMs)
        return starts.mapValues { (_, ofTask) -> ofTask.keys.max() }
    }

    /** True if no start may still arrive. */
    fun isEmpty(nowMs: Long): Boolean {
        removeOver(nowMs)
        return starts.isEmpty()
    }

    private fun removeOver(nowMs: Long) {
        starts.values.forEach { ofTask -> ofTask.values.removeAll { it.isOver(nowMs) } }
        starts.values.removeAll { it.isEmpty() }
    }
}
