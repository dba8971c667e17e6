/*
 * Starts that have no answer. The run is started again under its number on the same worker, which does nothing for a run that is
 * there, until a copy is answered or a list shows the run. So a lost answer costs neither the run nor its place, and the task is not
 * started elsewhere while a copy may still arrive.
 *
 * Copies end with the first outcome. After a refusal, or once no other copy may be sent, earlier ones may still be carried out: then
 * the outcome is [StartOutcome.Open], and the run has to be stopped.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.StartOrder
import io.corianderrock.jobs.ports.StartRefusal
import io.corianderrock.jobs.ports.WorkerAnswer
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView

/** What has become of a start and all its copies. */
internal sealed interface StartOutcome {
    /** The run is on the worker, whose clock read [workerClockMs] then: the time of the start if no copy was sent before. */
    data class Begun(
        val workerClockMs: Long,
        val isFirstCopy: Boolean,
    ) : StartOutcome

    /** The worker has refused the start, and no copy may be carried out. */
    data class Refused(
        val answer: WorkerAnswer.Refused,
    ) : StartOutcome

    /** No copy has reached the worker. */
    data object NotReached : StartOutcome

    /** A copy may be carried out although the last one was refused for [refusal], or no more are sent if that is null. */
    data class Open(
        val refusal: WorkerAnswer.Refused?,
    ) : StartOutcome

    /** The first copy has no answer. Another outcome follows. */
    data object FirstCopyLost : StartOutcome
}

/** Sends the starts of one owner. All methods and callbacks run on the event loop. */
internal class StartSender(
    private val context: WorkerOrderContext,
    private val holds: WorkerHolds,
    /** True if the task may still be started on the worker. Asked again before each copy. */
    private val isStillAllowed: (WorkerView, TaskRun) -> Boolean,
    /** Called when the worker may be sent another start. */
    private val onSlotFree: (WorkerView) -> Unit,
    /** Called with the outcome of a start while its task has this run on the worker. */
    private val onOutcome: (WorkerView, TaskRun, StartOutcome) -> Unit,
) {
    private val loop = context.loop
    private val log = context.log

    /** A start under one run number with its copies, to one incarnation. */
    private inner class Attempt(
        val worker: WorkerView,
        val task: TaskRun,
    ) {
        /** What all copies have in common; lease and ticket are those of the time of each copy. */
        val order =
            StartOrder(
                task = task.id,
                runNumber = task.runNumber,
                spec = task.stepRun.job.submission.spec,
                expiresAtWorkerMs = 0,
                fence = worker.fence,
                checkpoint = task.checkpoint,
                ticket = null,
            )
        val firstSentAtMs = loop.nowMs
        private val incarnation = worker.incarnation
        var copyCount = 0
        var inFlightCount = 0
        var lastSentAtMs = firstSentAtMs
        var isOver = false
        val isSameIncarnation: Boolean get() = worker.incarnation == incarnation
        val isCurrent: Boolean get() = task.worker === worker && task.runNumber == order.runNumber

        /** True if some copy may be carried out late, by the present incarnation or by a later one. */
        val mayArrive: Boolean get() = worker.unsettledStarts.mayArrive(order.task, order.runNumber, loop.nowMs)

        /** True if that holds for a copy of this run or of an earlier one of the task, which may be what the worker refuses this run for. */
        val mayAnyRunArrive: Boolean get() = order.task in worker.unsettledStarts.tasks(loop.nowMs)
    }

    /** Starts the run that [task] has on [worker]. */
    fun send(
        worker: WorkerView,
        task: TaskRun,
    ) = sendCopy(Attempt(worker, task))

    private fun sendCopy(attempt: Attempt) {
        val worker = attempt.worker
        val sentAtMs = loop.nowMs
        val expiresAtMs = holds.nextLeaseEndMs(worker)
        val order = attempt.order.copy(expiresAtWorkerMs = expiresAtMs, ticket = attempt.task.stepRun.ticket(worker, sentAtMs))
        worker.recordLeaseSent(expiresAtMs, sentAtMs)
        worker.unsettledStarts.onSent(order.task, order.runNumber, sentAtMs)
        attempt.inFlightCount++
        attempt.lastSentAtMs = sentAtMs
        val slot = if (attempt.copyCount++ == 0) Slot(worker) else null
        var isAnswered = false
        context.link.start(worker.entry, order) { answer ->
            attempt.inFlightCount--
            isAnswered = true
            slot?.free()
            settleCopy(attempt, sentAtMs, answer)
            onAnswer(attempt, answer, isFirstCopy = slot != null)
            onSlotFree(worker)
        }
        loop.after(COPY_OVERDUE_MS) {
            if (isAnswered) return@after
            slot?.onOverdue()
            if (mayRepeat(attempt)) sendCopy(attempt)
            onSlotFree(worker)
        }
    }

    /** The part of the orders that [worker] may have in flight that the first copy of a start takes. */
    private class Slot(
        private val worker: WorkerView,
    ) {
        private var isOverdue = false

        init {
            worker.ordersInFlight++
        }

        /** Other starts do not wait for a lost answer; what is sent to a worker that is lost has to wait there, so that they are few. */
        fun onOverdue() {
            if (worker.overdueStarts >= MAX_OVERDUE_STARTS) return
            isOverdue = true
            worker.overdueStarts++
            worker.ordersInFlight--
        }

        fun free() {
            if (isOverdue) worker.overdueStarts-- else worker.ordersInFlight--
        }
    }

    private fun settleCopy(
        attempt: Attempt,
        sentAtMs: Long,
        answer: WorkerAnswer,
    ) {
        val starts = attempt.worker.unsettledStarts
        if (!answer.mayArriveLate) {
            attempt.worker.recordLeaseAnswered(sentAtMs)
            starts.onSettled(attempt.order.task, attempt.order.runNumber, sentAtMs)
        }
        val rejectsCopies = answer is WorkerAnswer.Done || answer is WorkerAnswer.Refused && answer.refusal == StartRefusal.OLD_RUN
        if (rejectsCopies && attempt.isSameIncarnation) starts.onRejected(attempt.order.task, attempt.order.runNumber)
    }

    private fun onAnswer(
        attempt: Attempt,
        answer: WorkerAnswer,
        isFirstCopy: Boolean,
    ) {
        if (answer is WorkerAnswer.Refused && answer.refusal == StartRefusal.FENCE) {
            context.onFenceRejected(attempt.worker, attempt.order.fence)
        }
        if (attempt.isOver || !attempt.isCurrent) return
        when (answer) {
            is WorkerAnswer.Done -> end(attempt, StartOutcome.Begun(answer.workerClockMs, isFirstCopy = attempt.copyCount == 1))
            is WorkerAnswer.Refused ->
                end(attempt, if (attempt.mayAnyRunArrive) StartOutcome.Open(answer) else StartOutcome.Refused(answer))
            is WorkerAnswer.Unanswered -> onUnanswered(attempt, answer, isFirstCopy)
            is WorkerAnswer.Listed ->
                error("worker ${attempt.worker.id} answered a start order with run lists, expected Done, Refused or Unanswered")
        }
    }

    private fun onUnanswered(
        attempt: Attempt,
        answer: WorkerAnswer.Unanswered,
        isFirstCopy: Boolean,
    ) {
        val order = attempt.order
        log.write(
            "start_unanswered",
            "task",
            order.task,
            "run",
            order.runNumber,
            "worker",
            attempt.worker.id,
            "copies",
            attempt.copyCount,
            "reason",
            answer.reason,
        )
        if (isFirstCopy && answer.mayBeCarriedOut) onOutcome(attempt.worker, attempt.task, StartOutcome.FirstCopyLost)
        when {
            attempt.inFlightCount > 0 -> Unit
            !attempt.mayArrive -> end(attempt, StartOutcome.NotReached)
            else -> loop.after(maxOf(0, attempt.lastSentAtMs + COPY_OVERDUE_MS - loop.nowMs)) { repeatOrGiveUp(attempt) }
        }
    }

    private fun repeatOrGiveUp(attempt: Attempt) {
        if (attempt.isOver || !attempt.isCurrent || attempt.inFlightCount > 0) return
        if (mayRepeat(attempt)) sendCopy(attempt) else end(attempt, StartOutcome.Open(refusal = null))
    }

    private fun mayRepeat(attempt: Attempt): Boolean =
        !attempt.isOver &&
            attempt.isCurrent &&
            attempt.isSameIncarnation &&
            attempt.task.phase == TaskPhase.STARTING &&
            attempt.worker.consecutiveLostHolds <= WorkerView.LOST_HOLDS_OF_RESPONSIVE &&
            loop.nowMs - attempt.firstSentAtMs < (if (attempt.task.stepRun.step.isGang) GANG_REPEATED_FOR_MS else REPEATED_FOR_MS) &&
            isStillAllowed(attempt.worker, attempt.task)

    private fun end(
        attempt: Attempt,
        outcome: StartOutcome,
    ) {
        attempt.isOver = true
        val task = attempt.task
        // A list has shown the run, so that only an answer with the time of its start tells anything new.
        if (task.phase == TaskPhase.RUNNING && outcome !is StartOutcome.Begun) return
        if (attempt.copyCount > 1) {
            log.write(
                "start_settled",
                "task",
                attempt.order.task,
                "run",
                attempt.order.runNumber,
                "worker",
                attempt.worker.id,
                "copies",
                attempt.copyCount,
                "tookMs",
                loop.nowMs - attempt.firstSentAtMs,
                "outcome",
                outcome,
            )
        }
        onOutcome(attempt.worker, task, outcome)
    }

    private companion object {
        /** A copy that a responsive worker has not answered by then is sent again beside the first. */
        const val COPY_OVERDUE_MS = 250L

        /** For this long copies are sent to a worker that answers its holds; then the task is stopped there and started elsewhere. */
        const val REPEATED_FOR_MS = 2_000L

        /** The same for a member of a gang, as the others end after 3 s without it. */
        const val GANG_REPEATED_FOR_MS = 1_000L

        /** Overdue starts beside which a worker is sent others. */
        const val MAX_OVERDUE_STARTS = 4
    }
}
