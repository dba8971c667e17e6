/*
 * The starts that were sent to one worker and of which a copy may still arrive. A copy of a start, which is sent again until one is
 * answered, passes these states:
 *
 * - Sent: there is no answer yet.
 * - Unanswered: the answer was lost, and the worker may carry the copy out until [LATE_ORDER_WINDOW_MS] after it was sent. Orders
 *   name the id of a worker only, so that a later incarnation may do so as well.
 * - Settled: an answer shows that the copy was carried out or refused.
 *
 * The present incarnation rejects the copies of a run that it has begun, and those of a run that it was told to stop. One that has not
 * answered its own fence yet rejects none of them.
 */
package io.corianderrock.jobs.state

/** Confined to the event loop. Outlives the [WorkerView], as a worker may be removed and be listed again under its id. */
internal class UnsettledStarts(
    /** The longest lease by the loop's clock: for so long a run may go on that a worker has begun late. */
    private val longestLeaseMs: Long = LATE_ORDER_WINDOW_MS,
) {
    private class Start {
        /** When each copy was sent that may still arrive. */
        val copiesSentAtMs = ArrayList<Long>()

        /** True once the present incarnation has begun the run, or has answered a stop of it or of a later one. */
        var isRejected = false
    }

    /** By task and run number. */
    private val starts = HashMap<TaskId, HashMap<Long, Start>>()

    /** Called when a copy of the start of the run [runNumber] of [task] is sent. */
    fun onSent(
        task: TaskId,
        runNumber: Long,
        nowMs: Long,
    ) {
        starts
            .getOrPut(task, ::HashMap)
            .getOrPut(runNumber, ::Start)
            .copiesSentAtMs
            .add(nowMs)
    }

    /** Called when an answer shows that the copy that was sent at [sentAtMs] was carried out or refused, or cannot arrive. */
    fun onSettled(
        task: TaskId,
        runNumber: Long,
        sentAtMs: Long,
    ) {
        val ofTask = starts[task] ?: return
        val start = ofTask[runNumber] ?: return
        start.copiesSentAtMs.remove(sentAtMs)
        if (start.copiesSentAtMs.isEmpty()) ofTask.remove(runNumber)
        if (ofTask.isEmpty()) starts.remove(task)
    }

    /** Called when the present incarnation has begun the run [runNumber] of [task] or answered a stop of it. Holds for earlier runs too. */
    fun onRejected(
        task: TaskId,
        runNumber: Long,
    ) {
        starts[task]?.forEach { (number, start) -> if (number <= runNumber) start.isRejected = true }
    }

    /** Called when the worker has started again: it has no record of runs and stops. */
    fun beginIncarnation() = starts.values.forEach { ofTask -> ofTask.values.forEach { it.isRejected = false } }

    /** Called when the present incarnation has answered its own fence: it rejects every copy that was sent before. */
    fun onFenceAnswered() = starts.values.forEach { ofTask -> ofTask.values.forEach { it.isRejected = true } }

    /** True if the present incarnation may still begin the run [runNumber] of [task]. */
    fun mayBegin(
        task: TaskId,
        runNumber: Long,
        nowMs: Long,
    ): Boolean = starts[task]?.get(runNumber)?.let { !it.isRejected && mayArrive(it, nowMs) } == true

    /** True if a copy of the start of the run [runNumber] of [task] may still arrive, at the present or at a later incarnation. */
    fun mayArrive(
        task: TaskId,
        runNumber: Long,
        nowMs: Long,
    ): Boolean = starts[task]?.get(runNumber)?.let { mayArrive(it, nowMs) } == true

    /** When the last copy was sent of a start of [task] that a worker may have carried out late, so that its run may go on; null if none. */
    fun lastSentAtMs(
        task: TaskId,
        nowMs: Long,
    ): Long? {
        removeOver(nowMs)
        return starts[task]?.values?.maxOfOrNull { it.copiesSentAtMs.max() }
    }

    /** The tasks of which a start may still arrive, at the present or at a later incarnation. */
    fun tasks(nowMs: Long): Set<TaskId> {
        removeOver(nowMs)
        return starts.filterValues { ofTask -> ofTask.values.any { mayArrive(it, nowMs) } }.keys
    }

    /** True if no start may still arrive. */
    fun isEmpty(nowMs: Long): Boolean = tasks(nowMs).isEmpty()

    private fun mayArrive(
        start: Start,
        nowMs: Long,
    ): Boolean = start.copiesSentAtMs.any { nowMs - it < LATE_ORDER_WINDOW_MS }

    private fun removeOver(nowMs: Long) {
        if (starts.isEmpty()) return
        for (ofTask in starts.values) {
            ofTask.values.forEach { start -> start.copiesSentAtMs.removeAll { nowMs - it >= LATE_ORDER_WINDOW_MS + longestLeaseMs } }
            ofTask.values.removeAll { it.copiesSentAtMs.isEmpty() }
        }
        starts.values.removeAll { it.isEmpty() }
    }
}
