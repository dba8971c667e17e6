/*
 * Assembles one daemon from its settings and runs it until it is stopped.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.NS_PER_MS
import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.Transaction
import io.corianderrock.coordination.claim.EveryKeyGranted
import io.corianderrock.coordination.configuration.ConfigurationStore
import io.corianderrock.coordination.fleet.EntryRow
import io.corianderrock.coordination.fleet.asWrite
import io.corianderrock.coordination.lease.ControllerLease
import io.corianderrock.coordination.record.AuditRecord
import io.corianderrock.coordination.request.DelayedAction
import io.corianderrock.coordination.request.RequestPipeline
import io.corianderrock.coordination.request.ServiceDirectory
import io.corianderrock.coordination.transactSettled
import io.corianderrock.protocol.ServiceStatus
import io.corianderrock.protocol.StatusAnswer
import io.corianderrock.protocol.WorkerStatus
import io.corianderrock.transport.ClientLimits
import io.corianderrock.transport.EventLog
import io.corianderrock.transport.HttpServer
import io.corianderrock.transport.ListenAddress
import io.corianderrock.transport.OkHttpUpstreamClient
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
) : AutoCloseable,
    DaemonView {
    private val log = EventLog("daemon")
    private val timers: ScheduledExecutorService = Executors.newScheduledThreadPool(TIMER_THREADS, ::timerThread)
    private val httpClient = newHttpClient(ClientLimits(connectTimeoutMs = settings.limits.connectTimeoutMs))
    private val platform = PlatformClient(httpClient, settings.platform.url, settings.platform.callTimeoutMs)
    private val metrics = DaemonMetrics()
    private val directory =
        ServiceDirectory(
            clock = clock,
            timer = DelayedAction { delayNs, action -> timers.schedule(action, delayNs, TimeUnit.NANOSECONDS) },
            slotLimit = { (it.slots / settings.limits.entriesPerDataCentre).coerceAtLeast(1) },
        )
    private val record = AuditRecord(platform)
    private val store = ConfigurationStore(platform, record)
    private val sync = FleetSync(platform, store, directory, clock, settings.dataCentre, metrics::onPlatformFailure)
    private val control =
        ControlLoop(
            platform = platform,
            lease = ControllerLease(platform, clock, settings.instanceId, newId = ::newId),
            record = record,
            clock = clock,
            self = settings.instanceId,
            declarations = { sync.configuration.takeIf { it.version > 0 }?.declarations },
            newId = ::newId,
        )

    @Volatile
    private var isStopping = false

    @Volatile
    private var isRegistered = false

    private val pipeline = RequestPipeline(clock, directory, OkHttpUpstreamClient(httpClient), EveryKeyGranted, observer = metrics)
    private val callers = startCallers()
    private val operators = startOperators()

    override val isReady: Boolean get() = !isStopping && directory.isReady

    init {
        metrics.watch(directory)
        every(settings.platform.pollIntervalMs) { pollPlatform() }
        every(CONTROL_INTERVAL_MS) { control.tick() }
        every(SWEEP_INTERVAL_MS) { directory.sweep() }
        log.info("started", "instance" eq settings.instanceId, "callers" eq callers.port, "operators" eq operators.port)
    }

    override fun status(): StatusAnswer =
        StatusAnswer(
            entry = settings.instanceId,
            dataCentre = settings.dataCentre,
            isReady = isReady,
            isController = control.isController,
            configurationVersion = sync.configuration.version,
            platformAgeMs = sync.platformAgeMs,
            entries = sync.entries.map { it.id }.sorted(),
            services =
                directory.all.map {
                    ServiceStatus(
                        it.spec.name,
                        it.spec.pool,
                        it.scheduler.waitingCount,
                        it.scheduler.inFlightCount,
                    )
                },
            workers = workerStatuses(),
        )

    /** Stops gracefully: refuses new requests, finishes those in flight, hands the lease back. */
    override fun close() {
        isStopping = true
        log.info("stopping", "inFlight" eq callers.inFlightCount)
        awaitIdle()
        timers.shutdown()
        timers.awaitTermination(settings.platform.callTimeoutMs, TimeUnit.MILLISECONDS)
        control.release()
        callers.close()
        operators.close()
        log.info("stopped", "unfinished" eq callers.inFlightCount)
    }

    private fun awaitIdle() {
        val deadlineNs = clock.monotonicNs() + settings.limits.stopTimeoutMs * NS_PER_MS
        while (callers.inFlightCount > 0 && clock.monotonicNs() < deadlineNs) {
            TimeUnit.MILLISECONDS.sleep(IDLE_POLL_MS)
        }
    }

    private fun startCallers(): HttpServer =
        HttpServer.start(
            ListenAddress(settings.callers.host, settings.callers.port),
            ServerLimits(
                maxBodyBytes = settings.limits.maxBodyBytes,
                maxConcurrentRequests = settings.limits.maxConcurrentRequests,
                ioThreads = settings.limits.ioThreads,
            ),
            callerRefusals(),
            EntryHandler(pipeline, clock, settings.instanceId, settings.peerToken) { isStopping },
        )

    private fun startOperators(): HttpServer {
        val handler = OperatorHandler(this, sync, store, metrics, clock, settings.operatorTokens)
        val limits = ServerLimits(maxBodyBytes = OPERATOR_BODY_BYTES, maxConcurrentRequests = OPERATOR_CONCURRENCY, ioThreads = 1)
        return HttpServer.start(ListenAddress(settings.operators.host, settings.operators.port), limits, handler = handler.handler())
    }

    private fun pollPlatform() {
        if (!isRegistered) isRegistered = register()
        sync.poll()
    }

    private fun register(): Boolean {
        val row =
            EntryRow(
                id = settings.instanceId,
                dataCentre = settings.dataCentre,
                callersAddress = "${settings.callers.host}:${callers.port}",
                peersAddress = "${settings.peers.host}:${settings.peers.port}",
                seat = 0,
            )
        val result = platform.transactSettled(Transaction(newId(), preconditions = emptyList(), writes = listOf(row.asWrite())))
        if (result is PlatformResult.Failed) {
            log.warn(
                "register-failed",
                "step" eq result.step,
                "peer" eq result.peer,
                "reason" eq result.reason,
            )
        }
        return result is PlatformResult.Ok
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

    private fun newId(): String = settings.instanceId + "-" + UUID.randomUUID()

    private companion object {
        const val TIMER_THREADS = 3
        const val CONTROL_INTERVAL_MS = 500L
        const val SWEEP_INTERVAL_MS = 10L
        const val IDLE_POLL_MS = 10L
        const val OPERATOR_BODY_BYTES = 16L * 1024 * 1024
        const val OPERATOR_CONCURRENCY = 16

        fun timerThread(task: Runnable): Thread = Thread(task, "timer").apply { isDaemon = true }
    }
}
