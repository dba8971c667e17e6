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
import io.corianderrock.transport.PeerCallFailure
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

/** A running daemon. The constructor starts it, and throws `ListenException` when an address is already in use. */
public class Daemon(
    private val settings: DaemonSettings,
    private val clock: Clock = Clock.SYSTEM,
    policies: DaemonPolicies = DaemonPolicies(clock),
) : AutoCloseable,
    DaemonView {
    private val log = EventLog("daemon")
    private val self = settings.instanceId
    private val timers: ScheduledExecutorService = Executors.newScheduledThreadPool(TIMER_THREAD_COUNT, ::newBackgroundThread)
    private val background = Executors.newFixedThreadPool(BACKGROUND_THREAD_COUNT, ::newBackgroundThread)
    private val clientLimits = ClientLimits(connectTimeoutMs = settings.limits.connectTimeoutMs)
    private val httpClient = newHttpClient(clientLimits)
    private val platform = PlatformClient(settings.platform.url, settings.platform.callTimeoutMs, clientLimits)
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
        FleetSync(platform, store, directory, clock, settings.dataCentre, metrics::onPlatformFailure) { network.broadcast(it) }
    private val claimOwner =
        ClaimOwner(
            table = platform,
            clock = clock,
            processId = self + "/" + UUID.randomUUID(),
            selfInstance = self,
            limits = policies.claims,
            terminatedInstances = { sync.goneSinceMs(it) },
            newId = ::newId,
            commitObserver = SlowCommitLog(policies.claims),
        )
    private val claimOwnershipLoop = ClaimOwnershipLoop(claimOwner) { ClaimOwnership.choose(sync.entries, self) }
    private val peerClient =
        PeerClient({ id -> sync.entries.firstOrNull { it.id == id }?.peersAddress }, settings.peerToken, onFailure = ::logPeerCallFailure)
    private val ownerConnections =
        ClaimOwnerConnections(
            clock = clock,
            selfInstance = self,
            ranges = { claimOwner.lastScannedRanges.values },
            entries = { sync.entries.map { it.id } },
            connect = peerClient::connect,
        )
    private val peerServer = PeerServer.start(listenAddress(settings.peers), settings.peerToken, PeerHandler(claimOwner, sync, directory))
    private val network: PeerNetwork = newPeerNetwork()
    private val control = newControlLoop()
    private val burnCounters = BurnCounters(clock)
    private val burnReporter = BurnReporter(burnCounters, BurnStore(platform, claimOwner.processId, ::newId), clock) { sync.configuration }
    private val pipeline = newPipeline(policies)

    @Volatile
    private var isLeaving = false

    @Volatile
    private var isStopping = false

    private val callerServer = startCallerServer()
    private val operatorServer = startOperatorServer()

    /** True while idempotency claims are granted from memory and written to the platform later. */
    public val isClaimLogWriteBehind: Boolean get() = claimOwner.isWriteBehind

    /** The number of granted claims that are not yet written to the platform's table. */
    public val pendingClaims: Int get() = claimOwner.log.pendingCount

    /** The number of claim ranges for which the last scan of the platform showed an owner. */
    public val routableClaimRanges: Int get() = claimOwner.lastScannedRanges.values.count { it.owner.isNotEmpty() }

    /** The instance id of this entry. */
    public val instanceId: String get() = self

    override val isReady: Boolean get() = !isLeaving && directory.isReady && seats.isSeated && ownerConnections.haveBeenReady

    /** The bound ports; they differ from the settings where these ask for port 0. */
    public val ports: DaemonPorts get() = DaemonPorts(callerServer.port, operatorServer.port, peerServer.port)

    init {
        metrics.watch(directory)
        metrics.watch(claimOwner)
        metrics.watch(burnReporter)
        scheduleEvery(settings.platform.pollIntervalMs) { pollPlatform() }
        scheduleEvery(CONTROL_INTERVAL_MS) { control.tick() }
        scheduleEvery(CLAIM_OWNERSHIP_INTERVAL_MS) { claimOwnershipLoop.tick() }
        scheduleEvery(OWNER_CONNECTION_INTERVAL_MS) { ownerConnections.tick() }
        scheduleEvery(SWEEP_INTERVAL_MS) { directory.sweep() }
        scheduleEvery(BURN_SAVE_INTERVAL_MS) { saveBurnCounters() }
        claimOwnershipLoop.start()
        log.info(
            "started",
            "instance" eq self,
            "callers" eq callerServer.port,
            "operators" eq operatorServer.port,
            "peers" eq peerServer.port,
        )
    }

    /** True while this entry may dispatch new requests to [worker]. */
    public fun mayDispatchTo(worker: String): Boolean = !directory.isClosed(worker)

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
     * Shuts down gracefully. For `leaveNoticeMs` the readiness check fails and callers are asked to close their
     * connections; then new requests are refused, those in flight are awaited for up to `stopTimeoutMs`, and the
     * controller lease, the claim ranges and the seat are released.
     */
    override fun close() {
        isLeaving = true
        log.info("leaving", "inFlight" eq callerServer.inFlightCount)
        TimeUnit.MILLISECONDS.sleep(settings.limits.leaveNoticeMs)
        isStopping = true
        log.info("stopping", "inFlight" eq callerServer.inFlightCount)
        awaitIdle()
        timers.shutdown()
        timers.awaitTermination(settings.platform.callTimeoutMs, TimeUnit.MILLISECONDS)
        control.release()
        burnReporter.save()
        claimOwnershipLoop.close()
        seats.release(::entryRow)
        val unfinished = callerServer.inFlightCount
        callerServer.close()
        operatorServer.close()
        peerServer.close()
        peerClient.close()
        background.shutdown()
        log.info("stopped", "unfinishedRequests" eq unfinished)
    }

    private fun saveBurnCounters() {
        burnReporter.save()
        if (control.isController) burnReporter.deleteExpired()
    }

    private fun awaitIdle() {
        val deadlineNs = clock.monotonicNs() + settings.limits.stopTimeoutMs * NS_PER_MS
        while (callerServer.inFlightCount > 0 && clock.monotonicNs() < deadlineNs) {
            TimeUnit.MILLISECONDS.sleep(IDLE_POLL_MS)
        }
    }

    private fun pollPlatform() {
        sync.poll()
        if (seats.acquireIfNeeded(::entryRow, sync::poll)) sync.updateRoutingTable()
        if (!directory.isReady) network.fetchLatestConfiguration()?.let(sync::offer)
    }

    private fun entryRow(): EntryRow =
        EntryRow(
            id = self,
            dataCentre = settings.dataCentre,
            callersAddress = "${settings.callers.host}:${callerServer.port}",
            peersAddress = "${settings.peers.host}:${peerServer.port}",
            seat = 0,
        )

    private fun newSeatHolder(): SeatHolder {
        val seatCount = settings.limits.entriesPerDataCentre
        return SeatHolder(SeatRegistry(platform, settings.dataCentre, seatCount, { sync.goneSinceMs(it) != null }, ::newId), seatCount)
    }

    private fun newPeerNetwork(): PeerNetwork =
        PeerNetwork(
            selfInstance = self,
            dataCentre = settings.dataCentre,
            entries = { sync.entries },
            client = peerClient,
            upstream = OkHttpUpstreamClient(httpClient, extraHeaders = peerHopHeaders()),
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
                listener = FleetChangeLogger,
            )
        val lease = ControllerLease(platform, clock, self, newId = ::newId)
        return ControlLoop(clock, lease, controller) { sync.configuration.takeIf { it.version > 0 }?.declarations }
    }

    /** The workers of this data centre that this entry has ejected or that are announced as leaving. */
    private fun unhealthyWorkers(): Set<String> {
        val ejected = directory.workerStates.filter { it.health.isEjected }.map { it.route.id }
        return ejected.toSet() + sync.leavingWorkers()
    }

    private fun newPipeline(policies: DaemonPolicies): RequestPipeline =
        RequestPipeline(
            clock = clock,
            services = directory,
            upstream = OkHttpUpstreamClient(httpClient, onLeaving = LeavingBroadcaster(sync, clock, self) { network.broadcast(it) }),
            claims = if (policies.usesIdempotencyClaims) routedClaims() else AlwaysGrantedClaims,
            overflow = network,
            retryLimits = policies.retries,
            observer = metrics + burnCounters,
        )

    private fun routedClaims(): RoutedClaims =
        RoutedClaims(claimOwner, self, peerClient, background, clock) { failure, range, peer, tookMs ->
            log.warn("claim-failed", "cause" eq failure, "range" eq range, "peer" eq peer, "tookMs" eq tookMs)
        }

    private fun logPeerCallFailure(failure: PeerCallFailure) {
        log.warn(
            "peer-call-failed",
            "peer" eq failure.instance,
            "method" eq failure.method,
            "cause" eq failure.cause,
            "tookMs" eq failure.tookMs,
        )
    }

    private fun peerHopHeaders(): List<Header> =
        listOf(Header(ContractHeaders.HOPS, "1"), Header(ContractHeaders.PEER_TOKEN, settings.peerToken.reveal()))

    private fun startCallerServer(): HttpServer {
        val limits =
            ServerLimits(
                maxBodyBytes = settings.limits.maxBodyBytes,
                maxConcurrentRequests = settings.limits.maxConcurrentRequests,
                ioThreads = settings.limits.ioThreads,
            )
        val handler = EntryHandler(pipeline, clock, self, settings.peerToken, { isLeaving }) { isStopping }
        return HttpServer.start(listenAddress(settings.callers), limits, callerRefusals(), handler)
    }

    private fun startOperatorServer(): HttpServer {
        val operatorActions = OperatorActions(platform, clock, ::unhealthyWorkers, ::newId)
        val explainer = Explainer({ sync.entries }, peerClient::drain)
        val fleetOperations = FleetOperations(operatorActions, explainer, burnReporter, record) { sync.configuration.declarations }
        val handler = OperatorHandler(this, sync, store, metrics, clock, settings.operatorTokens, fleetOperations)
        val limits =
            ServerLimits(maxBodyBytes = OPERATOR_MAX_BODY_BYTES, maxConcurrentRequests = OPERATOR_MAX_CONCURRENT_REQUESTS, ioThreads = 1)
        return HttpServer.start(listenAddress(settings.operators), limits, handler = handler.handler())
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

    private fun scheduleEvery(
        intervalMs: Long,
        action: () -> Unit,
    ) {
        timers.scheduleWithFixedDelay({ runLoggingFailure(action) }, 0, intervalMs, TimeUnit.MILLISECONDS)
    }

    private fun runLoggingFailure(action: () -> Unit) {
        try {
            action()
        } catch (e: RuntimeException) {
            log.error("background-task-failed", e)
        }
    }

    private fun newId(): String = self + "-" + UUID.randomUUID()

    private companion object {
        const val TIMER_THREAD_COUNT = 4
        const val BACKGROUND_THREAD_COUNT = 4
        const val CONTROL_INTERVAL_MS = 500L
        const val CLAIM_OWNERSHIP_INTERVAL_MS = 1_000L

        /** Short compared to the 1 s after which a scan shows a new owner: claims are sent to it from then on. */
        const val OWNER_CONNECTION_INTERVAL_MS = 100L
        const val SWEEP_INTERVAL_MS = 10L
        const val BURN_SAVE_INTERVAL_MS = 60_000L
        const val IDLE_POLL_MS = 10L
        const val OPERATOR_MAX_BODY_BYTES = 16L * 1024 * 1024
        const val OPERATOR_MAX_CONCURRENT_REQUESTS = 16

        fun newBackgroundThread(task: Runnable): Thread = Thread(task, "background").apply { isDaemon = true }

        fun listenAddress(settings: ListenSettings): ListenAddress = ListenAddress(settings.host, settings.port)
    }
}

/** The ports that the servers of a daemon are bound to. */
public data class DaemonPorts(
    val callers: Int,
    val operators: Int,
    val peers: Int,
)
