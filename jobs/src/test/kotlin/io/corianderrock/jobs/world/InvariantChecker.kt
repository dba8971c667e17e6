/*
 * Checks the invariants of job scheduling against what workers and callers of the simulation observe. Each violation
 * begins with the code of its invariant, such as TWICE or LOST.
 */
package io.corianderrock.jobs.world

import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.ports.EndRow
import io.corianderrock.jobs.ports.StartOrder
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobState
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.MIN_WORKER_CLOCK_RATE
import io.corianderrock.jobs.state.TaskId

/** An order to an instance by the entry [holder] under its fencing token. */
internal data class InstanceOrder(
    val instanceId: String,
    val holder: String,
    val token: Long,
    val atMs: Long,
)

/** How often histories meet late starts, so that one that meets none is not taken for a proof. */
internal class LateStartCounts(
    var all: Int = 0,
    var ofCancelledJobs: Int = 0,
    var ofRemovedSenders: Int = 0,
)

internal class InvariantChecker(
    private val time: SimTime,
    private val events: WorldEvents = WorldEvents(),
    private val entryNames: List<String> = emptyList(),
    /** The caps of an account in all versions of the configuration that may be in force. */
    private val capsOf: (String) -> List<Demand> = { emptyList() },
) {
    private class ObservedJob(
        val submission: JobSubmission,
        val submittedAtMs: Long,
    ) {
        var acceptedAtMs: Long? = null
        var firstStartAtMs: Long? = null
        var cancelledAtMs: Long? = null

        /** When the last cancellation without an answer was sent after the job was accepted. */
        var cancelSentAtMs: Long? = null

        /** True while a cancellation may have taken effect that was not confirmed. */
        var mayBeCancelled = false
        var reportedFinalState: JobState? = null
        var reportedFinalAtMs = 0L
        var isOwedNothing = false
    }

    val contact = Contact(time)

    /** True if the entries' clocks may be seconds apart, so that a start may be early by as much. */
    var doClocksDiffer = false
    private val jobs = HashMap<String, ObservedJob>()
    private val twice = TwiceCheck(time, contact, ::report)

    /** Starts after ends that count. */
    val startsAfterDone: StartsAfterDone get() = twice.counts
    private val doneTasks = HashSet<TaskId>()
    private val acknowledgedFailures = HashMap<TaskId, Int>()
    private val failedEnds = HashMap<TaskId, Int>()
    private val crashes = HashMap<TaskId, Int>()
    private val startsAfterThirdCrash = HashMap<TaskId, Int>()
    private val reportedEnds = HashSet<Pair<SimWorker, Long>>()

    /** Number of counts of waiting jobs that were received while jobs had waited for long. */
    var waitingCountChecks = 0
        private set

    /** Numbers of starts that were carried out late, of those of cancelled jobs, and of those whose sender had been removed. */
    val lateStarts = LateStartCounts()
    private val reportedUnasked = HashSet<Pair<TaskId, Long>>()
    val violations = ArrayList<String>()
    var isLateDelivery = false
        private set
    private val lastEndedAtMs = HashMap<TaskId, Long>()
    private var lastDisruptedAtMs = time.nowMs

    /** By long-running task: since when it is due and does not run although a worker has capacity for it twice over. */
    private val neglectedSinceMs = HashMap<TaskId, Long>()
    private val reportedNeglected = HashSet<TaskId>()
    val instanceOrders = ArrayList<InstanceOrder>()
    var startCount = 0
        private set
    val acceptedCount: Int get() = jobs.values.count { it.acceptedAtMs != null }

    /**
     * An order that is delivered late must not extend a lease of the incarnation that it was sent to beyond the time its sender assumed,
     * so it has to carry an expiry time of the worker's clock rather than a duration. A sender assumes the longest lease on the slowest
     * clock. In a later incarnation, whose clock starts anew, "a longer lease is shortened to that maximum": what it may do there is
     * checked by [TwiceCheck], as runs beside each other.
     */
    fun onLeaseOrdered(
        worker: SimWorker,
        leaseMs: Long,
    ) {
        val assumedLeaseMs = (worker.longestLeaseMs / MIN_WORKER_CLOCK_RATE).toLong()
        if (leaseMs > assumedLeaseMs) report("TWICE (lease) ${worker.entry.id} was ordered to extend its lease by $leaseMs ms")
    }

    /** Runs [deliver] without the bound on starts after a cancellation: an order that is delivered late may exceed it. */
    fun duringLateDelivery(deliver: () -> Unit) {
        isLateDelivery = true
        deliver()
        isLateDelivery = false
    }

    fun onInstanceOrder(order: InstanceOrder) {
        val last = instanceOrders.lastOrNull { it.instanceId == order.instanceId }
        if (last != null && order.token < last.token) report("ONE $order has a lower token than the earlier $last")
        if (last != null && order.holder != last.holder && order.atMs - last.atMs < INSTANCE_LEASE_MS) {
            report("ONE $order follows $last of another owner within the instance lease")
        }
        instanceOrders.add(order)
    }

    fun onSubmitted(submission: JobSubmission) {
        jobs.getOrPut(submission.id) { ObservedJob(submission, time.nowMs) }
    }

    fun onAccepted(id: String) {
        val observed = jobs.getValue(id)
        observed.acceptedAtMs = observed.acceptedAtMs ?: time.nowMs
    }

    fun onCancelSent(id: String) {
        val observed = jobs.getValue(id)
        observed.mayBeCancelled = true
        if (observed.acceptedAtMs != null) observed.cancelSentAtMs = observed.cancelSentAtMs ?: time.nowMs
        events.publish(EventKind.CANCEL_SENT, id)
    }

    /** Called when an entry has carried out a cancellation of the job [id] or knows no such job, or the caller gives up. */
    fun onCancelAnswered(id: String) {
        jobs.getValue(id).cancelSentAtMs = null
    }

    /** Called when an entry has answered that the cancellation of the job [id] has no effect. */
    fun onCancelRefused(id: String) {
        jobs.getValue(id).mayBeCancelled = false
    }

    fun onCancelled(id: String) {
        val observed = jobs.getValue(id)
        if (observed.cancelledAtMs == null) events.publish(EventKind.CANCEL_ACKNOWLEDGED, id)
        observed.cancelledAtMs = observed.cancelledAtMs ?: time.nowMs
    }

    /**
     * Checks that an end that a worker lists is acknowledged within [ACK_MS] while the worker, all entries and the store are in touch:
     * one that is not keeps its effect from the job.
     */
    fun checkEnds(workers: Collection<SimWorker>) {
        for (worker in workers.filter { it.isUp && it.unacknowledgedEnds.isNotEmpty() }) {
            val inTouchSinceMs = contact.inTouchSinceMs(entryNames + worker.entry.id)
            for ((end, endedAtMs) in worker.unacknowledgedEnds) {
                if (time.nowMs - maxOf(endedAtMs, inTouchSinceMs) <= ACK_MS || !reportedEnds.add(worker to end.number)) continue
                report("ACKS the end of ${end.task} run ${end.runNumber} on ${worker.entry.id} at $endedAtMs is not acknowledged")
            }
        }
    }

    /** Checks that callers who cancel accepted jobs have an answer within [ACK_MS] while all entries and the store are in touch. */
    fun checkCancelAnswers() {
        for ((id, observed) in jobs) {
            val sentAtMs = observed.cancelSentAtMs ?: continue
            if (time.nowMs - maxOf(sentAtMs, contact.inTouchSinceMs(entryNames)) <= ACK_MS) continue
            observed.cancelSentAtMs = null
            report("ACKS the cancellation of $id, sent at $sentAtMs, has no answer")
        }
    }

    /**
     * Checks that no run of a cancelled job goes on once it has to be stopped: [STOP_TIMEOUT_MS] after the grace period of the
     * cancellation, or after the time that a worker has for a start that it received late, while its worker and all entries are in touch.
     */
    fun checkCancelledJobs(workers: Collection<SimWorker>) {
        for (worker in workers) {
            for (run in worker.runs) {
                val cancelledAtMs = jobs[run.task.jobId]?.cancelledAtMs ?: continue
                val graceEndsAtMs = maxOf(cancelledAtMs + CANCEL_GRACE_MS, if (run.isLate) run.startedAtMs + Contact.CONTACT_MS else 0)
                val dueAtMs = maxOf(graceEndsAtMs, contact.inTouchSinceMs(entryNames + worker.entry.id)) + STOP_TIMEOUT_MS
                if (time.nowMs <= dueAtMs || !reportedUnasked.add(run.task to run.number)) continue
                report("UNASKED ${run.task} run ${run.number} on ${worker.entry.id} goes on, cancelled at $cancelledAtMs")
            }
        }
    }

    /** Called when a worker has begun [task] late. */
    fun onLateStart(
        task: TaskId,
        isSenderRemoved: Boolean,
    ) {
        lateStarts.all++
        if (jobs[task.jobId]?.cancelledAtMs != null) lateStarts.ofCancelledJobs++
        if (isSenderRemoved) lateStarts.ofRemovedSenders++
    }

    /** Called before [worker] crashes, with its runs still on it. */
    fun onWorkerCrashed(worker: SimWorker) = worker.runningTasks.forEach { crashes.merge(it, 1, Int::plus) }

    /** Number of workers that have crashed under any task of the job [id]. */
    fun crashCount(id: String): Int = crashes.filterKeys { it.jobId == id }.values.sum()

    /** Jobs that were reported failed although none of their tasks has failed as often as it may. */
    fun crashFailedJobs(): List<String> =
        jobs
            .filterValues { it.reportedFinalState == JobState.FAILED }
            .filterValues { job -> tasksOf(job.submission).none { (failedEnds[it] ?: 0) >= job.submission.queue.maxAttempts } }
            .keys
            .toList()

    fun reportedFinalState(id: String): JobState? = jobs.getValue(id).reportedFinalState

    fun onStart(
        worker: SimWorker,
        order: StartOrder,
        sender: String,
    ) {
        startCount++
        val task = order.task
        val observed = jobs[task.jobId] ?: return report("UNASKED $task starts though its job was never submitted")
        val completeSinceMs = if (observed.reportedFinalState == JobState.COMPLETE) observed.reportedFinalAtMs else null
        twice.onStart(worker, order, sender, isLateDelivery, completeSinceMs)
        for (step in observed.submission.steps[task.step].after) {
            val isDone = (0 until observed.submission.steps[step].count).all { TaskId(task.jobId, task.occurrence, step, it) in doneTasks }
            if (!isDone) report("ORDER $task starts before step $step is done")
        }
        checkDue(observed.submission, task)
        checkCheckpoint(observed.submission, order)
        checkAntiAffinity(worker, observed.submission, task)
        if ((acknowledgedFailures[task] ?: 0) >= observed.submission.queue.maxAttempts &&
            !isLongRunning(task)
        ) {
            report("BUDGET $task starts with no attempt left")
        }
        if ((crashes[task] ?: 0) >= CRASHES_BEFORE_BUDGET &&
            !isLongRunning(task) &&
            startsAfterThirdCrash.merge(task, 1, Int::plus) == STARTS_OVER_BUDGET
        ) {
            report("BUDGET $task starts again although ${crashes[task]} workers have crashed under it")
        }
        val lastCrashMs = lastEndedAtMs[task]
        if (lastCrashMs != null &&
            isLongRunning(task) &&
            isDeadly(observed.submission, task) &&
            (crashes[task] ?: 0) >= CRASHES_BEFORE_BUDGET &&
            time.nowMs - lastCrashMs < LEAST_RESTART_MS
        ) {
            report("BUDGET $task, which crashes its workers, starts again ${time.nowMs - lastCrashMs} ms after the last crash")
        }
        val cancelledAtMs = observed.cancelledAtMs
        if (cancelledAtMs != null &&
            !isLateDelivery &&
            time.nowMs - cancelledAtMs > CANCEL_GRACE_MS &&
            worker.isReachable
        ) {
            report("UNASKED $task starts after the grace period of its job's cancellation")
        }
        checkQuota(observed.submission, task)
        checkDrain(worker, task)
        events.publish(EventKind.RUN_STARTED, task.jobId, worker)
        observed.firstStartAtMs = observed.firstStartAtMs ?: time.nowMs
    }

    /** A worker that drains gets no start later than [DRAIN_MS] after entries in touch were told. */
    private fun checkDrain(
        worker: SimWorker,
        task: TaskId,
    ) {
        val toldAtMs = worker.drainToldAtMs ?: return
        val isInTouch = contact.inTouchSinceMs(entryNames + worker.entry.id) <= time.nowMs
        if (isInTouch && !isLateDelivery && time.nowMs - toldAtMs > DRAIN_MS) {
            report("DRAIN $task starts on ${worker.entry.id}, which has been known to drain since $toldAtMs")
        }
    }

    /**
     * Checks the number of jobs of [queueName] without a start that a caller receives now from an entry that it asked at [askedAtMs]:
     * not less than half of the jobs that were accepted long before and have not begun.
     */
    fun onPendingReported(
        queueName: String,
        count: Int,
        askedAtMs: Long,
    ) {
        if (contact.inTouchSinceMs(entryNames) > askedAtMs) return
        val waiting =
            jobs.values.count { job ->
                val acceptedAtMs = job.acceptedAtMs
                job.submission.queue.name == queueName &&
                    acceptedAtMs != null &&
                    askedAtMs - acceptedAtMs > VISIBLE_MS + COUNT_AGE_MS &&
                    job.firstStartAtMs == null &&
                    !job.mayBeCancelled &&
                    job.cancelledAtMs == null
            }
        if (waiting > 0) waitingCountChecks++
        if (2 * count < waiting) report("MIXED $queueName is said to have $count waiting jobs, and $waiting wait")
    }

    /** A start may bring the running work of an account, on all workers, to at most its cap x 1.1 plus one task. */
    private fun checkQuota(
        submission: JobSubmission,
        task: TaskId,
    ) {
        val account = submission.account ?: return
        val caps = capsOf(account)
        val before = occupiedBy(account, except = task)
        for ((name, valueOf) in DIMENSIONS) {
            val limit = caps.maxOfOrNull { if (valueOf(it) == 0) Int.MAX_VALUE else valueOf(it) } ?: continue
            if (valueOf(before) > limit * QUOTA_TOLERANCE) report("QUOTA $task starts while $account has $before of $limit $name")
        }
    }

    private fun occupiedBy(
        account: String,
        except: TaskId? = null,
    ): Demand =
        twice.tasks
            .filter { it != except && isRunning(it) }
            .mapNotNull { task ->
                jobs
                    .getValue(task.jobId)
                    .submission
                    .takeIf { it.account == account }
                    ?.steps
                    ?.get(task.step)
                    ?.demand
            }.fold(Demand()) { sum, demand -> sum + demand }

    /** True if the account of [submission] occupies at least half of its cap, so that its jobs are not owed capacity. */
    private fun isOverHalfOfCap(submission: JobSubmission): Boolean {
        val account = submission.account ?: return false
        val used = occupiedBy(account)
        return capsOf(account).any { cap -> DIMENSIONS.values.any { it(cap) > 0 && 2 * it(used) >= it(cap) } }
    }

    /** How long the first task of each job of an account waited, for jobs that were accepted and started. */
    fun waitsMs(isCounted: (JobSubmission) -> Boolean): List<Long> =
        jobs.values
            .filter { isCounted(it.submission) }
            .mapNotNull { job -> job.firstStartAtMs?.minus(job.submittedAtMs) }

    private fun checkDue(
        submission: JobSubmission,
        task: TaskId,
    ) {
        val earlyMs = submission.dueWallMs(task.occurrence) - time.nowMs
        if (earlyMs > if (doClocksDiffer) EARLY_MS + CLOCK_STEP_MS else EARLY_MS) report("ORDER $task starts $earlyMs ms before it is due")
    }

    private fun checkCheckpoint(
        submission: JobSubmission,
        order: StartOrder,
    ) {
        val checkpoint = order.checkpoint ?: return
        val isOwn = SimCheckpoint.isOf(checkpoint, order.task, submission.steps[order.task.step].isGang)
        if (!isOwn) report("UNASKED ${order.task} starts from the checkpoint $checkpoint")
    }

    private fun checkAntiAffinity(
        worker: SimWorker,
        submission: JobSubmission,
        task: TaskId,
    ) {
        val max = submission.steps[task.step].maxPerWorker ?: return
        val count = worker.runningTasks.count { it.jobId == task.jobId && it.occurrence == task.occurrence && it.step == task.step }
        if (count >= max) report("ROUTE $task starts on ${worker.entry.id}, which runs $count tasks of its step")
    }

    fun onEnd(
        worker: SimWorker,
        run: SimWorker.Run,
        end: EndRow,
    ) {
        val kind = end.kind
        twice.onEnd(worker, run, end, lasts = isLongRunning(run.task))
        events.publish(if (kind == EndKind.STOPPED) EventKind.RUN_STOPPED else EventKind.RUN_ENDED, run.task.jobId, worker)
        lastEndedAtMs[run.task] = time.nowMs
        val isCalm = contact.allInTouchSinceMs <= run.startedAtMs
        if (kind == EndKind.ALONE && isCalm && !jobs.getValue(run.task.jobId).mayBeCancelled) report("GANG ${run.task} ends alone")
        if (kind == EndKind.FAILED) failedEnds.merge(run.task, 1, Int::plus)
        if (kind == EndKind.DONE) doneTasks.add(run.task)
    }

    /** Called when a worker ends with all its runs, of [tasks]. */
    fun onKilled(tasks: Set<TaskId>) = tasks.forEach { lastEndedAtMs[it] = time.nowMs }

    /**
     * Checks that no long-running task that is due stays away for [NEGLECTED_MS] while one of [workers], those that are listed
     * and reachable, has capacity for it twice over, unless a disruption was near. Called at regular intervals.
     */
    fun checkLongRunningTasks(
        workers: List<SimWorker>,
        isDisrupted: Boolean,
    ) {
        if (isDisrupted) lastDisruptedAtMs = time.nowMs
        for (observed in jobs.values) {
            if (observed.submission.steps.none { it.isLongRunning }) continue
            for (task in tasksOf(observed.submission)) if (isLongRunning(task)) checkLongRunningTask(observed, task, workers)
        }
    }

    private fun checkLongRunningTask(
        observed: ObservedJob,
        task: TaskId,
        workers: List<SimWorker>,
    ) {
        if (!isDue(observed, task) ||
            isRunning(task) ||
            workers.none { hasCapacityTwiceOver(it, observed.submission, task) } ||
            isOverHalfOfCap(observed.submission)
        ) {
            neglectedSinceMs.remove(task)
            reportedNeglected.remove(task)
            return
        }
        val sinceMs = neglectedSinceMs.getOrPut(task) { time.nowMs }
        val isCalm = time.nowMs - lastDisruptedAtMs >= NEGLECTED_MS + CALM_BEFORE_MS
        if (time.nowMs - sinceMs >= NEGLECTED_MS && isCalm && reportedNeglected.add(task)) {
            val endedAtMs = lastEndedAtMs[task] ?: "it was accepted"
            report("LOST $task is long-running and has not run since $endedAtMs, with capacity for it since $sinceMs")
        }
    }

    private fun isDue(
        observed: ObservedJob,
        task: TaskId,
    ): Boolean {
        if (observed.acceptedAtMs == null || observed.cancelledAtMs != null || observed.mayBeCancelled) return false
        val endedAtMs = lastEndedAtMs[task] ?: return true
        return time.nowMs - endedAtMs > RESTART_GRACE_MS
    }

    private fun isRunning(task: TaskId): Boolean = twice.workersOf(task).isNotEmpty()

    private fun hasCapacityTwiceOver(
        worker: SimWorker,
        submission: JobSubmission,
        task: TaskId,
    ): Boolean {
        if (worker.entry.pool != submission.queue.pool) return false
        val step = submission.steps[task.step]
        val count = worker.runningTasks.count { it.jobId == task.jobId && it.occurrence == task.occurrence && it.step == task.step }
        return count < (step.maxPerWorker ?: Int.MAX_VALUE) && (step.demand + step.demand).fitsIn(worker.free)
    }

    /** Called when an acknowledgement has reached [end] on [worker], whose lease has lapsed since the end if [hasLapsed]. */
    fun onEndAcknowledged(
        worker: SimWorker,
        end: EndRow,
        hasLapsed: Boolean,
    ) {
        twice.onAcknowledged(worker, end, hasLapsed)
        if (end.kind == EndKind.FAILED) acknowledgedFailures.merge(end.task, 1, Int::plus)
    }

    /** Checks a state that a caller receives now for a query sent at [askedAtMs]; it may stem from any time in between. */
    fun onStateReported(
        id: String,
        state: JobState?,
        askedAtMs: Long,
    ) {
        val observed = jobs.getValue(id)
        if (state == null) {
            if (observed.acceptedAtMs != null) report("LOST $id is unknown although it was accepted")
            return
        }
        if (state == JobState.COMPLETE) {
            val isDone = tasksOf(observed.submission).all { it in doneTasks }
            if (!isDone) report("MIXED $id is reported complete with unfinished tasks")
        }
        val lasts = observed.submission.steps.any { it.isLongRunning }
        if (state == JobState.FAILED &&
            tasksOf(observed.submission).none { isFailureCause(it, observed.submission.queue.maxAttempts, lasts) }
        ) {
            report("LOST $id is reported failed without a cause")
        }
        val isContradiction = observed.reportedFinalState != null && state != observed.reportedFinalState
        if (isContradiction && (state.isFinal || askedAtMs > observed.reportedFinalAtMs)) {
            report("LOST $id was reported ${observed.reportedFinalState}, then $state")
        }
        if (state.isFinal && observed.reportedFinalState == null) {
            observed.reportedFinalState = state
            observed.reportedFinalAtMs = time.nowMs
        }
    }

    /** Called after the faults have cleared: every accepted job must have ended, except long-running ones. */
    fun checkFinalStates(stateOf: (String) -> JobState?) {
        for ((id, observed) in jobs) {
            if (observed.cancelledAtMs != null) checkStopped(observed.submission)
            if (observed.acceptedAtMs == null) continue
            val state = stateOf(id)
            val isLongRunning = observed.submission.steps.any { it.isLongRunning }
            if (state == null) report("LOST $id is unknown at the end") else onStateReported(id, state, time.nowMs)
            if (!isLongRunning && state?.isFinal == false) report("LOST $id is still $state at the end")
            if (isLongRunning && state == JobState.ACTIVE) checkLongRunning(observed.submission)
        }
    }

    private fun isFailureCause(
        task: TaskId,
        maxAttempts: Int,
        lasts: Boolean,
    ): Boolean = (failedEnds[task] ?: 0) >= maxAttempts || !lasts && (crashes[task] ?: 0) >= CRASHES_BEFORE_GIVING_UP

    private fun isDeadly(
        submission: JobSubmission,
        task: TaskId,
    ): Boolean = submission.spec == DEADLY_SPEC && task.index == 0

    private fun checkStopped(submission: JobSubmission) {
        for (task in tasksOf(submission)) {
            if (isRunning(task)) report("UNASKED $task of a cancelled job still runs at the end")
        }
    }

    private fun checkLongRunning(submission: JobSubmission) {
        for (task in tasksOf(submission)) {
            if (!isRunning(task)) report("LOST $task is long-running and does not run at the end")
        }
    }

    private fun isLongRunning(task: TaskId): Boolean =
        jobs[task.jobId]
            ?.submission
            ?.steps
            ?.get(task.step)
            ?.isLongRunning == true

    private fun tasksOf(submission: JobSubmission): List<TaskId> =
        (0 until submission.occurrenceCount).flatMap { occurrence ->
            submission.steps.flatMapIndexed { step, spec -> (0 until spec.count).map { TaskId(submission.id, occurrence, step, it) } }
        }

    private fun report(text: String) {
        violations.add("${time.nowMs}: $text" + if (isLateDelivery) " (by an order carried out late)" else "")
    }

    private companion object {
        val DIMENSIONS =
            mapOf<String, (Demand) -> Int>("cpuMilli" to Demand::cpuMilli, "memoryMb" to Demand::memoryMb, "gpus" to Demand::gpuCount)

        /** The platform tolerates a start up to this multiple of the cap. */
        const val QUOTA_TOLERANCE = 1.1

        const val CANCEL_GRACE_MS = 3_000L

        /** By how much a start may precede the time at which its occurrence is due. */
        const val EARLY_MS = 250L

        /** By how much more it may where clocks differ. */
        const val CLOCK_STEP_MS = 5_000L

        /** Time within which a worker stops a run. */
        const val STOP_TIMEOUT_MS = 200L

        /** Time from which a worker that is known to drain gets no start. */
        const val DRAIN_MS = 2_000L

        /** Time within which a cancellation is answered and an end acknowledged. */
        const val ACK_MS = 4_000L

        /** Time from which a job that was accepted is known. */
        const val VISIBLE_MS = 3_000L

        /** Greatest age of a count of waiting jobs. */
        const val COUNT_AGE_MS = 2_000L

        /** Time after the end of a long-running task's last run from which its absence counts. */
        const val RESTART_GRACE_MS = 6_000L

        /** For this long a long-running task may be away although there is capacity for it. */
        const val NEGLECTED_MS = 3_000L

        /** A disruption within this time before an absence excuses it. */
        const val CALM_BEFORE_MS = 4_000L

        /** Crashes under a task from which on its job may be given up. */
        const val CRASHES_BEFORE_GIVING_UP = 2

        /** Crashes under a task after which its starts are counted. */
        const val CRASHES_BEFORE_BUDGET = 3

        /** The start after these crashes that breaks the budget. */
        const val STARTS_OVER_BUDGET = 3

        /** Least time between a crash and the next start of a long-running task that always crashes its worker, from the third crash on. */
        const val LEAST_RESTART_MS = 2_000L

        /** Least time between orders of two owners to one instance. */
        const val INSTANCE_LEASE_MS = 3_000L
    }
}
