/*
 * Pace orders and what is known of the pace of each run. An order without an answer may be carried out up to 13 s later, after newer
 * ones: until then the last pace is ordered again and again.
 */
package io.corianderrock.jobs.sharing

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.PaceOrder
import io.corianderrock.jobs.ports.StartRefusal
import io.corianderrock.jobs.ports.WorkerAnswer
import io.corianderrock.jobs.ports.WorkerLink
import io.corianderrock.jobs.state.LATE_ORDER_WINDOW_MS
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView

/** The pace of the run [runNumber] of a task. */
internal class RunPace(
    val runNumber: Long,
    /** The fence of the incarnation that runs it: a later one may have begun the run anew, at full pace. */
    val fence: Long,
) {
    /** The last ordered percentage; null before the first order. A run works at full pace when it starts. */
    var percent: Int? = null

    /** True once the worker has answered an order of [percent]. */
    var isAnswered: Boolean = false

    /** True if the last order is answered and no earlier one is still open. */
    var isInForce: Boolean = false
    var ordersInFlight: Int = 0
    var sentAtMs: Long = 0

    /** The highest percentage of the orders without an answer, which may be carried out until loop time [lateUntilMs]. */
    private var latePercent: Int = 0
    private var lateUntilMs: Long = 0

    /** Loop time since which the run is as good as suspended; null while it works. */
    var suspendedSinceMs: Long? = null

    /** Records that an order of [percent] has no answer and may be carried out until loop time [untilMs]. */
    fun recordUnanswered(
        percent: Int,
        nowMs: Long,
        untilMs: Long,
    ) {
        latePercent = if (nowMs < lateUntilMs) maxOf(latePercent, percent) else percent
        lateUntilMs = untilMs
    }

    /** True if an order without an answer may still raise the pace above [percent]. */
    fun mayBeRaisedLate(
        percent: Int,
        nowMs: Long,
    ): Boolean = nowMs < lateUntilMs && latePercent > percent
}

/** Sends pace orders. All methods and callbacks run on the event loop. */
internal class PaceOrders(
    private val loop: EventLoop,
    private val link: WorkerLink,
    private val log: DecisionLog,
    private val mayOrder: () -> Boolean,
    /** Called when a worker has rejected the fence of an order. */
    private val onFenceRejected: (WorkerView, Long) -> Unit,
) {
    private val paces = HashMap<TaskRun, RunPace>()

    /** The pace of the current run of [task]. */
    fun paceOf(task: TaskRun): RunPace =
        paces[task]?.takeIf { it.isOf(task) } ?: RunPace(task.runNumber, task.worker?.fence ?: 0).also { paces[task] = it }

    private fun RunPace.isOf(task: TaskRun): Boolean = runNumber == task.runNumber && fence == (task.worker?.fence ?: 0)

    /** Drops what is known of runs that have ended. */
    fun forgetEnded() {
        paces.entries.removeAll { (task, pace) -> task.worker == null || task.runNumber != pace.runNumber }
    }

    /**
     * Orders [percent] for the current run of [task] on [worker], unless it is in force. A higher pace waits for the answers to earlier
     * orders, which might overtake it. [cause] is logged with the order.
     */
    fun order(
        worker: WorkerView,
        task: TaskRun,
        percent: Int,
        cause: Array<out Any?>,
    ) {
        val pace = paceOf(task)
        val before = pace.percent
        if (before == percent) {
            if (!isRepeatDue(pace, percent)) return
        } else if (before != null && percent > before && pace.ordersInFlight > 0) {
            return
        }
        if (task.phase != TaskPhase.RUNNING || !mayOrder()) return
        pace.percent = percent
        if (before != percent) {
            pace.isAnswered = false
            pace.suspendedSinceMs = if (percent >= SUSPENDED_BELOW_PERCENT) null else pace.suspendedSinceMs ?: loop.nowMs
            log.write(
                "pace_ordered",
                "task",
                task.id,
                "run",
                task.runNumber,
                "worker",
                worker.id,
                "percent",
                percent,
                "before",
                before,
                *cause,
            )
        }
        send(worker, task, pace, percent)
    }

    private fun isRepeatDue(
        pace: RunPace,
        percent: Int,
    ): Boolean {
        val sinceMs = loop.nowMs - pace.sentAtMs
        return if (pace.isInForce) sinceMs >= LATE_REPEAT_MS && pace.mayBeRaisedLate(percent, loop.nowMs) else sinceMs >= REPEAT_MS
    }

    private fun send(
        worker: WorkerView,
        task: TaskRun,
        pace: RunPace,
        percent: Int,
    ) {
        pace.isInForce = false
        pace.ordersInFlight++
        pace.sentAtMs = loop.nowMs
        val fence = worker.fence
        link.pace(worker.entry, PaceOrder(task.id, pace.runNumber, percent, fence)) { answer ->
            pace.ordersInFlight--
            if (answer is WorkerAnswer.Done) {
                pace.isAnswered = pace.isAnswered || pace.percent == percent
                pace.isInForce = pace.ordersInFlight == 0 && pace.percent == percent
                return@pace
            }
            if (answer.mayArriveLate) pace.recordUnanswered(percent, loop.nowMs, loop.nowMs + LATE_ORDER_WINDOW_MS)
            if (answer is WorkerAnswer.Refused && answer.refusal == StartRefusal.FENCE) onFenceRejected(worker, fence)
            log.write("pace_unanswered", "task", task.id, "run", pace.runNumber, "worker", worker.id, "percent", percent, "answer", answer)
        }
    }

    private companion object {
        /** Interval at which a pace that is not known to be in force is ordered again: an answer takes some 3 ms, a lost one 700 ms. */
        const val REPEAT_MS = 150L

        /** Interval at which a pace in force is ordered again while a late order may replace it: bounds how long that one counts. */
        const val LATE_REPEAT_MS = 300L

        /** Below this a run makes no progress worth its memory. */
        const val SUSPENDED_BELOW_PERCENT = 5
    }
}
