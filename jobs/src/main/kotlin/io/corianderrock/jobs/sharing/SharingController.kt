/*
 * Controls workers on which best-effort tasks run beside tasks with a response time target, by the tails in the workers' lists, in the
 * way of Heracles and PARTIES: starts where the tail has slack, slows down at once when a tail nears its target, speeds up in small
 * steps, and moves a task only when its pace has been next to nothing for seconds. Workers whose lists are old get no orders.
 */
package io.corianderrock.jobs.sharing

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView

/** What the controller needs of the workers of its owner. */
internal interface SharedWorkers {
    val all: Collection<WorkerView>

    /** Requests the lists of [worker] now. */
    fun requestLists(worker: WorkerView)

    /** Stops the run of [task], which waits again then. */
    fun stop(task: TaskRun)

    /** True if [task] could be started on another worker now. */
    fun hasOtherPlace(task: TaskRun): Boolean
}

/** All methods run on the event loop. What it knows is in memory: a new owner learns it anew, from the pace at which it adopts a run. */
internal class SharingController(
    private val loop: EventLoop,
    private val log: DecisionLog,
    private val workers: SharedWorkers,
    private val orders: PaceOrders,
    private val model: InterferenceModel = LearnedInterference(loop),
) : SharingPolicy {
    private class Control {
        /** Loop time of the last list that was acted on. */
        var listAtMs = 0L
        var cutAtMs = Long.MIN_VALUE / 2
        var raiseFromMs = 0L
        var requestedAtMs = 0L
    }

    private val controls = HashMap<WorkerView, Control>()

    /** By id, the workers that have not carried out pace orders, with the loop time until which nothing is started beside others there. */
    private val unpaceableUntilMs = HashMap<String, Long>()
    private var movedAtMs = Long.MIN_VALUE / 2

    override fun mayStartBeside(
        worker: WorkerView,
        step: Step,
    ): Boolean {
        if (loop.nowMs - worker.lastReportedAtMs > START_LIST_AGE_MS || worker.id in unpaceableUntilMs) return false
        // The best-effort tasks here are slowed down as soon as the task is queued.
        if (step.isServing) return !step.isBestEffort
        val tail = worstTail(worker, loop.nowMs, START_LIST_AGE_MS) ?: return false
        val filling = worker.runs.values.filter(::isPaceable)
        return tail.ratio < START_RATIO &&
            safePercent(worker, step) >= MIN_START_PERCENT &&
            filling.all {
                loop.nowMs - it.startedAtMs >= START_INTERVAL_MS &&
                    (orders.paceOf(it).percent ?: FULL_PERCENT) >= MIN_START_PERCENT
            }
    }

    override fun cost(
        worker: WorkerView,
        step: Step,
    ): Double {
        if (step.isServing) return 0.0
        val ratio = worstTail(worker, loop.nowMs, START_LIST_AGE_MS)?.ratio ?: 1.0
        val crowd = minOf(1.0, worker.runs.values.count(::isPaceable) / CROWD_SIZE)
        return (minOf(1.0, ratio) + (1 - safePercent(worker, step) / FULL_PERCENT) + crowd) / 3
    }

    private fun safePercent(
        worker: WorkerView,
        filling: Step,
    ): Double = worker.servingSteps().minOfOrNull { model.safePercent(it, filling) } ?: FULL_PERCENT.toDouble()

    private fun WorkerView.servingSteps(): List<Step> = runs.values.map { it.stepRun.step }.filter { it.isServing }

    /** Called when lists of [worker] have come. */
    fun onReport(worker: WorkerView) {
        if (worker.isShared) control(worker) else releaseAll(worker)
    }

    /** Called every 50 ms: new runs and new neighbours do not wait for the next list. */
    fun tick() {
        orders.forgetEnded()
        controls.keys.removeAll { !it.isShared }
        unpaceableUntilMs.values.removeAll { it <= loop.nowMs }
        for (worker in workers.all) {
            if (worker.runs.values.none(::isPaceable)) continue
            onReport(worker)
            if (worker.isShared) requestListsIfDue(worker)
        }
        moveSuspended()
    }

    private fun requestListsIfDue(worker: WorkerView) {
        val control = controls.getOrPut(worker) { Control() }
        if (worker.consecutiveLostHolds > 0 || !worker.isHoldWaiting) return
        if (loop.nowMs - maxOf(worker.lastReportedAtMs, control.requestedAtMs) < LONGEST_LIST_INTERVAL_MS) return
        control.requestedAtMs = loop.nowMs
        workers.requestLists(worker)
    }

    private fun isListFresh(worker: WorkerView): Boolean =
        worker.consecutiveLostHolds == 0 && loop.nowMs - worker.lastReportedAtMs <= PACE_LIST_AGE_MS

    /** Nothing here is disturbed. A run that another owner has started may have been slowed down. */
    private fun releaseAll(worker: WorkerView) {
        if (!isListFresh(worker)) return
        for (task in worker.runs.values) {
            if (!isPaceable(task) || task.phase != TaskPhase.RUNNING) continue
            val isAtFullPace = orders.paceOf(task).percent == null && task.startedClockMs != null
            if (!isAtFullPace) orders.order(worker, task, FULL_PERCENT, arrayOf("reason", "no_neighbour"))
        }
    }

    private fun control(worker: WorkerView) {
        if (!isListFresh(worker)) return
        val control = controls.getOrPut(worker) { Control() }
        val filling = worker.runs.values.filter { isPaceable(it) && it.phase == TaskPhase.RUNNING }
        if (filling.isEmpty()) return
        val tail = worstTail(worker, loop.nowMs, PACE_LIST_AGE_MS)
        for (task in filling) {
            val ordered = orders.paceOf(task).percent
            val first = startPercent(worker, task, tail)
            if (ordered == null) {
                order(worker, task, first, tail, "start")
                control.raiseFromMs = loop.nowMs + RAISE_INTERVAL_MS
            } else {
                // Without a tail, as while a task that serves starts, only the pace of a start is known to do little harm.
                val kept = if (tail == null) minOf(ordered, first) else ordered
                order(worker, task, kept, tail, if (kept == ordered) "repeat" else "tail_unknown")
            }
        }
        if (tail == null || worker.lastReportedAtMs == control.listAtMs) return
        control.listAtMs = worker.lastReportedAtMs
        when {
            tail.ratio >= OVER_RATIO -> suspendAll(worker, control, filling, tail)
            tail.ratio >= NEAR_RATIO -> cut(worker, control, filling, tail)
            tail.ratio < RAISE_RATIO && loop.nowMs >= control.raiseFromMs -> raise(worker, control, filling, tail)
        }
    }

    private fun startPercent(
        worker: WorkerView,
        task: TaskRun,
        tail: Tail?,
    ): Int {
        if (tail != null && tail.ratio >= NEAR_RATIO) return 0
        val safe = safePercent(worker, task.stepRun.step).toInt()
        return minOf(START_PERCENT, safe / 2)
    }

    private fun suspendAll(
        worker: WorkerView,
        control: Control,
        filling: List<TaskRun>,
        tail: Tail,
    ) {
        learnNear(control, filling, tail)
        filling.forEach { order(worker, it, 0, tail, "over_target") }
        control.cutAtMs = loop.nowMs
        control.raiseFromMs = loop.nowMs + RAISE_AFTER_OVER_MS
    }

    private fun cut(
        worker: WorkerView,
        control: Control,
        filling: List<TaskRun>,
        tail: Tail,
    ) {
        control.raiseFromMs = loop.nowMs + RAISE_AFTER_CUT_MS
        // The tail is a figure for half a second, most of which may lie before the last cut.
        if (loop.nowMs - control.cutAtMs < CUT_INTERVAL_MS) return
        learnNear(control, filling, tail)
        control.cutAtMs = loop.nowMs
        for (task in filling) {
            val halved = (orders.paceOf(task).percent ?: FULL_PERCENT) / 2
            order(worker, task, if (halved < LEAST_PERCENT) 0 else halved, tail, "near_target")
        }
    }

    /** Slow tasks are not taken for the cause, nor is what follows from the pace before a cut. */
    private fun learnNear(
        control: Control,
        filling: List<TaskRun>,
        tail: Tail,
    ) {
        if (loop.nowMs - control.cutAtMs < CUT_INTERVAL_MS) return
        for (task in filling) {
            val percent = orders.paceOf(task).percent ?: continue
            if (percent >= LEAST_PERCENT) model.onNear(tail.task.stepRun.step, task.stepRun.step, percent)
        }
    }

    /** Raises one task at a time, the slowest first, unless the tail is far from its target. */
    private fun raise(
        worker: WorkerView,
        control: Control,
        filling: List<TaskRun>,
        tail: Tail,
    ) {
        val paced = filling.map { it to (orders.paceOf(it).percent ?: FULL_PERCENT) }
        for ((task, percent) in paced) {
            worker.servingSteps().forEach { model.onSlack(it, task.stepRun.step, percent) }
        }
        val slower = paced.filter { it.second < FULL_PERCENT }.sortedBy { it.second }
        for ((task, percent) in if (tail.ratio < FAR_RATIO) slower else slower.take(1)) {
            val safe = (safePercent(worker, task.stepRun.step) * SAFE_PART).toInt()
            val next = if (percent < safe) minOf(safe, maxOf(percent * 2, percent + RAISE_PERCENT)) else percent + RAISE_PERCENT
            order(worker, task, minOf(FULL_PERCENT, next), tail, "slack")
            control.raiseFromMs = loop.nowMs + RAISE_INTERVAL_MS
        }
    }

    private fun order(
        worker: WorkerView,
        task: TaskRun,
        percent: Int,
        tail: Tail?,
        reason: String,
    ) {
        val cause =
            arrayOf(
                "reason",
                reason,
                "tailMs",
                tail?.tailMs,
                "targetMs",
                tail?.targetMs,
                "serving",
                tail?.task?.id,
                "servingImage",
                tail
                    ?.task
                    ?.stepRun
                    ?.step
                    ?.image,
                "image",
                task.stepRun.step.image,
            )
        orders.order(worker, task, percent, cause)
    }

    /**
     * Stops one task that has been suspended for long, if another worker has a place for it, or that its worker has not suspended.
     * Long-running tasks stay, as their absence counts against their job, and members of gangs, whose stop would cost the work of all.
     */
    private fun moveSuspended() {
        if (loop.nowMs - movedAtMs < MOVE_INTERVAL_MS) return
        val task =
            workers.all
                .filter { it.isShared && isListFresh(it) }
                .flatMap { it.runs.values }
                .firstOrNull(::isMoveDue) ?: return
        val pace = orders.paceOf(task)
        val worker = task.worker ?: return
        movedAtMs = loop.nowMs
        if (!pace.isAnswered) unpaceableUntilMs[worker.id] = loop.nowMs + UNPACEABLE_MS
        val suspendedMs = loop.nowMs - (pace.suspendedSinceMs ?: loop.nowMs)
        log.write("best_effort_moved", "task", task.id, "worker", worker.id, "suspendedMs", suspendedMs, "isPaceAnswered", pace.isAnswered)
        workers.stop(task)
    }

    private fun isMoveDue(task: TaskRun): Boolean {
        if (!isPaceable(task) ||
            task.phase != TaskPhase.RUNNING ||
            task.stepRun.step.isLongRunning ||
            task.stepRun.step.isGang
        ) {
            return false
        }
        val pace = orders.paceOf(task)
        val suspendedMs = loop.nowMs - (pace.suspendedSinceMs ?: return false)
        return if (pace.isAnswered) suspendedMs >= MOVE_AFTER_MS && workers.hasOtherPlace(task) else suspendedMs >= STOP_UNANSWERED_MS
    }

    private companion object {
        /** Workers that only run long-running tasks are listed every 1.2 s; a new run is slowed down within 0.2 s of its start. */
        const val START_LIST_AGE_MS = 1_500L

        /** Shared workers are listed every 200 ms. This allows for two late answers. */
        const val PACE_LIST_AGE_MS = 800L

        /** A hold of before the worker was shared may wait for 1.1 s; it is replaced when the last list is older than this. */
        const val LONGEST_LIST_INTERVAL_MS = 300L

        /** Parts of the target. A start works at full pace for some 150 ms and needs most slack. */
        const val START_RATIO = 0.5
        const val RAISE_RATIO = 0.6
        const val FAR_RATIO = 0.3
        const val NEAR_RATIO = 0.75
        const val OVER_RATIO = 0.95

        /** A pace shows in the tail 100 ms after its order at the earliest, and in all of the last half second after 600 ms. */
        const val RAISE_INTERVAL_MS = 600L
        const val CUT_INTERVAL_MS = 400L
        const val RAISE_AFTER_CUT_MS = 1_000L
        const val RAISE_AFTER_OVER_MS = 1_500L

        /** Starts on one worker are as far apart as raises. */
        const val START_INTERVAL_MS = 700L

        const val START_PERCENT = 25
        const val MIN_START_PERCENT = 10
        const val RAISE_PERCENT = 5
        const val LEAST_PERCENT = 5

        /** Raises are quick up to this part of the pace that has done no harm, and small from there on. */
        const val SAFE_PART = 0.8

        /** Best-effort tasks share what is left over: with this many on a worker, another one gets little. */
        const val CROWD_SIZE = 8.0

        /** The restart of a task loses work; a suspension of a second or two costs less. */
        const val MOVE_AFTER_MS = 3_000L
        const val MOVE_INTERVAL_MS = 1_000L

        /** Some ten orders without an answer. Well below the time for which a tail may be over its target, 4 s. */
        const val STOP_UNANSWERED_MS = 1_500L

        /** Bounds how often a task that cannot be paced disturbs the tasks of one worker. */
        const val UNPACEABLE_MS = 30_000L
    }
}
