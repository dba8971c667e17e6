/*
 * Assembles one daemon from its settings and runs it until it is stopped.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.NS_PER_MS
import io.corianderrock.coordination.burn.BurnCounters
import io.corianderrock.coordination.burn.BurnStore
import io.corianderrock.coordination.claim.AlwaysGrantedClaims
import io.corianderrock.coordination.claim.ClaimOwner
import io.corianderrock.coordination.claim.RoutedClaims
import io.corianderrock.coordination.configuration.ConfigurationStore
import io.corianderrock.coordination.fleet.EntryRow
import io.corianderrock.coordination.fleet.SeatRegistry
import io.corianderrock.coordination.lease.ControllerLease
import io.corianderrock.coordination.maintenance.Controller
import io.corianderrock.coordination.maintenance.OperatorActions
import io.corianderrock.coordination.record.AuditRecord
import io.corianderrock.coordination.request.DelayedExecutor
import io.corianderrock.coordination.request.Header
import io.corianderrock.coordination.request.RequestPipeline
import io.corianderrock.coordination.request.ServiceDirectory
import io.corianderrock.coordination.request.plus
import io.corianderrock.protocol.ServiceStatus
import io.corianderrock.protocol.StatusAnswer
import io.corianderrock.protocol.WorkerStatus
import io.corianderrock.protocol.contract.ContractHeaders
import io.corianderrock.transport.ClientLimits
import io.corianderrock.transport.EventLog
import io.corianderrock.transport.HttpServer
import io.corianderrock.transport.ListenAddress
import io.corianderrock.transport.OkHttpUpstreamClient
import io.corianderrock.transport.PeerClient
import io.corianderrock.transport.PeerServer
import io.corianderrock.transport.PlatformClient
import io.corianderrock.transport.ServerLimits
import io.corianderrock.transport.eq
import io.corianderrock.transport.newHttpClient
import java.util.UUID
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** One running daemon. Construction starts it; throws `ListenException` when an address is taken. */
public class Daemon(
    private val settings: DaemonSettings,
    private val clock: Clock = Clock.SYSTEM,
    policies: DaemonPolicies = DaemonPolicies(clock),
) : AutoCloseable,
    DaemonView {
    private val log = EventLog("daemon")
    private val self = settings.instanceId
    private val timers: ScheduledExecutorService = Executors.newScheduledThreadPool(TIMER_THREADS, ::daemonThread)
    private val background = Executors.newFixedThreadPool(BACKGROUND_THREADS, ::daemonThread)
    private val httpClient = newHttpClient(ClientLimits(connectTimeoutMs = settings.limits.connectTimeoutMs))
    private val platform = PlatformClient(httpClient, settings.platform.url, settings.platform.callTimeoutMs)
    private val metrics = DaemonMetrics()
    private val record = AuditRecord(platform)
    private val store = ConfigurationStore(platform, record)
    private val seats: SeatHolder = newSeatHolder()
    private val directory =
        ServiceDirectory(
            clock = clock,
            policy = policies.scheduling,
            healthLimits = policies.health,
            timer = DelayedExecutor { delayNs, action -> timers.schedule(action, delayNs, TimeUnit.NANOSECONDS) },
            slotLimit = seats::shareOf,
        )
    private val sync: FleetSync =
        FleetSync(platform, store, directory, clock, settings.dataCentre, metrics::onPlatformFailure) { network.spread(it) }
    private val claimOwner =
        ClaimOwner(platform, clock, self + "/" + UUID.randomUUID(), self, policies.claims, { sync.endedAtMs(it) }, ::newId)
    private val claimWork = ClaimWork(claimOwner) { ClaimOwners.choose(sync.entries, self) }
    private val peerClient = PeerClient({ id -> sync.entries.firstOrNull { it.id == id }?.peersAddress }, settings.peerToken)
    private val peerServer = PeerServer.start(listen(settings.peers), settings.peerToken, PeerHandler(claimOwner, sync, directory))
    private val network: PeerNetwork = newPeerNetwork()
    private val control = newControlLoop()
    private val burnCounters = BurnCounters(clock)
    private val burnWork = BurnWork(burnCounters, BurnStore(platform, claimOwner.processId, ::newId), clock) { sync.configuration }
    private val pipeline = newPipeline(policies)

    @Volatile
    private var isLeaving = false

    @Volatile
    private var isStopping = false

    private val callers = startCallers()
    private val operators = startOperators()

    /** True while claims on idempotency keys are granted without the platform. */
    public val grantsFromMemory: Boolean get() = claimOwner.isWriteBehind

    /** The number of claims that are not yet in the platform's table. */
    public val unloggedClaims: Int get() = claimOwner.log.pendingCount

    /** The number of ranges of the key space whose owner this entry knows. */
    public val routableClaimRanges: Int get() = claimOwner.lastScannedRanges.values.count { it.owner.isNotEmpty() }

    /** The id of this entry. */
    public val instanceId: String get() = self

    override val isReady: Boolean get() = !isLeaving && directory.isReady && seats.isSeated

    /** The ports in use, for callers of the constructor that asked for free ones. */
    public val ports: DaemonPorts get() = DaemonPorts(callers.port, operators.port, peerServer.port)

    init {
        metrics.watch(directory)
        metrics.watch(claimOwner)
        metrics.watch(burnWork)
        every(settings.platform.pollIntervalMs) { pollPlatform() }
        every(CONTROL_INTERVAL_MS) { control.tick() }
        every(CLAIM_INTERVAL_MS) { claimWork.tick() }
        every(SWEEP_INTERVAL_MS) { directory.sweep() }
        every(BURN_INTERVAL_MS) { saveBurn() }
        claimWork.start()
        log.info("started", "instance" eq self, "callers" eq callers.port, "operators" eq operators.port, "peers" eq peerServer.port)
    }

    /** True while this entry may send new work to [worker]. */
    public fun sendsTo(worker: String): Boolean = !directory.isClosed(worker)

    override fun status(): StatusAnswer =
        StatusAnswer(
            entry = self,
            dataCentre = settings.dataCentre,
            isReady = isReady,
            isController = control.isController,
            configurationVersion = sync.configuration.version,
            platformAgeMs = sync.platformAgeMs,
            entries = sync.entries.map { it.id }.sorted(),
            services =
                directory.services.map {
                    ServiceStatus(
                        it.spec.name,
                        it.spec.pool,
                        it.scheduler.waitingCount,
                        it.scheduler.inFlightCount,
                    )
                },
            workers = workerStatuses(),
        )

    /**
     * Stops gracefully: says that it is not ready and asks callers to close their connections, then refuses new requests,
     * finishes those in flight, and hands lease, claims and seat back.
     */
    override fun close() {
        isLeaving = true
        log.info("leaving", "inFlight" eq callers.inFlightCount)
        TimeUnit.MILLISECONDS.sleep(settings.limits.leaveNoticeMs)
        isStopping = true
        log.info("stopping", "inFlight" eq callers.inFlightCount)
        awaitIdle()
        timers.shutdown()
        timers.awaitTermination(settings.platform.callTimeoutMs, TimeUnit.MILLISECONDS)
        control.release()
        burnWork.save()
        claimWork.close()
        seats.leave(::entryRow)
        val unfinished = callers.inFlightCount
        callers.close()
        operators.close()
        peerServer.close()
        peerClient.close()
        background.shutdown()
        log.info("stopped", "unfinished" eq unfinished)
    }

    private fun saveBurn() {
        burnWork.save()
        if (control.isController) burnWork.deleteExpired()
    }

    private fun awaitIdle() {
        val deadlineNs = clock.monotonicNs() + settings.limits.stopTimeoutMs * NS_PER_MS
        while (callers.inFlightCount > 0 && clock.monotonicNs() < deadlineNs) {
            TimeUnit.MILLISECONDS.sleep(IDLE_POLL_MS)
        }
    }

    private fun pollPlatform() {
        sync.poll()
        if (seats.takeIfNeeded(::entryRow, sync::poll)) sync.route()
        if (!directory.isReady) network.learnConfiguration()?.let(sync::offer)
    }

    private fun entryRow(): EntryRow =
        EntryRow(
            id = self,
            dataCentre = settings.dataCentre,
            callersAddress = "${settings.callers.host}:${callers.port}",
            peersAddress = "${settings.peers.host}:${peerServer.port}",
            seat = 0,
        )

    private fun newSeatHolder(): SeatHolder {
        val seatCount = settings.limits.entriesPerDataCentre
        return SeatHolder(SeatRegistry(platform, settings.dataCentre, seatCount, { sync.endedAtMs(it) != null }, ::newId), seatCount)
    }

    private fun newPeerNetwork(): PeerNetwork =
        PeerNetwork(
            selfInstance = self,
            dataCentre = settings.dataCentre,
            entries = { sync.entries },
            client = peerClient,
            upstream = OkHttpUpstreamClient(httpClient, extraHeaders = hopHeaders()),
            clock = clock,
            background = background,
        )

    private fun newControlLoop(): ControlLoop {
        val controller =
            Controller(
                platform = platform,
                clock = clock,
                instanceId = self,
                drainProbe = PeerDrainProbe(peerClient),
                instanceProbe = HttpInstanceProbe(OkHttpUpstreamClient(httpClient), clock, ::newId),
                unhealthy = ::unhealthyWorkers,
                newId = ::newId,
                listener = StepLog,
            )
        val lease = ControllerLease(platform, clock, self, newId = ::newId)
        return ControlLoop(clock, lease, controller) { sync.configuration.takeIf { it.version > 0 }?.declarations }
    }

    /** The workers of this data centre that this entry has ejected or knows to leave. */
    private fun unhealthyWorkers(): Set<String> {
        val ejected = directory.workerStates.filter { it.health.isEjected }.map { it.route.id }
        return ejected.toSet() + sync.leavingWorkers()
    }

    private fun newPipeline(policies: DaemonPolicies): RequestPipeline =
        RequestPipeline(
            clock = clock,
            services = directory,
            upstream = OkHttpUpstreamClient(httpClient, onLeaving = LeavingWatch(sync, clock, self) { network.spread(it) }),
            claims = if (policies.claimsKeys) RoutedClaims(claimOwner, self, peerClient, background) else AlwaysGrantedClaims,
            overflow = network,
            retryLimits = policies.retries,
            observer = metrics + burnCounters,
        )

    private fun hopHeaders(): List<Header> =
        listOf(Header(ContractHeaders.HOPS, "1"), Header(ContractHeaders.PEER_TOKEN, settings.peerToken.reveal()))

    private fun startCallers(): HttpServer {
        val limits =
            ServerLimits(
                maxBodyBytes = settings.limits.maxBodyBytes,
                maxConcurrentRequests = settings.limits.maxConcurrentRequests,
                ioThreads = settings.limits.ioThreads,
            )
        val handler = EntryHandler(pipeline, clock, self, settings.peerToken, { isLeaving }) { isStopping }
        return HttpServer.start(listen(settings.callers), limits, callerRefusals(), handler)
    }

    private fun startOperators(): HttpServer {
        val operatorActions = OperatorActions(platform, clock, ::unhealthyWorkers, ::newId)
        val explainer = Explainer({ sync.entries }, peerClient::drain)
        val fleetOperations = FleetOperations(operatorActions, explainer, burnWork, record) { sync.configuration.declarations }
        val handler = OperatorHandler(this, sync, store, metrics, clock, settings.operatorTokens, fleetOperations)
        val limits = ServerLimits(maxBodyBytes = OPERATOR_BODY_BYTES, maxConcurrentRequests = OPERATOR_CONCURRENCY, ioThreads = 1)
        return HttpServer.start(listen(settings.operators), limits, handler = handler.handler())
    }

    private fun workerStatuses(): List<WorkerStatus> {
        val fleet = sync.fleet
        val states = directory.workerStates.associateBy { it.route.id }
        return fleet.rows.values.sortedBy { it.id }.map { row ->
            WorkerStatus(
                row = row,
                listed = fleet.listed[row.id]?.state?.name ?: "UNLISTED",
                usedSlots = states[row.id]?.usedSlots ?: 0,
                isEjected = states[row.id]?.health?.isEjected ?: false,
            )
        }
    }

    private fun every(
        intervalMs: Long,
        action: () -> Unit,
    ) {
        timers.scheduleWithFixedDelay({ guarded(action) }, 0, intervalMs, TimeUnit.MILLISECONDS)
    }

    private fun guarded(action: () -> Unit) {
        try {
            action()
        } catch (e: RuntimeException) {
            log.error("background-task-failed", e)
        }
    }

    private fun newId(): String = self + "-" + UUID.randomUUID()

    private companion object {
        const val TIMER_THREADS = 4
        const val BACKGROUND_THREADS = 4
        const val CONTROL_INTERVAL_MS = 500L
        const val CLAIM_INTERVAL_MS = 1_000L
        const val SWEEP_INTERVAL_MS = 10L
        const val BURN_INTERVAL_MS = 60_000L
        const val IDLE_POLL_MS = 10L
        const val OPERATOR_BODY_BYTES = 16L * 1024 * 1024
        const val OPERATOR_CONCURRENCY = 16

        fun daemonThread(task: Runnable): Thread = Thread(task, "background").apply { isDaemon = true }

        fun listen(settings: ListenSettings): ListenAddress = ListenAddress(settings.host, settings.port)
    }
}

/** The ports that a daemon listens on. */
public data class DaemonPorts(
    val callers: Int,
    val operators: Int,
    val peers: Int,
)
