/*
 * The scheduler of one ownership: it loads what earlier owners have stored, learns from the workers what runs, and then
 * accepts, places and ends jobs until it loses the ownership.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.fleet.DemandPeak
import io.corianderrock.jobs.fleet.FleetController
import io.corianderrock.jobs.fleet.InstanceOrders
import io.corianderrock.jobs.fleet.PoolDemand
import io.corianderrock.jobs.fleet.WaveDriver
import io.corianderrock.jobs.ownership.EarlierOwner
import io.corianderrock.jobs.ownership.OwnerElector
import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.placement.Placer
import io.corianderrock.jobs.placement.RunTimeEstimator
import io.corianderrock.jobs.ports.AdviceService
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.InstanceService
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.ReadResult
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoredRow
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.ports.WorkerLink
import io.corianderrock.jobs.state.JobProgress
import io.corianderrock.jobs.state.JobState
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.JobsConfiguration
import io.corianderrock.jobs.state.MaintenanceWave
import kotlinx.serialization.builtins.ListSerializer

/** What the scheduler needs from outside. */
public class SchedulerPorts(
    public val loop: EventLoop,
    public val tables: JobTables,
    public val workers: WorkerLink,
    public val instances: InstanceService,
    public val advice: AdviceService,
    public val log: DecisionLog,
    public val configuration: () -> JobsConfiguration?,
    public val waves: () -> List<MaintenanceWave>,
)

/** Bounds that the platform sets. */
public data class SchedulerBounds(
    /** Two entries may not order one instance within this time of each other. */
    val instanceLeaseMs: Long = 3_000,
    /** The longest lease that workers grant. */
    val longestLeaseMs: Long = 6_000,
)

/** The answer to a submission. */
public sealed interface SubmitResult {
    /** The job is stored. */
    public data object Accepted : SubmitResult

    /** The job is not stored and never runs. */
    public data class Rejected(
        val reason: String,
        val retryAfterMs: Long,
    ) : SubmitResult

    /** This scheduler cannot answer; the store can. */
    public data object Unavailable : SubmitResult
}

/** The answer to a question about a job; [state] is null when no such job is known. */
public data class JobAnswer(
    val isAvailable: Boolean,
    val state: JobState? = null,
    val queueName: String? = null,
)

/** Schedules all jobs while its entry holds the ownership [owner]. All methods run on the event loop. */
public class Scheduler(
    private val ports: SchedulerPorts,
    private val bounds: SchedulerBounds,
    private val owner: OwnerRow,
    ownerVersion: Long,
    private val earlier: EarlierOwner,
    private val onLost: () -> Unit,
) {
    private val loop = ports.loop
    private val log = ports.log
    private val committer = Committer(loop, ports.tables, log, owner, ownerVersion, ::earlierOrdersWindowMs, ::lose)
    private val runTimes = RunTimeEstimator()
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
            onChange = ::requestPass,
            onFenced = ::onFenced,
            observeRunTime = runTimes::observe,
        )
    private val placer = Placer(loop, registry, driver, runTimes, ports.advice, log, ::mayOrder)
    private val demand = PoolDemand(loop, registry, runTimes)
    private val instanceOrdersFromMs =
        if (earlier.isSameEntry || !earlier.existed) {
            loop.nowMs
        } else {
            earlier.ordersEndMs(ORDER_FRESHNESS_MS) + bounds.instanceLeaseMs + TAKEOVER_MARGIN_MS
        }
    private val instanceOrders =
        InstanceOrders(loop, committer, log, bounds.instanceLeaseMs + TAKEOVER_MARGIN_MS, instanceOrdersFromMs)
    private val fleet =
        FleetController(
            loop = loop,
            service = ports.instances,
            driver = driver,
            demand = demand,
            log = log,
            orders = instanceOrders,
            token = owner.epoch,
            stuckForMs = placer::capacityShortageMs,
            configuration = ports.configuration,
            mayOrder = ::mayOrderInstances,
        )
    private val waveDriver = WaveDriver(loop, fleet, ports.tables, committer, log, ports.waves)
    private var isLoaded = false
    private var isClosed = false
    private var isPassRequested = false
    private var fencedAtMs = Long.MIN_VALUE
    private val inbox = Freshness(loop)
    private var inboxAskedAtMs = Long.MIN_VALUE / 2
    private var isReadingInbox = false
    private var tickCount = 0L

    /** Starts to load and to schedule. */
    public fun start() {
        registry.onAccepted = { job ->
            demand.onAccepted(job)
            requestPass()
        }
        fleet.sizer.onPeakStarted = { peaks -> committer.put(DEMAND_PEAKS_KEY) { storedJson.encodeToString(DEMAND_PEAKS, peaks) } }
        if (earlier.existed) load() else onLoaded()
        tick()
    }

    /** Discovery lists [entry]. */
    public fun onWorkerListed(entry: WorkerEntry) {
        if (!isClosed) driver.onListed(entry)
    }

    /** Discovery no longer lists [workerId]. */
    public fun onWorkerUnlisted(workerId: String) {
        if (!isClosed) driver.onUnlisted(workerId)
    }

    /** Stores [submission] and schedules it. */
    public fun submit(
        submission: JobSubmission,
        onResult: (SubmitResult) -> Unit,
    ) {
        if (!isLoaded || isClosed) {
            onResult(SubmitResult.Unavailable)
            return
        }
        registry.submit(submission) { onResult(SubmitResult.Accepted) }
    }

    /** Returns what callers may know of the job [id]. */
    public fun state(id: String): JobAnswer {
        if (!isLoaded || isClosed || !isOwnershipFresh(STATE_FRESHNESS_MS)) return JobAnswer(isAvailable = false)
        val job = registry.find(id)?.takeIf { it.isStored } ?: return JobAnswer(isAvailable = true)
        // A final state that is on its way to the store may be there already: only the store can tell.
        if (job.state != job.visibleState && committer.isInTrouble) return JobAnswer(isAvailable = false)
        return JobAnswer(true, job.visibleState, job.queue.name)
    }

    /** Cancels the job [id]; [onResult] gets false when no such job is known, null when this scheduler cannot tell. */
    public fun cancel(
        id: String,
        onResult: (Boolean?) -> Unit,
    ) {
        if (!isLoaded || isClosed) {
            onResult(null)
            return
        }
        val job = registry.find(id)?.takeIf { it.isStored }
        if (job == null) {
            onResult(false)
            return
        }
        registry.cancel(job) { onResult(true) }
    }

    /** Counts the jobs of a queue of which nothing has started; null when this scheduler cannot tell. */
    public fun pending(queueName: String): Int? = if (isLoaded && !isClosed) registry.pendingCount(queueName) else null

    /** Stops to order and gives the ownership back. */
    public fun release(onDone: () -> Unit) {
        isClosed = true
        committer.release(onDone)
    }

    private fun lose(reason: String) {
        log.write("ownership_lost", "epoch", owner.epoch, "reason", reason)
        isClosed = true
        onLost()
    }

    private fun isOwnershipFresh(withinMs: Long): Boolean =
        !isClosed && committer.ownership.confirmedAtMs > fencedAtMs && committer.ownership.ageMs < withinMs

    /** A worker knows a newer owner: nothing is ordered until a write shows whether that is so. */
    private fun onFenced() {
        val isNews = fencedAtMs < committer.ownership.confirmedAtMs
        if (isNews) log.write("fenced", "epoch", owner.epoch, "confirmedAgoMs", committer.ownership.ageMs)
        fencedAtMs = loop.nowMs
    }

    private fun mayOrder(): Boolean = isOwnershipFresh(ORDER_FRESHNESS_WORKERS_MS)

    private fun mayOrderInstances(): Boolean = isLoaded && isOwnershipFresh(ORDER_FRESHNESS_MS)

    private fun earlierOrdersWindowMs(): Long =
        if (earlier.existed) maxOf(0, earlier.ordersEndMs(ORDER_FRESHNESS_WORKERS_MS) - loop.nowMs) else 0

    private fun load() {
        val tables =
            listOf(Table.JOBS, Table.PROGRESS, Table.WORKER_LEASES, Table.WAVES, Table.INSTANCE_ORDERS, Table.DEMAND_PEAKS, Table.INBOX)
        val found = HashMap<Table, List<StoredRow>>()
        for (table in tables) {
            scan(table) { rows ->
                found[table] = rows
                if (found.size == tables.size) restore(found)
            }
        }
    }

    private fun scan(
        table: Table,
        onRows: (List<StoredRow>) -> Unit,
    ) {
        ports.tables.scan(table) { result ->
            if (isClosed) return@scan
            when (result) {
                is ReadResult.Rows -> onRows(result.rows)
                is ReadResult.Failed -> {
                    log.write("scan_failed", "table", table.id, "reason", result.reason)
                    loop.after(SCAN_RETRY_MS) { scan(table, onRows) }
                }
            }
        }
    }

    private fun restore(found: Map<Table, List<StoredRow>>) {
        val progress = found.getValue(Table.PROGRESS).associate { it.key.key to decodeStored(JobProgress.serializer(), it.value) }
        for (row in found.getValue(Table.JOBS)) {
            val submission = decodeStored(JobSubmission.serializer(), row.value)
            if (submission == null) {
                log.write("job_unreadable", "job", row.key.key)
                continue
            }
            registry.load(submission, progress[submission.id], isInherited = true)
        }
        val leases = found.getValue(Table.WORKER_LEASES).mapNotNull { decodeStored(WorkerLeaseRow.serializer(), it.value) }
        driver.inherit(leases, earlier.ordersEndMs(ORDER_FRESHNESS_WORKERS_MS) + driver.longestLeaseBoundMs)
        waveDriver.load(found.getValue(Table.WAVES))
        instanceOrders.load(found.getValue(Table.INSTANCE_ORDERS))
        found.getValue(Table.DEMAND_PEAKS).forEach { row -> decodeStored(DEMAND_PEAKS, row.value)?.let(fleet.sizer::load) }
        // Before anything starts: a job may have been cancelled while nobody owned.
        found.getValue(Table.INBOX).forEach(::takeFromInbox)
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
            found.getValue(Table.WAVES).size,
        )
    }

    private fun onLoaded() {
        inbox.confirm()
        isLoaded = true
        driver.open()
        requestPass()
    }

    private fun requestPass() {
        if (isPassRequested || !isLoaded || isClosed) return
        isPassRequested = true
        loop.after(PASS_DELAY_MS) {
            isPassRequested = false
            if (!isClosed && inbox.ageMs < INBOX_FRESHNESS_MS) placer.placeWaitingTasks()
        }
    }

    private fun tick() {
        if (isClosed) return
        tickCount++
        committer.renewIfDue()
        if (isLoaded) {
            registry.openDueOccurrences()
            driver.tick()
            if (tickCount % FLEET_TICKS == 0L) {
                fleet.tick()
                waveDriver.tick()
            }
            readInboxIfDue()
            if (tickCount % EXPIRY_TICKS == 0L) registry.dropExpired()
            requestPass()
        }
        loop.after(TICK_MS) { tick() }
    }

    /** Takes what entries stored on their own while they could not reach this one. */
    private fun readInboxIfDue() {
        if (isReadingInbox || loop.nowMs - inboxAskedAtMs < INBOX_INTERVAL_MS) return
        isReadingInbox = true
        val askedAt = loop.readClocks()
        inboxAskedAtMs = askedAt.loopMs
        ports.tables.scan(Table.INBOX) { result ->
            isReadingInbox = false
            if (isClosed || result !is ReadResult.Rows) return@scan
            inbox.confirm(askedAt)
            result.rows.forEach(::takeFromInbox)
        }
    }

    private fun takeFromInbox(row: StoredRow) {
        val note = InboxNote.of(row.key)
        if (registry.find(note.jobId)?.isStored == true) {
            settle(note)
            return
        }
        ports.tables.read(RowKey(Table.JOBS, note.jobId)) { result ->
            val stored = (result as? ReadResult.Rows)?.rows?.firstOrNull() ?: return@read
            val submission = decodeStored(JobSubmission.serializer(), stored.value) ?: return@read
            log.write("job_from_inbox", "job", note.jobId, "version", stored.version)
            registry.load(submission, progress = null, isInherited = false)
            settle(note)
        }
    }

    private fun settle(note: InboxNote) {
        val job = registry.find(note.jobId) ?: return
        val take = { committer.put(note.key) { null } }
        if (note.isCancel) registry.cancel(job) { take() } else take()
    }

    private companion object {
        val DEMAND_PEAKS = ListSerializer(DemandPeak.serializer())
        val DEMAND_PEAKS_KEY = RowKey(Table.DEMAND_PEAKS, "all")

        /** Orders to workers need a write confirmed within this time; the next owner waits for as long. */
        const val ORDER_FRESHNESS_WORKERS_MS = OwnerElector.LONGEST_ORDER_FRESHNESS_MS

        /** Orders to instances need a write confirmed within this time; the next owner waits for as long. */
        const val ORDER_FRESHNESS_MS = 1_500L

        /** Added to the time between orders of two owners: the time-out of an order, and delays on the way. */
        const val TAKEOVER_MARGIN_MS = 1_100L

        /** States are told from memory for this long after the last confirmed write. */
        const val STATE_FRESHNESS_MS = 2_500L

        /** Period of renewals, lease checks and pool sizes. */
        const val TICK_MS = 50L

        /** Pause before a pass, in which ends and arrivals collect; a hundredth of the run time of a short task. */
        const val PASS_DELAY_MS = 8L

        /** Pause after a scan that failed. */
        const val SCAN_RETRY_MS = 200L

        /** Nothing starts unless the inbox was read within this time: a cancel in it counts after 3 s. */
        const val INBOX_FRESHNESS_MS = 2_500L

        /** How often the inbox is read. */
        const val INBOX_INTERVAL_MS = 1_000L

        /** Ticks between two looks at the pools: 100 ms, small beside the 1.5 s of a move. */
        const val FLEET_TICKS = 2L

        /** Ticks between two deletions of expired jobs: 5 s. */
        const val EXPIRY_TICKS = 100L
    }
}
