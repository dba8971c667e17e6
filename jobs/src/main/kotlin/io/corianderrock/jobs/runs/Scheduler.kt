/*
 * The scheduler of one ownership term: loads the state stored by earlier owners, reconciles it with the runs that
 * workers report, then accepts, places and completes jobs until the ownership is lost or released.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.accounts.AccountRules
import io.corianderrock.jobs.accounts.JobAccess
import io.corianderrock.jobs.contention.JobRanking
import io.corianderrock.jobs.contention.LoadAdmission
import io.corianderrock.jobs.contention.MemoryAdmission
import io.corianderrock.jobs.contention.RemainingGain
import io.corianderrock.jobs.entry.AdmissionPolicy
import io.corianderrock.jobs.fleet.DemandPeak
import io.corianderrock.jobs.fleet.FleetController
import io.corianderrock.jobs.fleet.InstanceOrders
import io.corianderrock.jobs.fleet.PoolDemand
import io.corianderrock.jobs.fleet.WaveDriver
import io.corianderrock.jobs.ownership.EarlierOwner
import io.corianderrock.jobs.ownership.OwnerElector
import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.ownership.OwnerSighting
import io.corianderrock.jobs.placement.ObjectiveOrder
import io.corianderrock.jobs.placement.Placer
import io.corianderrock.jobs.placement.RackWaits
import io.corianderrock.jobs.placement.RunTimeEstimator
import io.corianderrock.jobs.placement.WideTaskRoom
import io.corianderrock.jobs.placement.WorkerChoice
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoredRow
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.runtimes.RunTimeModel
import io.corianderrock.jobs.runtimes.RunTimeRecords
import io.corianderrock.jobs.runtimes.runTimeModelOf
import io.corianderrock.jobs.sharing.NoSharing
import io.corianderrock.jobs.sharing.PaceOrders
import io.corianderrock.jobs.sharing.SharingController
import io.corianderrock.jobs.state.JobSubmission
import kotlinx.serialization.builtins.ListSerializer

/**
 * Schedules all jobs while its entry holds the ownership recorded in [owner]. [onLost] is called when the ownership
 * is lost, not when it is released. All methods and callbacks run on the event loop.
 */
public class Scheduler(
    private val ports: SchedulerPorts,
    private val bounds: SchedulerBounds,
    private val owner: OwnerRow,
    ownerVersion: Long,
    private val earlier: EarlierOwner,
    private val settings: SchedulingSettings = SchedulingSettings(),
    private val onLost: () -> Unit,
) {
    private val loop = ports.loop
    private val log = ports.log
    private val storeClock = StoreClock(loop)
    private val tables = storeClock.observing(ports.tables)
    private val committer = Committer(loop, tables, log, owner, ownerVersion, ::earlierOrdersWindowMs, ::onOwnershipLost)
    private val runTimeModel: RunTimeModel = runTimeModelOf(settings.runTimes)
    private val runTimes = RunTimeEstimator(runTimeModel, predictsEnds = settings.runTimes == RunTimeSource.LEARNED)
    private val runTimeRecords = RunTimeRecords(loop, log, runTimeModel) { key, value -> committer.put(key, value = value) }
    private val registry = JobRegistry(loop, committer, log)
    private val driver =
        WorkerDriver(
            loop = loop,
            link = ports.workers,
            committer = committer,
            registry = registry,
            log = log,
            epoch = owner.epoch,
            longestLeaseMs = bounds.longestLeaseMs,
            mayOrder = ::mayOrder,
            onChange = ::requestPlacement,
            onFenced = ::onFenced,
            onRunEnd = runTimeRecords::observe,
            speedModel = runTimeModel.takeIf { settings.judgesWorkerSpeed },
            mayStart = { mayOrder() && inbox.isFresh },
            finder = { id, onResult -> inbox.find(id) { onResult(it !is JobInbox.Lookup.Unknown) } },
            onReport = { sharing?.onReport(it) },
        )
    private val sharing: SharingController? = if (settings.sharesServingWorkers) sharingController() else null
    private val gain = RemainingGain(loop, runTimes, runTimeModel)
    private val accountRules = AccountRules(loop, log, ports.configuration, bounds, registry, driver, ::capacityShortageMs)

    /** The accounts' policy comes last: it meters what the others admit. */
    private val admissionPolicies: List<AdmissionPolicy> =
        listOfNotNull(
            MemoryAdmission(registry, log, bounds.taskCapacity, ::backlogMs),
            if (settings.refusesHopelessJobs) LoadAdmission(loop, registry, gain, log, driver::attainableCores) else null,
            accountRules.admission,
        )
    private val order = accountRules.share(if (settings.ranksByRemainingGain) JobRanking(loop, gain, log) else ObjectiveOrder)
    private val choice = WorkerChoice(loop, runTimes, settings.packsLongRunningTasks, sharing ?: NoSharing)
    private val placer =
        Placer(
            loop = loop,
            registry = registry,
            driver = driver,
            runTimes = runTimes,
            advice = ports.advice,
            log = log,
            mayOrder = ::mayOrder,
            order = order,
            startLimit = accountRules.startLimit,
            choice = choice,
            rackWaits = if (settings.waitsForPreferredRack) RackWaits(loop, runTimes, choice, bounds.remoteFactor) else null,
            wideTaskRoom = if (settings.keepsRoomForWideTasks) WideTaskRoom(loop, choice, log) else null,
            poolShares = accountRules.poolShares,
            onAdvice = ::requestPlacement,
        )
    private val demand = PoolDemand(loop, registry, runTimes, accountRules.demandLimit, settings.estimatesInheritedDemand)
    private val instanceOrders =
        InstanceOrders(
            loop = loop,
            committer = committer,
            log = log,
            owner = owner,
            isSameEntry = earlier.isSameEntry,
            storeClock = storeClock,
            keepMs = bounds.instanceLeaseMs + TAKEOVER_MARGIN_MS,
            inheritedUntilMs = earlier.ordersEndMs(INSTANCE_ORDER_FRESHNESS_MS) + bounds.instanceLeaseMs + TAKEOVER_MARGIN_MS,
        )
    private val fleet =
        FleetController(
            loop = loop,
            service = ports.instances,
            driver = driver,
            demand = demand,
            log = log,
            orders = instanceOrders,
            token = owner.epoch,
            capacityShortageMs = ::capacityShortageMs,
            configuration = ports.configuration,
            mayOrder = ::mayOrderInstances,
            settings = settings,
        )
    private val waveDriver = WaveDriver(loop, fleet, ports.tables, committer, log, ports.waves)
    private val jobLoader = JobLoader(registry)
    private val storedTables =
        StoredTables(loop, tables, log, includesRunTimes = settings.runTimes == RunTimeSource.LEARNED) { isClosed }
    private val earlyCancellations = EarlyCancellations(loop, committer, log)
    private val inbox = JobInbox(loop, tables, registry, earlyCancellations, committer, log, earlier.existed) { isClosed }
    private val acceptance = JobAcceptance(registry, inbox, admissionPolicies, tables.limits)
    private val cancellation = JobCancellation(loop, registry, inbox, earlyCancellations) { isClosed }
    private var isLoaded = false
    private var isClosed = false
    private var isPlacementRequested = false
    private val poolsToPlace = HashSet<String>()
    private var isEveryPoolToPlace = false
    private var lastPassMs = 0L
    private var fencedAtMs = Long.MIN_VALUE
    private var tickCount = 0L

    /** Loads the stored state, if there was an earlier owner, and starts scheduling. */
    public fun start() {
        registry.onAccepted = { job ->
            accountRules.admission.onAccepted(job)
            demand.onAccepted(job)
            requestPlacement(job.queue.pool)
            if (earlyCancellations.covers(job.submission)) registry.cancel(job) {}
        }
        fleet.sizer.onPeakStarted = { peaks -> committer.put(DEMAND_PEAKS_KEY) { storedJson.encodeToString(DEMAND_PEAKS, peaks) } }
        if (earlier.existed) storedTables.read(jobLoader, ::restore) else onLoaded()
        tick()
    }

    /** Called when discovery adds or changes [entry]. */
    public fun onWorkerListed(entry: WorkerEntry) {
        if (isClosed) return
        driver.onListed(entry)
        fleet.onWorkerListed(entry)
    }

    /** Called when discovery removes [workerId]. */
    public fun onWorkerUnlisted(workerId: String) {
        if (!isClosed) driver.onUnlisted(workerId)
    }

    /** Stores [submission] and schedules it; [onResult] is called once the job is stored, or at once if unavailable. */
    public fun submit(
        submission: JobSubmission,
        onResult: (SubmitResult) -> Unit,
    ): Unit = if (isServing) acceptance.submit(submission, onResult) else onResult(SubmitResult.Unavailable)

    /** False while the store answers no writes. Readable from any thread. */
    public val canWrite: Boolean get() = committer.canWrite

    /** Ends this term because a peer knows the owner [next] of a later epoch. */
    public fun supersede(next: OwnerSighting): Unit = committer.lose("superseded by epoch ${next.epoch} at ${next.address}")

    /** The state of the job [id] as far as it is stored. */
    public fun state(id: String): JobAnswer {
        if (!isLoaded || isClosed || !isOwnershipFresh(STATE_FRESHNESS_MS)) return JobAnswer(isAvailable = false)
        if (registry.isOnlyStored(id)) return JobAnswer(isAvailable = false)
        val job = registry.find(id)?.takeIf { it.isStored } ?: return JobAnswer(isAvailable = true)
        // A write of the final state without an answer may have been applied already: only the store can tell.
        if (job.state != job.visibleState && committer.isStoreUnhealthy) return JobAnswer(isAvailable = false)
        return JobAnswer(true, job.visibleState, job.queue.name, job.submission.account)
    }

    /**
     * Cancels the job [id] if it is within [access]; [onResult] is called once. A job that is being stored, or not known, is cancelled for
     * its submission, which may still arrive.
     */
    public fun cancel(
        id: String,
        access: JobAccess,
        onResult: (CancelResult) -> Unit,
    ): Unit = if (isServing) cancellation.cancel(id, access, onResult) else onResult(CancelResult.UNAVAILABLE)

    /** True while jobs can be accepted and cancelled. */
    private val isServing: Boolean get() = isLoaded && !isClosed && canWrite

    /** Time in milliseconds until a cancellation that was refused with [CancelResult.TOO_MANY] can be held; 0 if it waits for the store. */
    public val cancellationRoomInMs: Long get() = earlyCancellations.roomInMs

    /** Number of jobs in the queue [queueName] of which no task has started; null if this scheduler is unavailable. */
    public fun pending(queueName: String): Int? = if (isLoaded && !isClosed) registry.pendingCount(queueName) else null

    /** Stops scheduling and releases the ownership; [onDone] is called once the release is stored or the ownership lost. */
    public fun release(onDone: () -> Unit) {
        close()
        committer.release(onDone)
    }

    private fun onOwnershipLost(reason: String) {
        log.write("ownership_lost", "epoch", owner.epoch, "reason", reason)
        close()
        onLost()
    }

    private fun close() {
        isClosed = true
        driver.close()
        earlyCancellations.close()
    }

    private fun isOwnershipFresh(withinMs: Long): Boolean =
        !isClosed && committer.ownership.confirmedAtMs > fencedAtMs && committer.ownership.ageMs < withinMs

    /** Called when a worker rejects this owner's fence. Suspends all orders until a write confirms the ownership again. */
    private fun onFenced() {
        val isFirstRejection = fencedAtMs < committer.ownership.confirmedAtMs
        if (isFirstRejection) log.write("fenced", "epoch", owner.epoch, "confirmedAgoMs", committer.ownership.ageMs)
        fencedAtMs = loop.nowMs
    }

    private fun sharingController(): SharingController {
        val paceOrders = PaceOrders(loop, ports.workers, log, ::mayOrder, driver::onFenceRejected)
        return SharingController(loop, log, DriverWorkers(driver, mayMove = { placer.hasOtherPlace(it) }), paceOrders)
    }

    /** Time in which all workers can carry out the work of the live jobs. */
    private fun backlogMs(): Double {
        val cores = registry.pools.sumOf(driver::attainableCores)
        return registry.live.sumOf { runTimes.remainingCoreMs(it) } / maxOf(cores, 1.0)
    }

    private fun capacityShortageMs(pool: String): Long = placer.capacityShortageMs(pool)

    private fun mayOrder(): Boolean = isOwnershipFresh(WORKER_ORDER_FRESHNESS_MS)

    private fun mayOrderInstances(): Boolean = isLoaded && isOwnershipFresh(INSTANCE_ORDER_FRESHNESS_MS)

    private fun earlierOrdersWindowMs(): Long =
        if (earlier.existed) maxOf(0, earlier.ordersEndMs(WORKER_ORDER_FRESHNESS_MS) - loop.nowMs) else 0

    private fun restore(rowsByTable: Map<Table, List<StoredRow>>) {
        val leases = rowsByTable.getValue(Table.WORKER_LEASES).mapNotNull { decodeStored(WorkerLeaseRow.serializer(), it.value) }
        driver.inherit(leases, earlier.ordersEndMs(WORKER_ORDER_FRESHNESS_MS) + driver.worstCaseLeaseMs)
        val waves = rowsByTable.getValue(Table.WAVES)
        waveDriver.load(waves)
        instanceOrders.load(rowsByTable.getValue(Table.INSTANCE_ORDERS))
        rowsByTable[Table.RUN_TIMES]?.forEach { runTimeRecords.load(it.value) }
        rowsByTable.getValue(Table.DEMAND_PEAKS).forEach { row -> decodeStored(DEMAND_PEAKS, row.value)?.let(fleet.sizer::load) }
        earlyCancellations.load(rowsByTable.getValue(Table.EARLY_CANCELLATIONS))
        registry.live.filter { earlyCancellations.covers(it.submission) }.forEach { registry.cancel(it) {} }
        // Before any task starts: a job may have been cancelled while there was no owner.
        rowsByTable.getValue(Table.INBOX).forEach(inbox::process)
        onLoaded()
        log.write(
            "owner_loaded",
            "epoch",
            owner.epoch,
            "jobs",
            registry.live.size,
            "leases",
            leases.size,
            "waves",
            waves.size,
            "endedNotLoaded",
            jobLoader.notLoadedCount,
        )
    }

    private fun onLoaded() {
        isLoaded = true
        driver.open()
        requestPlacement(null)
    }

    /** Requests a placement pass over [pool], or over all pools if null. */
    private fun requestPlacement(pool: String?) {
        if (!isLoaded || isClosed) return
        if (pool == null) isEveryPoolToPlace = true else poolsToPlace.add(pool)
        if (isPlacementRequested) return
        isPlacementRequested = true
        loop.after(maxOf(PLACEMENT_DELAY_MS, lastPassMs * PASS_PAUSE_FACTOR)) {
            isPlacementRequested = false
            if (!isClosed && inbox.isFresh) placeRequested()
        }
    }

    private fun placeRequested() {
        val startMs = loop.nowMs
        accountRules.beginPass()
        placer.placeWaitingTasks(if (isEveryPoolToPlace) registry.pools else poolsToPlace)
        isEveryPoolToPlace = false
        poolsToPlace.clear()
        lastPassMs = loop.nowMs - startMs
    }

    private fun tick() {
        if (isClosed) return
        try {
            runTick()
        } catch (e: RuntimeException) {
            // The state may be inconsistent now. The next term rebuilds it from the store and the workers.
            log.write("tick_failed", "epoch", owner.epoch, "error", e, "at", e.stackTrace.firstOrNull())
            committer.lose("unexpected error in a tick: $e")
            return
        }
        loop.after(TICK_MS) { tick() }
    }

    private fun runTick() {
        tickCount++
        committer.renewIfDue()
        if (isLoaded) {
            registry.addDueOccurrences()
            driver.tick()
            sharing?.tick()
            if (tickCount % FLEET_TICK_INTERVAL == 0L) {
                fleet.tick()
                waveDriver.tick()
            }
            inbox.readIfDue()
            registry.retention.deleteIfDue()
            earlyCancellations.tick()
            if (tickCount % PLACEMENT_TICK_INTERVAL == 0L) requestPlacement(null)
        }
    }

    private companion object {
        val DEMAND_PEAKS = ListSerializer(DemandPeak.serializer())
        val DEMAND_PEAKS_KEY = RowKey(Table.DEMAND_PEAKS, "all")

        /** Greatest age of the last confirmed write at which orders to workers are sent; the next owner waits as long. */
        const val WORKER_ORDER_FRESHNESS_MS = OwnerElector.LONGEST_ORDER_FRESHNESS_MS

        /** Greatest age of the last confirmed write at which orders to instances are sent; the next owner waits as long. */
        const val INSTANCE_ORDER_FRESHNESS_MS = 1_500L

        /** Margin added to the time between instance orders of two owners: covers an order's timeout and network delays. */
        const val TAKEOVER_MARGIN_MS = 1_100L

        /**
         * Greatest age of the last confirmed write at which job states are answered from memory: an owner that was suspended
         * must not report states older than those that the next owner has reported.
         */
        const val STATE_FRESHNESS_MS = OwnerElector.SOONEST_TAKEOVER_MS - 50L

        /** Interval between checks of the ownership renewal, worker leases and pool sizes. */
        const val TICK_MS = 50L

        /** Delay before a placement pass, which batches ended runs and arrivals: 1% of a short task's run time. */
        const val PLACEMENT_DELAY_MS = 8L

        /** A pass is followed by a pause of at least this many times its length, so that passes never keep the loop from orders. */
        const val PASS_PAUSE_FACTOR = 4L

        /** Ticks between two passes over all pools, which find workers that have become usable by the passing of time: 200 ms. */
        const val PLACEMENT_TICK_INTERVAL = 4L

        /** Ticks between two updates of the fleet: 100 ms, short compared to the 1.5 s that a move takes. */
        const val FLEET_TICK_INTERVAL = 2L
    }
}
