/*
 * The changes of a task's phase on a worker, each with all that follows from it. The start of a run may be shown by its answer or by a
 * list, whichever comes first, and its job may end in between: what follows depends on the change, not on the message that told of it.
 *
 * Queued: the task occupies its worker. Begun: its job counts as started and the start is logged, once. Adopted: a run that this owner
 * has not started counts as begun. Stopping: the run keeps its place until the worker no longer lists it; [RunOrders.stop] sends the
 * stop with the change, so that no run of an ended job is left to a later event. [WorkerView.releaseRun] frees a place.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView

/** What has shown that a run has begun. */
internal enum class StartEvidence { ANSWER, LIST }

/** Changes phases for the owner of [context]. All methods run on the event loop. */
internal class RunTransitions(
    private val context: WorkerOrderContext,
) {
    private val loop = context.loop
    private val log = context.log

    /** [task] is to be started on [worker], under the next run number of this owner. */
    fun onQueued(
        task: TaskRun,
        worker: WorkerView,
    ) {
        task.lastRunNumber = maxOf(task.lastRunNumber + 1, (context.epoch - 1) * RUNS_PER_EPOCH + 1)
        occupy(task, worker, task.lastRunNumber)
        task.phase = TaskPhase.STARTING
        task.isWholeRun = task.checkpoint == null
        task.isAtWork = false
    }

    /** [evidence] shows that the run of [task] has begun on [worker]. Only the first evidence has an effect. */
    fun onBegun(
        task: TaskRun,
        worker: WorkerView,
        evidence: StartEvidence,
    ) {
        if (task.phase != TaskPhase.STARTING) return
        task.phase = TaskPhase.RUNNING
        task.stepRun.job.markStarted()
        logStart(task, worker, evidence)
    }

    /** [worker] carries out [runNumber] of [task], started by an earlier owner or incarnation; [isBeingStopped] if a stop of it was sent. */
    fun onAdopted(
        task: TaskRun,
        worker: WorkerView,
        runNumber: Long,
        isBeingStopped: Boolean,
    ) {
        occupy(task, worker, runNumber)
        task.phase = if (isBeingStopped) TaskPhase.STOPPING else TaskPhase.RUNNING
        task.isWholeRun = false
        task.stepRun.job.markStarted()
        log.write("run_adopted", "task", task.id, "run", runNumber, "worker", worker.id)
    }

    /** The run of [task] is to end. The caller sends the stop. */
    fun onStopping(task: TaskRun) {
        if (task.phase != TaskPhase.STOPPING) task.phase = TaskPhase.STOPPING
    }

    private fun occupy(
        task: TaskRun,
        worker: WorkerView,
        runNumber: Long,
    ) {
        task.isPlaceKnown = true
        task.worker = worker
        task.runNumber = runNumber
        task.lastRunNumber = maxOf(task.lastRunNumber, runNumber)
        task.startedAtMs = loop.nowMs
        task.startedClockMs = null
        task.recordLoad(null, loop.nowMs)
        worker.addRun(task)
    }

    /** With all that run time models know of a task before it runs, so that a log is enough to replay them. */
    private fun logStart(
        task: TaskRun,
        worker: WorkerView,
        evidence: StartEvidence,
    ) {
        val submission = task.stepRun.job.submission
        val step = task.stepRun.step
        val isRemote = step.preferredRack != null && step.preferredRack !in worker.entry.labels
        log.write(
            "task_started",
            "task",
            task.id,
            "run",
            task.runNumber,
            "worker",
            worker.id,
            "waitedMs",
            loop.nowMs - task.waitingSinceMs,
            "shownBy",
            evidence,
            "queue",
            submission.queue.name,
            "account",
            submission.account ?: "",
            "tasks",
            step.count,
            "estimateMs",
            step.estimateMs,
            "isRemote",
            isRemote,
            "heldForRackMs",
            if (task.heldForRackSinceMs < task.waitingSinceMs) 0 else task.startedAtMs - task.heldForRackSinceMs,
        )
    }

    private companion object {
        /** Run numbers reserved for each epoch, so that those of different owners do not collide. */
        const val RUNS_PER_EPOCH = 1_000L
    }
}
