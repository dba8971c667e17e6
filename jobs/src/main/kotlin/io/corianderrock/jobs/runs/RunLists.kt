/*
 * The lists of running and ended runs that workers report. An ended run counts once and is acknowledged only once its effect on
 * the job is stored; a run that belongs to no current task is stopped.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.ports.EndRow
import io.corianderrock.jobs.ports.HoldOrder
import io.corianderrock.jobs.ports.RunningRow
import io.corianderrock.jobs.ports.WorkerAnswer
import io.corianderrock.jobs.runtimes.EndedRun
import io.corianderrock.jobs.state.OpenEnd
import io.corianderrock.jobs.state.TaskId
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView
import io.corianderrock.jobs.workers.WorkerFailures
import io.corianderrock.jobs.workers.WorkerSpeeds

/** Applies the lists of workers to the jobs in [registry]. Used on the event loop only. */
internal class RunLists(
    private val context: WorkerOrderContext,
    private val registry: JobRegistry,
    private val tasks: ListedTasks,
    private val leaseRows: WorkerLeaseRows,
    private val holds: WorkerHolds,
    private val orders: RunOrders,
    private val transitions: RunTransitions,
    private val register: WorkerRegister,
    private val crashes: CrashTracker,
    private val failures: WorkerFailures,
    private val speeds: WorkerSpeeds?,
    private val onRunEnd: (EndedRun) -> Unit,
) {
    private val loop = context.loop
    private val log = context.log

    /**
     * Called with the [lists] that [worker] has sent in answer to [order], sent at loop time [sentAtMs]. They are applied at once, or once
     * the jobs that this owner does not know have been looked up, unless later lists have come by then.
     */
    fun onListed(
        worker: WorkerView,
        order: HoldOrder,
        sentAtMs: Long,
        lists: WorkerAnswer.Listed,
    ) {
        val bornBeforeMs = worker.bornWallMs
        register.onAnsweredBy(worker, sentAtMs, lists)
        crashes.onAnswered(worker)
        if (order.fence < worker.fence) {
            // An incarnation that was not known: until it answers its own fence, starts that were sent to the last one may begin there.
            holds.ensureInFlight(worker)
            return
        }
        val isSameIncarnation = bornBeforeMs == worker.bornWallMs
        val unknown = tasks.unknownIn(worker, lists)
        if (unknown.isEmpty()) {
            applyLists(worker, order, sentAtMs, lists, isSameIncarnation)
            return
        }
        worker.deferredLists = lists
        // Their stops do not depend on what the jobs are that have to be looked up.
        lists.running.filter { isOfEndedJob(it) && it.task !in worker.runs }.forEach { stopUnknownRun(worker, it, "the job has ended") }
        tasks.find(unknown) {
            // Before tasks of a job that was found can be placed.
            if (worker.deferredLists === lists) applyLists(worker, order, sentAtMs, lists, isSameIncarnation)
        }
    }

    private fun applyLists(
        worker: WorkerView,
        order: HoldOrder,
        sentAtMs: Long,
        lists: WorkerAnswer.Listed,
        isSameIncarnation: Boolean,
    ) {
        worker.deferredLists = null
        lists.ended
            .filter { it.number > worker.processedEnd }
            .sortedBy { it.number }
            .forEach { onRunEnded(worker, it, RunClock(worker.listedClockMs, lists.workerClockMs, loop.nowMs - sentAtMs)) }
        worker.listedClockMs = lists.workerClockMs
        if (!worker.isReconciled) {
            worker.unsettledStarts.onFenceAnswered()
            register.releaseOrStopEarlierRuns(worker, lists)
        }
        worker.hasUnreadableRuns = lists.running.any { tasks.isUnreadable(it.task) }
        lists.running.forEach { onRunningRow(worker, it) }
        completeStops(worker, sentAtMs, lists)
        // What the last incarnation has acknowledged says nothing of this one's ends.
        if (isSameIncarnation) worker.acknowledgedEnd = maxOf(worker.acknowledgedEnd, order.acknowledgedEnd)
        if (!worker.isReconciled) register.onReconciled(worker)
    }

    private fun onRunEnded(
        worker: WorkerView,
        end: EndRow,
        clock: RunClock,
    ) {
        worker.processedEnd = end.number
        worker.orphanedRuns.remove(end.task)
        val current = worker.runs[end.task]?.takeIf { it.runNumber == end.runNumber }
        val ended = current?.let { clock.endedRun(it, worker, end.kind, loop.nowMs) }
        if (current != null && ended != null) {
            if (end.kind == EndKind.DONE) speeds?.onDone(worker, current, ended.occupiedMs)
            onRunEnd(ended)
            worker.releaseRun(current, loop.nowMs)
        }
        // Runs that this owner did not see from beginning to end are at least this long.
        val ranKey = if (ended?.isWhole == true) "ranMs" else "ranAtLeastMs"
        val ranMs = ended?.tookMs ?: 0
        log.write("task_ended", "task", end.task, "run", end.runNumber, "worker", worker.id, "outcome", end.kind, ranKey, ranMs)
        when (val listed = tasks.resolve(end.task)) {
            is ListedTask.Known -> {
                worker.openEnds.add(OpenEnd(end.number, listed.task.stepRun.job))
                recordEnd(worker, listed.task, end)
            }
            is ListedTask.Unreadable -> onUnreadableEnd(worker, end)
            is ListedTask.Over ->
                log.write("end_without_task", "task", end.task, "run", end.runNumber, "worker", worker.id, "because", listed.reason)
        }
        limitKeptEnds(worker)
        // After the job's progress: an ended run is acknowledged only once its effect on the job is stored.
        leaseRows.storeEnd(worker) { holds.onEndsStored(worker) }
    }

    /** Keeps [end], and with it all later ones, in the worker's list. */
    private fun onUnreadableEnd(
        worker: WorkerView,
        end: EndRow,
    ) {
        log.write("end_unreadable", "task", end.task, "run", end.runNumber, "worker", worker.id, "end", end.number)
        worker.openEnds.add(OpenEnd(end.number, job = null))
    }

    /** Gives up the ends that are kept because they cannot be read once the list holds so many that further ends would not be seen. */
    private fun limitKeptEnds(worker: WorkerView) {
        if (worker.processedEnd - worker.storableEnd <= MAX_KEPT_ENDS) return
        val isAnyGivenUp = worker.openEnds.removeAll { it.job == null }
        if (isAnyGivenUp) log.write("unreadable_ends_given_up", "worker", worker.id, "processed", worker.processedEnd)
    }

    private fun recordEnd(
        worker: WorkerView,
        task: TaskRun,
        end: EndRow,
    ) {
        task.lastRunNumber = maxOf(task.lastRunNumber, end.runNumber)
        if (end.checkpoint.isNotEmpty()) task.checkpoint = end.checkpoint
        failures.onEnded(worker, task, end.kind)
        applyEnd(worker, task, end)
    }

    private fun applyEnd(
        worker: WorkerView,
        task: TaskRun,
        end: EndRow,
    ) {
        val isLongRunning = task.stepRun.step.isLongRunning
        when (end.kind) {
            EndKind.DONE -> if (!isLongRunning) completeTaskOrGang(task)
            EndKind.FAILED -> {
                task.lastFailedWorkerId = worker.id
                registry.taskFailed(task, end.runNumber)
            }
            else -> Unit
        }
    }

    private fun completeTaskOrGang(task: TaskRun) {
        val members = if (task.stepRun.step.isGang) task.stepRun.tasks else listOf(task)
        for (member in members) {
            if (member.phase == TaskPhase.DONE) continue
            member.worker?.let { orders.stopRedundantRun(it, member) }
            registry.taskDone(member)
        }
    }

    private fun onRunningRow(
        worker: WorkerView,
        row: RunningRow,
    ) {
        val current = worker.runs[row.task]
        val listed = tasks.resolve(row.task)
        if (current != null && current.runNumber == row.runNumber) {
            confirmRunning(worker, current, row)
            // The end of a job stops its runs. A run that this has missed is stopped here.
            if (!current.stepRun.job.isLive && current.phase != TaskPhase.STOPPING) orders.stop(current)
        } else if (listed is ListedTask.Known && canAdopt(worker, listed.task, row)) {
            adopt(worker, listed.task, row)
        } else if (current != null) {
            stopListedRun(worker, current, row)
        } else if (listed !is ListedTask.Unreadable) {
            stopUnknownRun(worker, row, because = (listed as? ListedTask.Over)?.reason ?: "the task is not to run there")
        }
    }

    private fun isOfEndedJob(row: RunningRow): Boolean = registry.find(row.task.jobId)?.let { it.isStored && !it.isLive } == true

    /** Stops the run in [row], which belongs to no task that [worker] is known to have, unless that was ordered before. */
    private fun stopUnknownRun(
        worker: WorkerView,
        row: RunningRow,
        because: String,
    ) {
        if (worker.orphanedRuns.put(row.task, row.runNumber) == row.runNumber) return
        log.write("run_unknown", "task", row.task, "run", row.runNumber, "worker", worker.id, "because", because)
        orders.sendStop(worker, row.task, row.runNumber)
    }

    private fun confirmRunning(
        worker: WorkerView,
        task: TaskRun,
        row: RunningRow,
    ) {
        if (row.checkpoint.isNotEmpty()) task.checkpoint = row.checkpoint
        task.isAtWork = row.percent == FULL_PERCENT
        task.recordLoad(row.load, loop.nowMs)
        if (task.phase == TaskPhase.RUNNING) speeds?.onProgress(worker, task, row.percent)
        crashes.onRunning(task, loop.nowMs)
        if (task !in worker.startQueue) transitions.onBegun(task, worker, StartEvidence.LIST)
    }

    /**
     * True if the run of [task] in [row], which [worker] lists, is the only one, whatever its number: the task has none, or its last
     * one was on an earlier incarnation of this worker and its start can no longer begin. Members of a gang run under one number.
     */
    private fun canAdopt(
        worker: WorkerView,
        task: TaskRun,
        row: RunningRow,
    ): Boolean =
        when (task.phase) {
            TaskPhase.WAITING -> !task.stepRun.step.isGang || row.runNumber > task.runNumber
            TaskPhase.RUNNING ->
                task.worker === worker &&
                    !task.stepRun.step.isGang &&
                    !worker.unsettledStarts.mayBegin(task.id, task.runNumber, loop.nowMs)
            else -> false
        }

    /** Stops the run in [row], which [worker] carries out beside or instead of the known one of [task]; that one is stopped as well. */
    private fun stopListedRun(
        worker: WorkerView,
        task: TaskRun,
        row: RunningRow,
    ) {
        if (worker.orphanedRuns.put(row.task, row.runNumber) == row.runNumber) return
        log.write("run_superseded", "task", row.task, "run", row.runNumber, "known", task.runNumber, "worker", worker.id)
        orders.sendStop(worker, row.task, row.runNumber)
        if (task.phase == TaskPhase.RUNNING) orders.stop(task)
    }

    private fun adopt(
        worker: WorkerView,
        task: TaskRun,
        row: RunningRow,
    ) {
        val isBeingStopped = worker.orphanedRuns.remove(row.task) == row.runNumber
        transitions.onAdopted(task, worker, row.runNumber, isBeingStopped)
        confirmRunning(worker, task, row)
    }

    /** Completes answered stops. Only a list requested after the answer proves that the run has ended. */
    private fun completeStops(
        worker: WorkerView,
        sentAtMs: Long,
        lists: WorkerAnswer.Listed,
    ) {
        val running = lists.running.mapTo(HashSet()) { it.task }
        for ((taskId, stop) in worker.answeredStops.toList()) {
            val task = worker.runs[taskId]
            val runNumber = task?.runNumber ?: worker.orphanedRuns[taskId]
            // The answered stop of a lower run does not cover the known one, which may still arrive.
            val isCovered = runNumber == null || stop.runNumber >= runNumber
            if (isCovered && runNumber != null && (sentAtMs < stop.atMs || taskId in running)) {
                if (sentAtMs >= stop.atMs + STOP_REPEAT_MS) repeatStop(worker, taskId, runNumber)
                continue
            }
            worker.answeredStops.remove(taskId)
            if (!isCovered) continue
            worker.orphanedRuns.remove(taskId)
            if (task != null && task.phase == TaskPhase.STOPPING) worker.releaseRun(task, loop.nowMs)
        }
        // A list says nothing of a run whose start may still arrive.
        worker.orphanedRuns.entries.removeAll { (taskId, runNumber) ->
            taskId !in running && taskId !in worker.answeredStops && !worker.unsettledStarts.mayBegin(taskId, runNumber, loop.nowMs)
        }
    }

    /** Sends a stop once more that was answered long ago although [worker] still lists the run. */
    private fun repeatStop(
        worker: WorkerView,
        task: TaskId,
        runNumber: Long,
    ) {
        log.write("stop_repeated", "task", task, "run", runNumber, "worker", worker.id)
        worker.answeredStops.remove(task)
        orders.sendStop(worker, task, runNumber)
    }

    private companion object {
        /** A worker ends a run within 200 ms of its stop; the rest allows for its list. */
        const val STOP_REPEAT_MS = 1_000L

        /** Ends that a worker may keep for a later owner: an answer lists 500, and those beyond would not be seen. */
        const val MAX_KEPT_ENDS = 400L

        /** Percentage reported by a worker whose run is at full work. */
        const val FULL_PERCENT = 100
    }
}
