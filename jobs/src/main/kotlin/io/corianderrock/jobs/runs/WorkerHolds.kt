/*
 * Holds of workers. A hold is a long poll that renews the worker's lease and returns its lists of running and ended runs.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.HoldOrder
import io.corianderrock.jobs.ports.StartRefusal
import io.corianderrock.jobs.ports.WorkerAnswer
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.sharing.isShared
import io.corianderrock.jobs.state.MIN_WORKER_CLOCK_RATE
import io.corianderrock.jobs.state.WorkerView

/** Decides when each worker is held and for how long its lease is. All methods and callbacks run on the event loop. */
internal class WorkerHolds(
    private val context: WorkerOrderContext,
    private val workers: WorkerTable,
    longestLeaseMs: Long,
    /** Called with the lists that a worker has sent in answer to an order, and with the loop time at which that was sent. */
    private val onLists: (WorkerView, HoldOrder, Long, WorkerAnswer.Listed) -> Unit,
    /** Called when another worker answers at the address in the row to which the hold was sent. */
    private val onOtherWorker: (WorkerView, WorkerEntry) -> Unit,
    /** Called when the first hold of a worker that answered before is not answered. */
    private val onContactLost: (WorkerView) -> Unit,
) {
    private val loop = context.loop
    private val log = context.log

    /** Longest duration of a lease by this entry's clock: the worker's clock may run 2% slow and the order may be delayed. */
    val worstCaseLeaseMs: Long = (longestLeaseMs / MIN_WORKER_CLOCK_RATE).toLong() + ORDER_TIMEOUT_MS
    private val longRunningLeaseMs = longestLeaseMs - LONG_RUNNING_LEASE_MARGIN_MS

    /**
     * End of the next lease by the worker's clock. Long-running tasks get a long lease, to survive the loss of an owner; short
     * tasks end by themselves, and a short lease lets them be restarted sooner after the worker is lost.
     */
    fun nextLeaseEndMs(worker: WorkerView): Long {
        val leaseMs = if (worker.runs.values.any { it.stepRun.step.isLongRunning }) longRunningLeaseMs else SHORT_LEASE_MS
        return worker.estimatedClockMs(loop.nowMs) + leaseMs
    }

    fun ensureInFlight(worker: WorkerView) {
        if (!worker.isHoldInFlight) send(worker)
    }

    /**
     * Requests the lists of [worker] now. Replaces a hold that may wait for a run to end, whose answer says nothing about orders
     * that were answered after it was sent.
     */
    fun requestLists(worker: WorkerView) {
        if (!worker.isHoldInFlight || worker.isHoldWaiting) send(worker)
    }

    /** Ignores the answer to the hold in flight, if any, so that the next one need not wait for it. */
    fun abandonInFlight(worker: WorkerView) {
        worker.isHoldInFlight = false
        worker.holdNumber++
    }

    /** Sends the overdue hold of [worker], if any. */
    fun sendIfOverdue(worker: WorkerView) {
        if (!worker.isHoldInFlight && isNeeded(worker) && loop.nowMs > worker.nextHoldAtMs + OVERDUE_HOLD_MS) send(worker)
    }

    /** Called once ends on [worker] are stored, which the next hold acknowledges. */
    fun onEndsStored(worker: WorkerView) {
        worker.storedEnd = worker.storingEnd
        worker.openEnds.removeAll { it.number <= worker.storedEnd }
        if (!worker.isHoldInFlight) scheduleAt(worker, loop.nowMs)
    }

    /** A hold with its copies. The first that is answered counts; it has no answer once none of them has one. */
    private class Series(
        val holdNumber: Long,
    ) {
        var copyCount = 0
        var inFlightCount = 0
    }

    private fun send(worker: WorkerView) {
        if (context.isOver || worker !in workers) return
        worker.isHoldInFlight = true
        sendCopy(worker, Series(++worker.holdNumber), orderFor(worker))
    }

    private fun sendCopy(
        worker: WorkerView,
        series: Series,
        order: HoldOrder,
    ) {
        worker.isHoldWaiting = order.waitMs > 0
        val sentAtMs = loop.nowMs
        val sentTo = worker.entry
        series.copyCount++
        series.inFlightCount++
        order.expiresAtWorkerMs?.let { worker.recordLeaseSent(it, sentAtMs) }
        context.link.hold(sentTo, order) { answer ->
            if (order.expiresAtWorkerMs != null && !answer.mayArriveLate) worker.recordLeaseAnswered(sentAtMs)
            series.inFlightCount--
            if (worker !in workers || worker.holdNumber != series.holdNumber) return@hold
            if (answer is WorkerAnswer.Unanswered && series.inFlightCount > 0) return@hold
            worker.holdNumber++
            worker.isHoldInFlight = false
            onAnswer(worker, order, sentTo, sentAtMs, answer)
        }
        loop.after(order.waitMs + COPY_OVERDUE_MS) { repeatIfOverdue(worker, series) }
    }

    /** A lost answer would keep a responsive worker from new tasks until its timeout, so that the hold is sent again beside the first. */
    private fun repeatIfOverdue(
        worker: WorkerView,
        series: Series,
    ) {
        val isOpen = worker.isHoldInFlight && worker.holdNumber == series.holdNumber && worker in workers && !context.isOver
        if (!isOpen || series.copyCount >= MAX_COPIES || worker.consecutiveLostHolds > 0) return
        // Neither a wait, which may hide that the worker answers, nor an acknowledgement, which the next incarnation might take.
        sendCopy(worker, series, orderFor(worker).copy(acknowledgedEnd = 0, waitMs = 0))
    }

    private fun orderFor(worker: WorkerView): HoldOrder {
        // The lease of a silent worker is not renewed, so that its runs can be restarted elsewhere once it expires.
        val isAnswering = worker.isReconciled && worker.consecutiveLostHolds == 0
        val hasRuns = worker.runs.isNotEmpty() && isAnswering && context.mayOrder()
        val expiresAtMs = if (hasRuns) nextLeaseEndMs(worker) else null
        val isWaiting = isAnswering && worker.runs.isNotEmpty() && worker.answeredStops.isEmpty()
        return HoldOrder(expiresAtMs, worker.fence, endToAcknowledge(worker), if (isWaiting) waitMs(worker) else 0)
    }

    /**
     * The number up to which [worker] may drop ended runs, 0 for none. It counts for one incarnation, while the order names only the
     * id: a silent worker may have restarted, and an order may arrive late. The next incarnation would drop ends that nobody has read.
     */
    private fun endToAcknowledge(worker: WorkerView): Long =
        if (worker.consecutiveLostHolds == 0 && worker.acknowledgedEnd < worker.storedEnd) worker.storedEnd else 0

    /** A lost answer hides the ends of runs until its timeout, so that workers with short tasks are asked more often. */
    private fun waitMs(worker: WorkerView): Int =
        when {
            worker.isShared -> SHARED_HOLD_WAIT_MS
            worker.runs.values.all { it.stepRun.step.isLongRunning } -> LONG_RUNNING_HOLD_WAIT_MS
            else -> HOLD_WAIT_MS
        }

    private fun onAnswer(
        worker: WorkerView,
        order: HoldOrder,
        sentTo: WorkerEntry,
        sentAtMs: Long,
        answer: WorkerAnswer,
    ) {
        when (answer) {
            is WorkerAnswer.Listed -> {
                if (answer.bornWallMs != 0L && answer.bornWallMs == sentTo.bornWallMs) worker.answeredEntry = sentTo
                onRegained(worker, order, answer)
                onLists(worker, order, sentAtMs, answer)
            }
            is WorkerAnswer.Refused -> onRefused(worker, order, sentTo, answer)
            is WorkerAnswer.Unanswered -> onUnanswered(worker, answer)
            is WorkerAnswer.Done -> error("worker ${worker.id} answered a hold order with Done, expected Listed, Refused or Unanswered")
        }
        if (worker in workers) schedule(worker, answer)
        context.onChange(worker.entry.pool)
    }

    private fun onRegained(
        worker: WorkerView,
        order: HoldOrder,
        lists: WorkerAnswer.Listed,
    ) {
        if (worker.consecutiveLostHolds > 0) log.write("worker_regained", "worker", worker.id, "failedHolds", worker.consecutiveLostHolds)
        worker.consecutiveLostHolds = 0
        worker.lastReportedAtMs = loop.nowMs
        worker.recordClock(lists.workerClockMs, loop.nowMs)
        if (order.expiresAtWorkerMs != null) worker.isLeaseConfirmed = true
    }

    private fun onRefused(
        worker: WorkerView,
        order: HoldOrder,
        sentTo: WorkerEntry,
        answer: WorkerAnswer.Refused,
    ) {
        if (answer.refusal == StartRefusal.FENCE) context.onFenceRejected(worker, order.fence)
        worker.consecutiveLostHolds++
        if (answer.refusal == StartRefusal.OTHER_INCARNATION) {
            onOtherWorker(worker, sentTo)
            return
        }
        if (worker.consecutiveLostHolds == 1) {
            log.write("hold_refused", "worker", worker.id, "reason", answer.refusal, "runs", worker.runs.size)
        }
    }

    private fun onUnanswered(
        worker: WorkerView,
        answer: WorkerAnswer.Unanswered,
    ) {
        worker.consecutiveLostHolds++
        if (worker.consecutiveLostHolds == 1) {
            onContactLost(worker)
            log.write(
                "worker_lost",
                "worker",
                worker.id,
                "reason",
                answer.reason,
                "runs",
                worker.runs.size,
                "leaseLeftMs",
                worker.leaseLeftMs(loop.nowMs),
            )
        }
        if (worker.consecutiveLostHolds >= LOST_HOLDS_BEFORE_AVOIDING) {
            worker.avoidUntilMs = maxOf(worker.avoidUntilMs, loop.nowMs + AVOID_UNHEALTHY_MS)
        }
    }

    private fun schedule(
        worker: WorkerView,
        answer: WorkerAnswer,
    ) {
        val delayMs =
            when {
                answer is WorkerAnswer.Unanswered && worker.consecutiveLostHolds < LOST_HOLDS_BEFORE_AVOIDING -> 0L
                answer !is WorkerAnswer.Listed -> if (worker.isEmpty) IDLE_WORKER_HOLD_RETRY_MS else UNANSWERED_HOLD_RETRY_MS
                worker.storedEnd < worker.storableEnd -> return
                worker.deferredLists != null -> HOLD_PAUSE_MS
                !worker.isLeaseConfirmed -> 0L
                else -> HOLD_PAUSE_MS
            }
        scheduleAt(worker, loop.nowMs + delayMs)
    }

    private fun scheduleAt(
        worker: WorkerView,
        atMs: Long,
    ) {
        worker.nextHoldAtMs = atMs
        loop.after(maxOf(0, atMs - loop.nowMs)) {
            if (worker in workers && !worker.isHoldInFlight && isNeeded(worker)) send(worker)
        }
    }

    private fun isNeeded(worker: WorkerView): Boolean =
        !worker.isReconciled ||
            isListedButSilent(worker) ||
            worker.runs.size > worker.startQueue.size ||
            worker.orphanedRuns.isNotEmpty() ||
            worker.hasUnreadableRuns ||
            worker.answeredStops.isNotEmpty() ||
            worker.deferredLists != null ||
            worker.acknowledgedEnd < worker.storedEnd

    /** A listed worker whose runs were all freed while it was unreachable is polled only to detect that it answers again. */
    private fun isListedButSilent(worker: WorkerView): Boolean = worker.isListed && worker.consecutiveLostHolds > 0

    private companion object {
        /** Margin by which leases for long-running tasks stay below the platform's limit. */
        const val LONG_RUNNING_LEASE_MARGIN_MS = 150L

        /** Longest delay of an order on its way to a worker, which is its timeout. */
        const val ORDER_TIMEOUT_MS = 700L

        /** Lease of workers that run only short tasks: covers two hold waits and one order timeout. */
        const val SHORT_LEASE_MS = 3_500L

        /** How long a worker may delay its answer to a hold while no run ends: about the run time of a short task. */
        const val HOLD_WAIT_MS = 600

        /** How long a worker that runs only long-running tasks may delay its answer; renews their lease five times before it ends. */
        const val LONG_RUNNING_HOLD_WAIT_MS = 1_100

        /** A hold that a responsive worker has not answered by then, after its wait, is sent again. */
        const val COPY_OVERDUE_MS = 250L

        /** Holds of a series. The third one is sent 0.5 s after the first was due, which times out soon after. */
        const val MAX_COPIES = 3

        /** How long a worker may delay its answer while best-effort tasks disturb tasks that serve: tails are figures for half a second. */
        const val SHARED_HOLD_WAIT_MS = 120

        /** One answer may be lost on its way from a sound worker; a worker that leaves two holds in a row unanswered gets no new work. */
        const val LOST_HOLDS_BEFORE_AVOIDING = WorkerView.LOST_HOLDS_OF_RESPONSIVE + 1

        /** Pause between two holds, which batches ended runs: a tenth of a short task's run time. */
        const val HOLD_PAUSE_MS = 80L

        /** Delay before a hold that was refused or not answered is retried. */
        const val UNANSWERED_HOLD_RETRY_MS = 250L

        /** Retry delay for a worker without runs: as long as [AVOID_UNHEALTHY_MS], during which it gets no new work. */
        const val IDLE_WORKER_HOLD_RETRY_MS = 1_000L

        /** A hold that is overdue by this long is sent at the next tick. */
        const val OVERDUE_HOLD_MS = 500L
    }
}
