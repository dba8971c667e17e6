/*
 * The register of workers: which of them exist by discovery, by the stored rows of earlier owners and by the platform's lists of
 * instances, and when their runs have ended. A run counts as running until a list, a new incarnation of the worker or the expiry
 * of its lease proves that it has ended.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.Instance
import io.corianderrock.jobs.ports.InstanceState
import io.corianderrock.jobs.ports.WorkerAnswer
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.LATE_ORDER_WINDOW_MS
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView

/** Adds, replaces and removes [workers]. All methods run on the event loop. */
internal class WorkerRegister(
    private val context: WorkerOrderContext,
    private val workers: WorkerTable,
    private val leaseRows: WorkerLeaseRows,
    private val holds: WorkerHolds,
    private val orders: RunOrders,
    private val crashes: CrashTracker,
    private val inheritedLeases: InheritedWorkerLeases,
) {
    private val loop = context.loop
    private val log = context.log

    /** False until the stored jobs are loaded; before that, listed runs cannot be matched to their jobs. */
    private var isOpen = false

    /** Starts to contact workers. Called once all stored jobs and leases are loaded. */
    fun open() {
        isOpen = true
        workers.all.toList().forEach(::reconcileIfNeeded)
    }

    private fun reconcileIfNeeded(worker: WorkerView) {
        if (isOpen && !worker.isReconciled) holds.ensureInFlight(worker)
    }

    /** Takes over the stored [leases] of earlier owners, whose runs may continue until [deadlineMs] in loop time. */
    fun inherit(
        leases: List<WorkerLeaseRow>,
        deadlineMs: Long,
    ) {
        inheritedLeases.inherit(leases, deadlineMs)
        for (lease in leases) {
            val worker = workers.find(lease.workerId) ?: continue
            worker.isLeaseRowStored = true
            worker.leaseEndsAtMs = maxOf(worker.leaseEndsAtMs, deadlineMs)
            if (worker.answeredEntry == null) {
                worker.answeredEntry = worker.entry.copy(address = lease.address, instanceId = lease.instanceId ?: worker.entry.instanceId)
            }
            assumeLateStartsOfEarlierOwners(worker, worker.entry.bornWallMs)
        }
        for (lease in leases) if (workers.find(lease.workerId) == null) addUnlisted(lease)
    }

    private fun addUnlisted(lease: WorkerLeaseRow) {
        val entry =
            WorkerEntry(
                id = lease.workerId,
                address = lease.address,
                pool = lease.pool,
                dataCentre = "",
                instanceId = lease.instanceId,
                capacity = Demand(),
                labels = emptyList(),
                isDraining = false,
                leavesInMs = null,
                bornWallMs = lease.bornWallMs,
            )
        val worker = newWorker(entry)
        worker.isListed = false
        worker.isLeaseRowStored = true
        worker.answeredEntry = entry
        worker.leaseEndsAtMs = inheritedLeases.deadlineMs
    }

    private fun newWorker(entry: WorkerEntry): WorkerView {
        val worker = workers.add(entry, context.nextFence())
        worker.registeredAtMs = loop.nowMs
        return worker
    }

    /**
     * Called when discovery adds or changes [entry]. A row that its worker wrote before it restarted may reach the store late. The later
     * start is known by an answer: a row of another writer may name any start, and the worker's own would count as outdated for good.
     */
    fun onListed(entry: WorkerEntry) {
        val registered = workers.find(entry.id)
        if (registered != null && entry.bornWallMs != 0L && entry.bornWallMs < registered.answeredBornWallMs) {
            log.write("worker_row_outdated", "worker", entry.id, "born", entry.bornWallMs, "knownBorn", registered.answeredBornWallMs)
            return
        }
        val worker = registered ?: newWorker(entry)
        val mayHaveRestarted = registered != null && (!registered.isListed || registered.entry.bornWallMs != entry.bornWallMs)
        if (registered != null && entry.bornWallMs != 0L && worker.bornWallMs != 0L && entry.bornWallMs > worker.bornWallMs) {
            onNewIncarnation(worker, entry.bornWallMs)
        }
        assumeLateStartsOfEarlierOwners(worker, entry.bornWallMs)
        if (registered == null || registered.entry != entry) logListed(entry)
        workers.unlinkInstance(worker)
        worker.entry = entry
        worker.isListed = true
        workers.linkInstance(worker)
        if (entry.isDraining) worker.drainingSinceMs = worker.drainingSinceMs ?: loop.nowMs else worker.drainingSinceMs = null
        // The hold in flight may have gone to an incarnation that had ended, and until a new one is held it knows no fence.
        if (mayHaveRestarted && !worker.isReconciled) holds.abandonInFlight(worker)
        reconcileIfNeeded(worker)
        context.onChange(worker.entry.pool)
    }

    /**
     * Extends the assumed lease of an inherited [worker] that has started again, at [bornWallMs], since its row was stored: until it
     * answers it has not seen this owner's fence and takes starts of earlier owners that arrive late.
     */
    private fun assumeLateStartsOfEarlierOwners(
        worker: WorkerView,
        bornWallMs: Long,
    ) {
        val storedBornWallMs = inheritedLeases.find(worker.id)?.bornWallMs ?: return
        if (storedBornWallMs == 0L || bornWallMs == 0L || storedBornWallMs == bornWallMs) return
        worker.leaseEndsAtMs = maxOf(worker.leaseEndsAtMs, inheritedLeases.lateOrdersDeadlineMs)
    }

    private fun logListed(entry: WorkerEntry) {
        log.write("worker_listed", "worker", entry.id, "pool", entry.pool, "instance", entry.instanceId, "draining", entry.isDraining)
    }

    /**
     * Removes older workers of the instance of [worker], which has answered: each boot has a worker of its own, so their runs have
     * ended. A row alone proves nothing, as any program can write it: the answer has to name the same start. One without a start does
     * not tell that it is the newer one, nor does a late answer, sent for at [sentAtMs]: times of day may have been set back.
     */
    private fun removeEarlierWorkers(
        worker: WorkerView,
        sentAtMs: Long,
    ) {
        val entry = worker.answeredEntry ?: return
        val instanceId = entry.instanceId ?: return
        for (other in workers.all.filter { it.id != entry.id && it.instanceId == instanceId }) {
            if (other.entry.bornWallMs > entry.bornWallMs || other.lastAnsweredAtMs >= sentAtMs) continue
            log.write("worker_replaced", "worker", other.id, "replacedBy", entry.id, "instance", instanceId)
            removeEnded(other)
        }
    }

    /** Called when discovery removes a worker; its runs count as lost only once its lease has expired. */
    fun onUnlisted(workerId: String) {
        val worker = workers.find(workerId) ?: return
        if (worker.isListed) {
            log.write("worker_unlisted", "worker", workerId, "runs", worker.runs.size, "leaseLeftMs", worker.leaseLeftMs(loop.nowMs))
        }
        worker.isListed = false
        workers.unlinkInstance(worker)
    }

    /**
     * Removes the unlisted workers of the instance [instanceId] that have not answered: the platform reports [workerId] as the current
     * one, so the runs of earlier workers have ended. Nothing follows if it reports none.
     */
    fun onInstanceListed(
        instanceId: String,
        workerId: String?,
    ) {
        if (workerId == null) return
        val replaced = workers.all.filter { it.instanceId == instanceId && it.id != workerId && !it.isReconciled && !it.isListed }
        for (worker in replaced) {
            log.write("worker_over", "worker", worker.id, "instance", instanceId, "currentWorker", workerId)
            removeEnded(worker)
        }
    }

    /**
     * Ends silent workers that do not run any more according to two lists in a row: their instance is down, has another
     * worker, or is no longer listed. [instances] is a complete list that was requested at loop time [requestedAtMs].
     */
    fun onInstancesListed(
        instances: List<Instance>,
        requestedAtMs: Long,
    ) {
        val byInstanceId = instances.associateBy { it.id }
        for (worker in workers.all.toList()) {
            val instanceId = worker.instanceId ?: continue
            val isEvidence = isSilentSince(worker, requestedAtMs) && !mayRunOn(byInstanceId[instanceId], worker)
            worker.listsWithoutWorker = if (isEvidence) worker.listsWithoutWorker + 1 else 0
            if (isEvidence) worker.listedWithoutWorkerAtMs = requestedAtMs
            if (worker.listsWithoutWorker >= LISTS_TO_END_WORKER && mayHaveRuns(worker)) onDownByLists(worker, byInstanceId[instanceId])
        }
    }

    /** Frees the runs of the silent [worker] that have ended by lists of instances, the last of which shows [instance], null for none. */
    private fun onDownByLists(
        worker: WorkerView,
        instance: Instance?,
    ) {
        // A worker whose instance is removed or has another one does not start again.
        val hasLeft = instance == null || instance.state == InstanceState.UP
        val ended = if (hasLeft) worker.runs.values.toList() else runsWithoutLateStart(worker)
        if (ended.isEmpty() && worker.runs.isNotEmpty()) return
        log.write(
            "worker_over",
            "worker",
            worker.id,
            "instance",
            worker.instanceId,
            "instanceState",
            instance?.state,
            "runs",
            ended.size,
            "mayBeStartedLate",
            worker.runs.size - ended.size,
        )
        // A worker whose instance is being moved or maintained was ended by an order.
        val isCrash = instance?.state != InstanceState.MOVING && instance?.state != InstanceState.MAINTENANCE
        onEnded(worker, ended, isCrash)
    }

    /** True while some worker that may have runs does not answer, so that a list of instances may tell that it has ended. */
    val hasSilentWorkers: Boolean get() = workers.all.any { it.consecutiveLostHolds > 0 && mayHaveRuns(it) }

    private fun mayHaveRuns(worker: WorkerView): Boolean = worker.runs.isNotEmpty() || !worker.isReconciled

    private fun isSilentSince(
        worker: WorkerView,
        timeMs: Long,
    ): Boolean = worker.consecutiveLostHolds > 0 && worker.lastAnsweredAtMs < timeMs && worker.registeredAtMs < timeMs

    /** False if [instance], null if not listed, shows that [worker] no longer runs on it. */
    private fun mayRunOn(
        instance: Instance?,
        worker: WorkerView,
    ): Boolean =
        when (instance?.state) {
            InstanceState.UNKNOWN -> true
            InstanceState.UP -> instance.workerId == null || instance.workerId == worker.id
            else -> false
        }

    /** Frees the runs [ended] of [worker], which has ended; if that [isCrash], it counts under them. */
    private fun onEnded(
        worker: WorkerView,
        ended: List<TaskRun>,
        isCrash: Boolean,
    ) {
        val interrupted = crashes.interruptedRunsOf(worker).filter { it.task in ended }
        if (worker.unsettledStarts.isEmpty(loop.nowMs) && ended.size == worker.runs.size) {
            remove(worker)
        } else {
            // Kept registered: a recent start may still reach a new incarnation with the same id.
            release(worker, ended)
            markReconciled(worker.id)
        }
        if (isCrash) crashes.onEnded(worker, interrupted)
    }

    /** Frees the places of [ended]; what stays on the silent [worker] is not known to be at work. */
    private fun release(
        worker: WorkerView,
        ended: List<TaskRun>,
    ) {
        ended.forEach { worker.releaseRun(it, loop.nowMs) }
        worker.runs.values.forEach { it.isAtWork = false }
        context.onChange(worker.entry.pool)
    }

    /**
     * The runs of the silent [worker], whose lease is over, that no late start can begin again. Orders name its id only: an incarnation
     * that nobody has reached would carry out a start to the last one, as it knows neither fence nor lease.
     */
    private fun runsWithoutLateStart(worker: WorkerView): List<TaskRun> =
        worker.runs.values.filter { loop.nowMs >= lateRunEndsAtMs(worker, it) }

    /** Loop time from which no incarnation of the silent [worker] can run [task] by a start that was carried out late. */
    private fun lateRunEndsAtMs(
        worker: WorkerView,
        task: TaskRun,
    ): Long {
        val sentAtMs = worker.unsettledStarts.lastSentAtMs(task.id, loop.nowMs) ?: return loop.nowMs
        return when {
            !isKnownDown(worker) -> {
                val longestMs = holds.worstCaseLeaseMs
                maxOf(sentAtMs + LATE_ORDER_WINDOW_MS + longestMs, worker.lateLeaseEndsAtMs(loop.nowMs, longestMs))
            }
            task.stepRun.step.isLongRunning -> sentAtMs + LONG_RUNNING_LATE_START_MS
            else -> sentAtMs + LATE_ORDER_WINDOW_MS
        }
    }

    /** True if the last lists show the instance of [worker] as down. It may be up again since a list that is old. */
    private fun isKnownDown(worker: WorkerView): Boolean =
        worker.listsWithoutWorker >= LISTS_TO_END_WORKER && loop.nowMs - worker.listedWithoutWorkerAtMs < DOWN_EVIDENCE_MS

    /**
     * Called when another worker has answered at the address in the row [sentTo] of [worker]. A worker keeps its address, so that it has
     * ended if it was there; the row of another writer may name the address of another worker.
     */
    fun onOtherWorker(
        worker: WorkerView,
        sentTo: WorkerEntry,
    ) {
        val wasThere = worker.answeredEntry.let { it == null || it.address == sentTo.address }
        if (wasThere) {
            log.write("worker_over", "worker", worker.id, "address", sentTo.address, "runs", worker.runs.size)
            removeEnded(worker)
        } else if (worker.consecutiveLostHolds == 1) {
            log.write("worker_not_at_address", "worker", worker.id, "address", sentTo.address, "runs", worker.runs.size)
        }
    }

    /** Called when a list shows that this owner's order to the worker's instance has ended the worker and all its runs. */
    fun onTerminated(workerId: String) {
        workers.find(workerId)?.let(::remove)
    }

    /** Removes a worker that has ended without an order of this owner, and counts that as a crash under the runs on it. */
    fun removeEnded(worker: WorkerView) {
        val interrupted = crashes.interruptedRunsOf(worker)
        remove(worker)
        crashes.onEnded(worker, interrupted)
    }

    private fun remove(worker: WorkerView) {
        worker.releaseRuns(loop.nowMs)
        worker.deferredLists = null
        markReconciled(worker.id)
        workers.remove(worker, loop.nowMs)
        leaseRows.delete(worker)
        context.onChange(worker.entry.pool)
    }

    /** Frees the runs of [worker] if it is silent, its lease has expired and no late start can begin them; removes it if it is not listed. */
    fun endIfLeaseExpired(worker: WorkerView) {
        val isSilent = worker.consecutiveLostHolds > 0 || !worker.isListed
        if (!isSilent || loop.nowMs <= worker.leaseEndsAtMs) return
        val ended = runsWithoutLateStart(worker)
        if (ended.isNotEmpty()) {
            log.write("lease_over", "worker", worker.id, "runs", ended.size, "mayBeStartedLate", worker.runs.size - ended.size)
            val interrupted = crashes.interruptedRunsOf(worker).filter { it.task in ended }
            release(worker, ended)
            crashes.onLeaseExpired(worker, interrupted)
        }
        // A recent start may still reach a new incarnation with the same id.
        if (!worker.isListed && worker.runs.isEmpty() && worker.unsettledStarts.isEmpty(loop.nowMs)) remove(worker)
    }

    /** Called when the first lists that [worker] has sent in its incarnation are applied. */
    fun onReconciled(worker: WorkerView) {
        worker.isReconciled = true
        if (worker.isListed) workers.linkInstance(worker)
        markReconciled(worker.id)
    }

    /** Marks the inherited runs on [workerId] as known. */
    fun markReconciled(workerId: String) {
        if (inheritedLeases.markReconciled(workerId)) context.onChange(null)
    }

    /**
     * Records that [worker] has answered its last hold, sent at [sentAtMs], with [lists]. Only the current incarnation answers, so that
     * one with an earlier start by the time of day is a later one whose clock was set back.
     */
    fun onAnsweredBy(
        worker: WorkerView,
        sentAtMs: Long,
        lists: WorkerAnswer.Listed,
    ) {
        val bornWallMs = lists.bornWallMs
        worker.answeredBornWallMs = bornWallMs
        if (!worker.isReconciled) {
            crashes.onAppeared(worker)
            removeEarlierWorkers(worker, sentAtMs)
        }
        if (worker.bornWallMs != 0L && bornWallMs != 0L && bornWallMs != worker.bornWallMs) onNewIncarnation(worker, bornWallMs)
        if (worker.bornWallMs == 0L) recordIncarnation(worker, bornWallMs)
        if (!worker.isReconciled && (lists.running.isNotEmpty() || worker.runs.isNotEmpty())) {
            // Its clock began anew: an order with a time on the clock of the last incarnation has granted the longest lease.
            worker.leaseEndsAtMs = maxOf(worker.leaseEndsAtMs, loop.nowMs + holds.worstCaseLeaseMs)
        }
    }

    private fun recordIncarnation(
        worker: WorkerView,
        bornWallMs: Long,
    ) {
        worker.bornWallMs = bornWallMs
        val lease = inheritedLeases.find(worker.id) ?: return
        if (lease.bornWallMs == bornWallMs) {
            worker.processedEnd = lease.storedEnd
            worker.storingEnd = lease.storedEnd
            worker.storedEnd = lease.storedEnd
        }
    }

    private fun onNewIncarnation(
        worker: WorkerView,
        bornWallMs: Long,
    ) {
        val interrupted = crashes.interruptedRunsOf(worker)
        val unanswered = worker.unsettledStarts.tasks(loop.nowMs).size
        worker.beginIncarnation(bornWallMs, loop.nowMs, context.nextFence())
        log.write("worker_reborn", "worker", worker.id, "runs", worker.runs.size, "unanswered", unanswered, "fence", worker.fence)
        worker.assumeLateLeases(loop.nowMs, holds.worstCaseLeaseMs)
        worker.leaseEndsAtMs = maxOf(worker.leaseEndsAtMs, inheritedLeases.lateOrdersDeadlineMs)
        worker.runs.values.forEach { it.isAtWork = false }
        crashes.onEnded(worker, interrupted)
    }

    /**
     * Frees the runs of the last incarnation of [worker] that are not among [lists], the first ones that the next incarnation sends
     * under its fence. Until then a start that was carried out late may run the same tasks there, from then on it begins none. The
     * listed runs that are to be stopped are stopped once more, as the next incarnation has no record of it.
     */
    fun releaseOrStopEarlierRuns(
        worker: WorkerView,
        lists: WorkerAnswer.Listed,
    ) {
        val running = lists.running.mapTo(HashSet()) { it.task }
        worker.runs.values
            .filter { it.id !in running && it !in worker.startQueue }
            .toList()
            .forEach { worker.releaseRun(it, loop.nowMs) }
        worker.runs.values
            .filter { it.phase == TaskPhase.STOPPING }
            .forEach { orders.sendStop(worker, it.id, it.runNumber) }
    }

    private companion object {
        /** Lists of instances in a row that prove the end of a silent worker: one alone may have been made before it started. */
        const val LISTS_TO_END_WORKER = 2

        /** Age of a list up to which an instance that it shows as down counts as down: an instance may be back within a second. */
        const val DOWN_EVIDENCE_MS = 1_000L

        /**
         * How long after the last copy of its start a long-running task waits for the return of an instance that is down. It has to be at
         * work again within 7 s after the last disruption; copies are sent for up to 2 s, and lists are requested every 0.5 s.
         */
        const val LONG_RUNNING_LATE_START_MS = 4_500L
    }
}
