/*
 * Checks what must hold for jobs from what the workers and the callers of the world see.
 */
package io.corianderrock.jobs.world

import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.ports.EndRow
import io.corianderrock.jobs.ports.StartOrder
import io.corianderrock.jobs.state.JobState
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.MIN_WORKER_CLOCK_RATE
import io.corianderrock.jobs.state.TaskId

/** An order to an instance by the entry [holder] under its token. */
internal data class InstanceOrder(
    val instanceId: String,
    val holder: String,
    val token: Long,
    val atMs: Long,
)

internal class InvariantChecker(
    private val time: SimTime,
) {
    private class JobFacts(
        val submission: JobSubmission,
    ) {
        var isAccepted = false
        var cancelledAtMs: Long? = null
        var shownFinal: JobState? = null
        var shownFinalAtMs = 0L
        var isOwedNothing = false
    }

    private val jobs = HashMap<String, JobFacts>()
    private val running = HashMap<TaskId, SimWorker>()
    private val endedDone = HashSet<Pair<TaskId, Long>>()
    private val notedDone = HashSet<TaskId>()
    private val doneTasks = HashSet<TaskId>()
    private val notedFailures = HashMap<TaskId, Int>()
    val violations = ArrayList<String>()
    private var isLateDelivery = false
    val instanceOrders = ArrayList<InstanceOrder>()
    var startCount = 0
        private set
    val acceptedCount: Int get() = jobs.values.count { it.isAccepted }

    /**
     * An order that is carried out late must not extend a lease beyond what its sender reckoned with: its expiry has to
     * be a time of the worker's clock, not a length. A sender reckons with the longest lease on the slowest clock.
     */
    fun onLeaseOrdered(
        worker: SimWorker,
        leaseMs: Long,
    ) {
        val reckonedMs = (SimWorker.LONGEST_LEASE_MS / MIN_WORKER_CLOCK_RATE).toLong()
        if (leaseMs > reckonedMs) violate("TWICE ${worker.entry.id} is told to extend its lease by $leaseMs ms")
    }

    /** Bounds on the time of a start do not hold for orders that a worker carries out late. */
    fun duringLateDelivery(deliver: () -> Unit) {
        isLateDelivery = true
        deliver()
        isLateDelivery = false
    }

    fun onInstanceOrder(order: InstanceOrder) {
        val last = instanceOrders.lastOrNull { it.instanceId == order.instanceId }
        if (last != null && order.token < last.token) violate("ONE $order has a lower token than $last")
        if (last != null && order.holder != last.holder && order.atMs - last.atMs < INSTANCE_LEASE_MS) {
            violate("ONE $order follows $last too soon")
        }
        instanceOrders.add(order)
    }

    fun onSubmitted(submission: JobSubmission) {
        jobs.getOrPut(submission.id) { JobFacts(submission) }
    }

    fun onAccepted(id: String) {
        jobs.getValue(id).isAccepted = true
    }

    fun onCancelled(id: String) {
        val facts = jobs.getValue(id)
        facts.cancelledAtMs = facts.cancelledAtMs ?: time.nowMs
    }

    fun onStart(
        worker: SimWorker,
        order: StartOrder,
    ) {
        startCount++
        val task = order.task
        val facts = jobs[task.jobId] ?: return violate("UNASKED $task: nobody submitted it")
        val other = running[task]
        if (other != null && other.isUp && task in other.runningTasks) violate("TWICE $task on ${worker.entry.id} and ${other.entry.id}")
        if (task in notedDone) violate("TWICE $task starts after its end was noted")
        if (facts.shownFinal == JobState.COMPLETE) violate("TWICE $task starts after its job was shown complete")
        for (step in facts.submission.steps[task.step].after) {
            val isDone = (0 until facts.submission.steps[step].count).all { TaskId(task.jobId, task.occurrence, step, it) in doneTasks }
            if (!isDone) violate("ORDER $task starts before step $step is done")
        }
        if ((notedFailures[task] ?: 0) >= facts.submission.queue.maxAttempts &&
            !isLongRunning(task)
        ) {
            violate("BUDGET $task has no attempt left")
        }
        val cancelledAtMs = facts.cancelledAtMs
        if (cancelledAtMs != null &&
            !isLateDelivery &&
            time.nowMs - cancelledAtMs > CANCEL_MS &&
            worker.isReachable
        ) {
            violate("UNASKED $task starts long after its job was cancelled")
        }
        running[task] = worker
    }

    fun onEnd(
        run: SimWorker.Run,
        kind: EndKind,
    ) {
        running.remove(run.task)
        if (kind == EndKind.DONE) {
            endedDone.add(run.task to run.number)
            doneTasks.add(run.task)
        }
    }

    fun onEndNoted(end: EndRow) {
        if (end.kind == EndKind.DONE && !isLongRunning(end.task)) notedDone.add(end.task)
        if (end.kind == EndKind.FAILED) notedFailures.merge(end.task, 1, Int::plus)
    }

    /** An answer that was shown now to a question asked at [askedAtMs]; it tells of some moment between the two. */
    fun onShown(
        id: String,
        state: JobState?,
        askedAtMs: Long,
    ) {
        val facts = jobs.getValue(id)
        if (state == null) {
            if (facts.isAccepted) violate("LOST $id is not known though it was accepted")
            return
        }
        if (state == JobState.COMPLETE) {
            val isDone = tasksOf(facts.submission).all { it in doneTasks }
            if (!isDone) violate("MIXED $id is shown complete with tasks undone")
        }
        val isContradiction = facts.shownFinal != null && state != facts.shownFinal
        if (isContradiction && (state.isFinal || askedAtMs > facts.shownFinalAtMs)) {
            violate("LOST $id was ${facts.shownFinal}, then $state")
        }
        if (state.isFinal && facts.shownFinal == null) {
            facts.shownFinal = state
            facts.shownFinalAtMs = time.nowMs
        }
    }

    /** After a long calm every accepted job must have ended, but for those that last. */
    fun onQuiet(stateOf: (String) -> JobState?) {
        for ((id, facts) in jobs) {
            if (facts.cancelledAtMs != null) checkStopped(facts.submission)
            if (!facts.isAccepted) continue
            val state = stateOf(id)
            val isLongRunning = facts.submission.steps.any { it.isLongRunning }
            if (state == null) violate("LOST $id is not known at the end")
            if (!isLongRunning && state?.isFinal == false) violate("LOST $id is still $state at the end")
            if (isLongRunning && state == JobState.ACTIVE) checkLongRunning(facts.submission)
        }
    }

    private fun checkStopped(submission: JobSubmission) {
        for (task in tasksOf(submission)) {
            val worker = running[task] ?: continue
            if (worker.isUp && task in worker.runningTasks) violate("UNASKED $task of a cancelled job still runs at the end")
        }
    }

    private fun checkLongRunning(submission: JobSubmission) {
        for (task in tasksOf(submission)) {
            val worker = running[task]
            if (worker == null || !worker.isUp) violate("LOST $task is to last and does not run")
        }
    }

    private fun isLongRunning(task: TaskId): Boolean =
        jobs[task.jobId]
            ?.submission
            ?.steps
            ?.get(task.step)
            ?.isLongRunning == true

    private fun tasksOf(submission: JobSubmission): List<TaskId> =
        submission.steps.flatMapIndexed { step, spec -> (0 until spec.count).map { TaskId(submission.id, 0, step, it) } }

    private fun violate(text: String) {
        violations.add("${time.nowMs}: $text")
    }

    private companion object {
        const val CANCEL_MS = 3_000L

        /** Two owners may not order one instance within this time of each other. */
        const val INSTANCE_LEASE_MS = 3_000L
    }
}
