/*
 * Start and stop orders for runs. A start without an answer is sent again to the same worker by [StartSender]. If no answer comes in
 * time, its run is stopped, and its task keeps its place on the worker until the worker no longer lists it.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.StartRefusal
import io.corianderrock.jobs.ports.StopOrder
import io.corianderrock.jobs.ports.WorkerAnswer
import io.corianderrock.jobs.state.AnsweredStop
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.TaskId
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView
import io.corianderrock.jobs.workers.WorkerFailures

/** Starts and stops runs. All methods and callbacks run on the event loop. */
internal class RunOrders(
    private val context: WorkerOrderContext,
    private val workers: WorkerTable,
    private val leaseRows: WorkerLeaseRows,
    private val holds: WorkerHolds,
    private val failures: WorkerFailures,
    private val transitions: RunTransitions,
) {
    private val loop = context.loop
    private val log = context.log
    private val sender =
        StartSender(
            context = context,
            holds = holds,
            isStillAllowed = ::isStartStillAllowed,
            onSlotFree = ::sendQueuedStarts,
            onOutcome = ::onStartOutcome,
        )

    /** Queues a start of [task] on [worker], sent once the lease row is stored. The caller has checked that it may run there. */
    fun start(
        task: TaskRun,
        worker: WorkerView,
    ) {
        transitions.onQueued(task, worker)
        worker.startQueue.addLast(task)
        leaseRows.store(worker) { sendQueuedStarts(worker) }
        sendQueuedStarts(worker)
    }

    private fun sendQueuedStarts(worker: WorkerView) {
        if (!worker.isLeaseRowStored) return
        while (worker.ordersInFlight < MAX_ORDERS_IN_FLIGHT) {
            val task = worker.startQueue.removeFirstOrNull() ?: break
            sendStart(worker, task)
        }
    }

    private fun sendStart(
        worker: WorkerView,
        task: TaskRun,
    ) {
        // What is sent to a silent worker has to wait there until it can no longer be carried out.
        if (worker.consecutiveLostHolds > 0 || !isStartStillAllowed(worker, task)) {
            worker.releaseRun(task, loop.nowMs)
            stopGangOf(task)
            return
        }
        sender.send(worker, task)
        holds.ensureInFlight(worker)
    }

    private fun isStartStillAllowed(
        worker: WorkerView,
        task: TaskRun,
    ): Boolean =
        context.mayStart() &&
            task.stepRun.job.isLive &&
            worker.isReconciled &&
            worker.isListed &&
            worker.drainingSinceMs == null &&
            task.stepRun.mayStartOn(worker, loop.nowMs)

    private fun onStartOutcome(
        worker: WorkerView,
        task: TaskRun,
        outcome: StartOutcome,
    ) = when (outcome) {
        is StartOutcome.Begun -> onStarted(worker, task, outcome)
        is StartOutcome.Refused -> onStartRefused(worker, task, outcome.answer)
        is StartOutcome.NotReached -> onWorkerNotReached(worker, task)
        is StartOutcome.Open -> onStartOpen(worker, task, outcome.refusal)
        is StartOutcome.FirstCopyLost ->
            // A worker that leaves holds unanswered too is not judged by its runs, but lost.
            if (worker.consecutiveLostHolds == 0) failures.onStartUnanswered(worker) else Unit
    }

    private fun onStarted(
        worker: WorkerView,
        task: TaskRun,
        begun: StartOutcome.Begun,
    ) {
        task.startedClockMs = begun.workerClockMs
        // The run may have begun by an earlier copy.
        if (!begun.isFirstCopy) task.isWholeRun = false
        if (task.stepRun.needsAdvice) task.stepRun.advice.onTicketAccepted(worker)
        if (task.phase != TaskPhase.STARTING) return
        worker.recordClock(begun.workerClockMs, loop.nowMs)
        transitions.onBegun(task, worker, StartEvidence.ANSWER)
    }

    private fun onStartRefused(
        worker: WorkerView,
        task: TaskRun,
        answer: WorkerAnswer.Refused,
    ) {
        log.write("start_refused", "task", task.id, "run", task.runNumber, "worker", worker.id, "reason", answer.refusal)
        recordRefusal(worker, task, answer)
        worker.releaseRun(task, loop.nowMs)
        stopGangOf(task)
        context.onChange(worker.entry.pool)
    }

    private fun recordRefusal(
        worker: WorkerView,
        task: TaskRun,
        answer: WorkerAnswer.Refused,
    ) {
        val avoidMs =
            when (answer.refusal) {
                StartRefusal.NO_CAPACITY -> AVOID_FULL_MS
                StartRefusal.UNHEALTHY, StartRefusal.OTHER_INCARNATION -> AVOID_UNHEALTHY_MS
                else -> 0L
            }
        worker.avoidUntilMs = maxOf(worker.avoidUntilMs, loop.nowMs + avoidMs)
        // A worker that was idle for long refuses an order as expired by an estimate that has fallen behind its clock.
        answer.workerClockMs?.let { worker.recordClock(it, loop.nowMs) }
        if (answer.refusal == StartRefusal.TICKET) task.stepRun.onTicketRefused(worker, loop.nowMs)
    }

    private fun onWorkerNotReached(
        worker: WorkerView,
        task: TaskRun,
    ) {
        worker.avoidUntilMs = loop.nowMs + AVOID_UNHEALTHY_MS
        worker.releaseRun(task, loop.nowMs)
        stopGangOf(task)
        context.onChange(worker.entry.pool)
    }

    /** Some copy of the start may still be carried out, and no other is sent. */
    private fun onStartOpen(
        worker: WorkerView,
        task: TaskRun,
        refusal: WorkerAnswer.Refused?,
    ) {
        log.write("start_given_up", "task", task.id, "run", task.runNumber, "worker", worker.id, "refusal", refusal?.refusal)
        if (refusal != null) recordRefusal(worker, task, refusal) else worker.avoidUntilMs = loop.nowMs + AVOID_UNHEALTHY_MS
        if (task.phase == TaskPhase.STARTING) stop(task)
        stopGangOf(task)
    }

    /**
     * Stops the run of [task], which keeps its place on the worker until the worker no longer lists it. A stop may overtake the start:
     * the worker refuses the start of a run that it was told to stop.
     */
    fun stop(task: TaskRun) {
        val worker = task.worker ?: return
        if (worker.startQueue.remove(task)) {
            worker.releaseRun(task, loop.nowMs)
            return
        }
        transitions.onStopping(task)
        sendStop(worker, task.id, task.runNumber)
    }

    /** Stops the other members of the gang of [task], if it is in one, as its start has failed: they would wait for it until their timeout. */
    private fun stopGangOf(task: TaskRun) {
        if (!task.stepRun.step.isGang) return
        task.stepRun.tasks
            .filter { it.runNumber == task.runNumber && it.occupiesWorker && it.phase != TaskPhase.STOPPING }
            .forEach(::stop)
    }

    fun stopRunsOf(job: JobRun) {
        for (task in job.tasks) if (task.occupiesWorker) stop(task)
    }

    /** Stops a run of the completed [task] that is still queued or running on [worker]. */
    fun stopRedundantRun(
        worker: WorkerView,
        task: TaskRun,
    ) {
        if (task in worker.startQueue) {
            worker.releaseRun(task, loop.nowMs)
            return
        }
        worker.removeRun(task.id)
        worker.orphanedRuns[task.id] = task.runNumber
        sendStop(worker, task.id, task.runNumber)
    }

    /** Orders [worker] to stop the run [runNumber] of [task], again and again until that is answered or the run is not there and cannot begin. */
    fun sendStop(
        worker: WorkerView,
        task: TaskId,
        runNumber: Long,
    ) {
        val incarnation = worker.incarnation
        val fence = worker.fence
        if (!context.mayOrder()) {
            loop.after(STOP_RETRY_MS) { retryStop(worker, incarnation, task, runNumber) }
            return
        }
        var isLatest = true
        context.link.stop(worker.entry, StopOrder(task, runNumber, fence)) { answer ->
            val wasLatest = isLatest
            isLatest = false
            // The next incarnation has no record of this stop, and rejects the start by its fence.
            if (worker.incarnation != incarnation) return@stop
            if (answer is WorkerAnswer.Done) {
                log.write("run_stopped", "task", task, "run", runNumber, "worker", worker.id)
                worker.answeredStops[task] = AnsweredStop(runNumber, loop.nowMs)
                worker.unsettledStarts.onRejected(task, runNumber)
                holds.requestLists(worker)
            } else {
                if (answer is WorkerAnswer.Refused && answer.refusal == StartRefusal.FENCE) context.onFenceRejected(worker, fence)
                log.write("stop_unanswered", "task", task, "run", runNumber, "worker", worker.id, "answer", answer)
                if (wasLatest) loop.after(STOP_RETRY_MS) { retryStop(worker, incarnation, task, runNumber) }
            }
        }
        loop.after(STOP_OVERDUE_MS) {
            // The lease of a silent worker is not renewed, so that its runs end without more stops.
            if (isLatest && worker.consecutiveLostHolds == 0) {
                isLatest = false
                retryStop(worker, incarnation, task, runNumber)
            }
        }
        holds.ensureInFlight(worker)
    }

    private fun retryStop(
        worker: WorkerView,
        incarnation: Long,
        task: TaskId,
        runNumber: Long,
    ) {
        if (context.isOver || worker !in workers || worker.incarnation != incarnation) return
        if (worker.answeredStops[task]?.let { it.runNumber >= runNumber } == true) return
        val isThere = worker.runs[task]?.runNumber == runNumber || worker.orphanedRuns[task] == runNumber
        if (isThere || worker.unsettledStarts.mayBegin(task, runNumber, loop.nowMs)) sendStop(worker, task, runNumber)
    }

    private companion object {
        /** Delay before a stop that failed or may not be sent yet is retried. */
        const val STOP_RETRY_MS = 150L

        /** A stop that a responsive worker has not answered by then is sent again beside the first, as a stop has 3.2 s to take effect. */
        const val STOP_OVERDUE_MS = 250L

        /** Concurrent starts per worker: limits it to two connections, since opening connections is expensive. */
        const val MAX_ORDERS_IN_FLIGHT = 2

        /** How long a worker that refused a start for lack of capacity gets no new work. */
        const val AVOID_FULL_MS = 150L
    }
}
