/*
 * The workers of one owner, for those who place tasks and order instances. Its parts decide: [WorkerRegister] which workers
 * exist and when they have ended, [RunOrders] starts and stops, [RunTransitions] what follows when a run begins or is to end,
 * [WorkerHolds] holds and leases, [RunLists] what becomes of reported runs.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.HoldOrder
import io.corianderrock.jobs.ports.Instance
import io.corianderrock.jobs.ports.WorkerAnswer
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.ports.WorkerLink
import io.corianderrock.jobs.runtimes.EndedRun
import io.corianderrock.jobs.runtimes.RunTimeModel
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.MIN_WORKER_CLOCK_RATE
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView
import io.corianderrock.jobs.workers.WorkerAvoidance
import io.corianderrock.jobs.workers.WorkerFailures
import io.corianderrock.jobs.workers.WorkerSpeeds

/** How long a worker that did not answer, or reported itself unhealthy, gets no new work. */
internal const val AVOID_UNHEALTHY_MS = 1_000L

private const val MILLICORES = 1_000.0

/** Tracks the workers and their runs for one owner. All methods and callbacks run on the event loop. */
internal class WorkerDriver(
    private val loop: EventLoop,
    link: WorkerLink,
    committer: Committer,
    registry: JobRegistry,
    log: DecisionLog,
    epoch: Long,
    longestLeaseMs: Long,
    mayOrder: () -> Boolean,
    /** Called with a pool in which capacity or waiting tasks have changed, null for all pools. */
    onChange: (String?) -> Unit,
    onFenced: () -> Unit,
    onRunEnd: (EndedRun) -> Unit,
    /** Expected run times by which workers are judged; null if their speed is not judged. */
    speedModel: RunTimeModel? = null,
    /** True if tasks may be started now. Asked again when a start that waited for the store is sent. */
    mayStart: () -> Boolean = mayOrder,
    /** Looks up jobs of listed runs that the registry does not hold; by default there are none. */
    finder: JobFinder = JobFinder { _, onResult -> onResult(true) },
    /** Called when the lists of a worker have come; those with jobs that have to be looked up are applied later. */
    private val onReport: (WorkerView) -> Unit = {},
) {
    private val context = WorkerOrderContext(loop, link, log, epoch, mayOrder, mayStart, onChange, onFenced)
    private val table = WorkerTable((longestLeaseMs / MIN_WORKER_CLOCK_RATE).toLong())
    private val inheritedLeases = InheritedWorkerLeases(log)
    private val crashes = CrashTracker(loop, registry, log)
    private val leaseRows = WorkerLeaseRows(table, committer)
    private val holds =
        WorkerHolds(
            context,
            table,
            longestLeaseMs,
            onLists = ::onLists,
            onOtherWorker = ::onOtherWorker,
            onContactLost = crashes::onContactLost,
        )
    private val avoidance = WorkerAvoidance(loop, log) { table.all }
    private val failures = WorkerFailures(avoidance, table::find)
    private val speeds = speedModel?.let { WorkerSpeeds(avoidance, it) }
    private val transitions = RunTransitions(context)
    private val orders = RunOrders(context, table, leaseRows, holds, failures, transitions)
    private val register = WorkerRegister(context, table, leaseRows, holds, orders, crashes, inheritedLeases)
    private val runLists =
        RunLists(
            context,
            registry,
            ListedTasks(loop, registry, finder),
            leaseRows,
            holds,
            orders,
            transitions,
            register,
            crashes,
            failures,
            speeds,
            onRunEnd,
        )

    init {
        registry.onFinal = orders::stopRunsOf
        registry.onProgressAccepted = ::storeHeldEnds
    }

    /** Ends that concern [job] were not stored while its progress was refused. */
    private fun storeHeldEnds(job: JobRun) {
        for (worker in table.all) {
            if (worker.openEnds.any { it.job === job }) leaseRows.storeEnd(worker) { holds.onEndsStored(worker) }
        }
    }

    val workers: Collection<WorkerView> get() = table.all

    /** Longest duration of a lease by this entry's clock. */
    val worstCaseLeaseMs: Long get() = holds.worstCaseLeaseMs

    /** The cores of the workers of [pool] and of all workers elsewhere that run nothing and could be moved there. */
    fun attainableCores(pool: String): Double =
        workers.filter { it.isListed && (it.entry.pool == pool || it.runs.isEmpty()) }.sumOf { it.entry.capacity.cpuMilli / MILLICORES }

    fun find(id: String): WorkerView? = table.find(id)

    /** The worker that discovery lists on the instance [instanceId], or null. */
    fun listedOn(instanceId: String): WorkerView? = table.listedOn(instanceId)

    /** True while tasks of inherited jobs may be running on a worker of [pool] that has not answered. */
    fun isReconciling(pool: String): Boolean = inheritedLeases.isReconciling(pool)

    /** True while an earlier owner may still start tasks on workers that it reaches and this one does not. */
    val mayEarlierOwnerOrder: Boolean get() = loop.nowMs < inheritedLeases.deadlineMs - worstCaseLeaseMs

    /** Ids of the workers of [pool] for which [isReconciling] waits. */
    fun unreconciledIn(pool: String): List<String> = inheritedLeases.unreconciledIn(pool)

    /** Starts to contact workers. Called once all stored jobs and leases are loaded. */
    fun open(): Unit = register.open()

    /** Takes over the stored [leases] of earlier owners, whose runs may continue until [deadlineMs] in loop time. */
    fun inherit(
        leases: List<WorkerLeaseRow>,
        deadlineMs: Long,
    ): Unit = register.inherit(leases, deadlineMs)

    /** Called when discovery adds or changes [entry]. */
    fun onListed(entry: WorkerEntry): Unit = register.onListed(entry)

    /** Called when discovery removes a worker. */
    fun onUnlisted(workerId: String): Unit = register.onUnlisted(workerId)

    /** Called when the platform reports [workerId], or no worker if null, on the instance [instanceId]. */
    fun onInstanceListed(
        instanceId: String,
        workerId: String?,
    ): Unit = register.onInstanceListed(instanceId, workerId)

    /** Called with a complete list of [instances] that was requested at loop time [requestedAtMs]. */
    fun onInstancesListed(
        instances: List<Instance>,
        requestedAtMs: Long,
    ): Unit = register.onInstancesListed(instances, requestedAtMs)

    /** True while some worker that may have runs does not answer, so that a list of instances may tell that it has ended. */
    val hasSilentWorkers: Boolean get() = register.hasSilentWorkers

    /** Called when a list shows that this owner's order to the worker's instance has ended the worker and all its runs. */
    fun onWorkerTerminated(workerId: String): Unit = register.onTerminated(workerId)

    /** Queues a start of [task] on [worker]. The caller has checked that it may run there. */
    fun start(
        task: TaskRun,
        worker: WorkerView,
    ): Unit = orders.start(task, worker)

    /** Called when [worker] has rejected an order under [fence] that another part has sent. */
    fun onFenceRejected(
        worker: WorkerView,
        fence: Long,
    ): Unit = context.onFenceRejected(worker, fence)

    /** Requests the lists of [worker] now, also while a hold waits for a run to end. */
    fun requestLists(worker: WorkerView): Unit = holds.requestLists(worker)

    /** Stops the run of [task], which keeps its place on the worker until the worker no longer lists it. */
    fun stop(task: TaskRun): Unit = orders.stop(task)

    private fun onLists(
        worker: WorkerView,
        order: HoldOrder,
        sentAtMs: Long,
        lists: WorkerAnswer.Listed,
    ) {
        runLists.onListed(worker, order, sentAtMs, lists)
        onReport(worker)
    }

    private fun onOtherWorker(
        worker: WorkerView,
        sentTo: WorkerEntry,
    ): Unit = register.onOtherWorker(worker, sentTo)

    /** Ends all contact with workers, since the term has ended: nothing is sent any more. */
    fun close() {
        context.isOver = true
    }

    /** Frees the runs of silent workers whose leases have expired, removes unlisted ones and sends overdue holds. */
    fun tick() {
        for (worker in table.all.toList()) {
            register.endIfLeaseExpired(worker)
            holds.sendIfOverdue(worker)
        }
        inheritedLeases.findExpired(loop.nowMs) { table.find(it)?.leaseEndsAtMs }.forEach(register::markReconciled)
    }
}
