/*
 * Attributes crashes of workers to the tasks that ran on them, so that a task that crashes each worker on which it starts is
 * not started without end. Crashes of several workers of one rack at a time are the rack's.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView
import kotlin.math.abs

/** A run that its worker had not ended when contact was lost. [survivedMs] is how long it was last known to have run. */
internal data class InterruptedRun(
    val task: TaskRun,
    val runNumber: Long,
    val survivedMs: Long,
)

/** Counts crashes through [registry]. Used on the event loop only. */
internal class CrashTracker(
    private val loop: EventLoop,
    private val registry: JobRegistry,
    private val log: DecisionLog,
) {
    /** A worker that was silent until its lease expired, with the runs that were on it. */
    private class LapsedWorker(
        val id: String,
        val bornWallMs: Long,
        val runs: List<InterruptedRun>,
    )

    /** The loss of contact with a worker of [rack] at loop time [atMs]. */
    private class Loss(
        val workerId: String,
        val rack: String,
        val atMs: Long,
    ) {
        /** True once the worker is known to have ended. */
        var hasEnded = false

        /** The runs under which the crash was counted. */
        var counted: List<InterruptedRun> = emptyList()
    }

    private val losses = ArrayList<Loss>()

    /** By instance. Whether such a worker crashed is not known until the instance has another worker or the same one answers. */
    private val lapsedByInstance = HashMap<String, LapsedWorker>()

    /** The runs that [worker] may have begun and has not ended. To be called before they are released. */
    fun interruptedRunsOf(worker: WorkerView): List<InterruptedRun> =
        worker.runs.values
            .filter { it !in worker.startQueue }
            .map { InterruptedRun(it, it.runNumber, maxOf(0, worker.lastReportedAtMs - it.startedAtMs)) }

    /** Called when the first hold of [worker] is not answered. */
    fun onContactLost(worker: WorkerView) {
        // A draining worker leaves as announced, and a cordoned one may be ended by an order.
        if (worker.drainingSinceMs == null && !worker.isCordoned) addLoss(worker)
    }

    private fun addLoss(worker: WorkerView): Loss? {
        losses.removeAll { loop.nowMs - it.atMs > LOSS_KEPT_MS }
        val rack = worker.rack ?: return null
        return Loss(worker.id, rack, loop.nowMs).also(losses::add)
    }

    /** Called when [worker] is known to have ended with [runs] on it, which have been released. */
    fun onEnded(
        worker: WorkerView,
        runs: List<InterruptedRun>,
    ) {
        val lapsed = worker.entry.instanceId?.let(lapsedByInstance::remove)
        // A draining worker leaves as announced, whatever still runs on it.
        if (worker.drainingSinceMs == null) record(worker.id, worker, lapsed?.runs.orEmpty() + runs)
    }

    /** Called when the lease of the silent [worker] has expired with [runs] on it, which have been released; others may follow. */
    fun onLeaseExpired(
        worker: WorkerView,
        runs: List<InterruptedRun>,
    ) {
        val instanceId = worker.entry.instanceId ?: return
        if (worker.drainingSinceMs != null) return
        val earlier = lapsedByInstance[instanceId]?.takeIf { it.id == worker.id && it.bornWallMs == worker.bornWallMs }
        lapsedByInstance[instanceId] = LapsedWorker(worker.id, worker.bornWallMs, earlier?.runs.orEmpty() + runs)
    }

    /** Called when discovery lists [worker], which was not registered. */
    fun onAppeared(worker: WorkerView) {
        val lapsed = worker.entry.instanceId?.let(lapsedByInstance::remove) ?: return
        val isSame = lapsed.id == worker.id && worker.entry.bornWallMs <= lapsed.bornWallMs
        if (!isSame) record(lapsed.id, worker, lapsed.runs)
    }

    /** Called when [worker] answers in the incarnation in which it was silent. */
    fun onAnswered(worker: WorkerView) {
        worker.entry.instanceId?.let(lapsedByInstance::remove)
        losses.removeAll { it.workerId == worker.id && !it.hasEnded }
    }

    /**
     * Called when its worker reports [task] as running at loop time [nowMs]. Clears the crashes under a long-running task that has
     * survived its start; those under other tasks add up until they are done.
     */
    fun onRunning(
        task: TaskRun,
        nowMs: Long,
    ) {
        if (!task.stepRun.step.isLongRunning || nowMs - task.startedAtMs < SURVIVAL_MS) return
        registry.clearCrashes(task)
    }

    /**
     * Counts a crash under each of [runs], which were on the worker [workerId]. [onInstance] is that worker, or the next one of its
     * instance.
     */
    private fun record(
        workerId: String,
        onInstance: WorkerView,
        runs: List<InterruptedRun>,
    ) {
        val loss = losses.lastOrNull { it.workerId == workerId && !it.hasEnded } ?: addLoss(onInstance)
        loss?.hasEnded = true
        val lostTogether = if (loss == null) emptyList() else lostTogetherWith(loss)
        val (survived, interrupted) = runs.partition { it.task.stepRun.step.isLongRunning && it.survivedMs >= SURVIVAL_MS }
        survived.forEach { registry.clearCrashes(it.task) }
        val (ofRack, counted) = interrupted.partition { isCrashOfRack(it, lostTogether) }
        loss?.counted = counted
        for (run in counted) {
            registry.taskCrashed(run.task, run.runNumber, loss?.atMs ?: loop.nowMs)
            log.write("run_crashed", "task", run.task.id, "run", run.runNumber, "worker", workerId, "crashes", run.task.crashedRuns.size)
        }
        if (loss != null && lostTogether.size >= MIN_CRASHED_IN_RACK) onRackCrashed(loss, lostTogether, ofRack.size)
    }

    /** The last losses of workers of the rack of [loss] that were about as early as it, with itself. */
    private fun lostTogetherWith(loss: Loss): List<Loss> =
        losses.filter { it.rack == loss.rack && abs(it.atMs - loss.atMs) <= RACK_WINDOW_MS }.distinctBy { it.workerId }

    /**
     * False for a run that is not known to have lasted for [START_MS]: its start may have crashed the worker, and tasks that crash workers
     * one after the other lose several of one rack at a time as well.
     */
    private fun isCrashOfRack(
        run: InterruptedRun,
        lostTogether: List<Loss>,
    ): Boolean = lostTogether.size >= MIN_CRASHED_IN_RACK && run.survivedMs >= START_MS

    /** Takes back what was counted for the workers of the rack that ended before [loss]. */
    private fun onRackCrashed(
        loss: Loss,
        lostTogether: List<Loss>,
        notCounted: Int,
    ) {
        var withdrawn = 0
        for (earlier in lostTogether) {
            if (earlier === loss) continue
            val (ofRack, counted) = earlier.counted.partition { isCrashOfRack(it, lostTogether) }
            ofRack.forEach { registry.withdrawCrash(it.task, it.runNumber) }
            earlier.counted = counted
            withdrawn += ofRack.size
        }
        log.write(
            "rack_crashed",
            "rack",
            loss.rack,
            "worker",
            loss.workerId,
            "lostTogether",
            lostTogether.size,
            "runsNotBlamed",
            notCounted,
            "crashesWithdrawn",
            withdrawn,
        )
    }

    private companion object {
        /** A long-running task that has run for this long did not crash its worker by being started. */
        const val SURVIVAL_MS = 10_000L

        /** A task that crashes its worker by being started does so sooner: after 10 ms on the recorded day. */
        const val START_MS = 1_000L

        /** Workers of a rack that one cause has ended. A single crash may be a task's. */
        const val MIN_CRASHED_IN_RACK = 2

        /** A failed rack resets or stops all its connections at once; holds without an answer time out within this time of each other. */
        const val RACK_WINDOW_MS = 1_000L

        /** Longer than a lease and the return of an instance after it, by which the end of a lost worker is known. */
        const val LOSS_KEPT_MS = 60_000L
    }
}
