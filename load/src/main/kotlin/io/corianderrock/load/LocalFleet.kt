/*
 * A complete deployment in one process: platform stand-in, upstream stand-in and daemons on loopback ports.
 */
package io.corianderrock.load

import io.corianderrock.coordination.claim.CLAIM_RANGES
import io.corianderrock.coordination.configuration.ConfigurationStore
import io.corianderrock.coordination.configuration.Submission
import io.corianderrock.coordination.configuration.SubmitResult
import io.corianderrock.coordination.record.AuditRecord
import io.corianderrock.daemon.Daemon
import io.corianderrock.daemon.DaemonPolicies
import io.corianderrock.daemon.DaemonSettings
import io.corianderrock.daemon.LimitSettings
import io.corianderrock.daemon.ListenSettings
import io.corianderrock.daemon.OperatorSettings
import io.corianderrock.daemon.PlatformSettings
import io.corianderrock.protocol.Secret
import io.corianderrock.standins.platform.PlatformStandin
import io.corianderrock.standins.upstream.UpstreamBehaviour
import io.corianderrock.standins.upstream.UpstreamStandin
import io.corianderrock.state.Declarations
import io.corianderrock.state.InstanceRole
import io.corianderrock.state.ListedInstance
import io.corianderrock.state.ListedState
import io.corianderrock.transport.ListenAddress
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.TimeUnit

/**
 * Sizes and timing of a local fleet. [listLagMs] is the delay of the platform's instance list, [pollIntervalMs] and
 * [platformTimeoutMs] apply to the daemons' calls to the platform, and [rebootMs] is the duration of a worker's reboot.
 */
public data class LocalFleetShape(
    val dataCentres: Int = 1,
    val entriesPerDataCentre: Int = 2,
    val workersPerDataCentre: Int = 8,
    val slotsPerWorker: Int = 8,
    val listLagMs: Long = 100,
    val pollIntervalMs: Long = 200,
    val platformTimeoutMs: Long = 500,
    val maxConcurrentRequests: Int = 1_024,
    val rebootMs: Long = 300,
)

/**
 * Starts the stand-ins and daemons, submits [declarations] as the first configuration and waits until every daemon is
 * ready. [close] stops everything.
 */
public class LocalFleet(
    private val shape: LocalFleetShape,
    private val declarations: Declarations,
    private val policies: DaemonPolicies = DaemonPolicies(),
) : AutoCloseable {
    private val workerPorts = freePorts(shape.dataCentres * shape.workersPerDataCentre)
    private val workers = workerInstances()

    /** The simulated upstream workers of all data centres. */
    public val upstreams: UpstreamStandin =
        UpstreamStandin(workers, UpstreamBehaviour(slotsPerWorker = shape.slotsPerWorker, rebootMs = shape.rebootMs))

    /** The simulated platform. */
    public val platform: PlatformStandin =
        PlatformStandin(ListenAddress(LOOPBACK, 0), shape.listLagMs) { upstreams.reboot(it.id) }

    private val startedDaemons = ArrayList<Daemon>()

    /** The started daemons in start order, without those that were passed to [markGone]. */
    public val daemons: List<Daemon> get() = startedDaemons

    init {
        platform.fleetState.install(workers)
        repeat(shape.dataCentres) { dataCentre -> repeat(shape.entriesPerDataCentre) { startEntry(dataCentre, it) } }
        submit(declarations, baseVersion = 0)
        awaitUntil("every entry has a route to the owner of every claim range") { daemons.all { it.routableClaimRanges == CLAIM_RANGES } }
        awaitUntil("every entry is ready") { daemons.all { it.isReady && it.status().workers.size == shape.workersPerDataCentre } }
    }

    /** Ids `worker-<data centre>-<number>` of all workers. */
    public val workerIds: List<String> get() = workers.map { it.id }

    /** Adds entry [number] of data centre [dataCentre] to the instance list and starts its daemon. */
    public fun startEntry(
        dataCentre: Int,
        number: Int,
    ): Daemon {
        val id = "entry-$dataCentre-$number"
        val entry = ListedInstance(id, InstanceRole.ENTRY, dataCentreName(dataCentre), "entries", LOOPBACK, 0, ListedState.LIVE)
        platform.fleetState.install(listOf(entry))
        return Daemon(daemonSettings(id, dataCentre), policies = policies).also { startedDaemons += it }
    }

    /** Marks the instance of [daemon] as gone in the platform's instance list. The caller stops the daemon itself. */
    public fun markGone(daemon: Daemon) {
        val instance =
            checkNotNull(
                platform.fleetState.actual(daemon.instanceId),
            ) { "${daemon.instanceId} is not in the instance list of the platform" }
        platform.fleetState.set(instance.copy(state = ListedState.GONE, goneAtMs = System.currentTimeMillis()))
        startedDaemons -= daemon
    }

    /** Submits [next] directly to the configuration store of the platform, without an entry. */
    public fun submit(
        next: Declarations,
        baseVersion: Long,
    ): SubmitResult {
        val services = platform.services
        val submission = Submission("change-${baseVersion + 1}", "experiment", baseVersion, next, System.currentTimeMillis())
        return ConfigurationStore(services, AuditRecord(services)).submit(submission)
    }

    override fun close() {
        daemons.forEach { it.close() }
        platform.close()
        upstreams.close()
    }

    private fun workerInstances(): List<ListedInstance> =
        workerPorts.mapIndexed { index, port ->
            val dataCentre = index / shape.workersPerDataCentre
            val number = index % shape.workersPerDataCentre
            ListedInstance(
                id = "worker-$dataCentre-$number",
                role = InstanceRole.WORKER,
                dataCentre = dataCentreName(dataCentre),
                rack = "rack-$dataCentre-${number / WORKERS_PER_RACK}",
                host = LOOPBACK,
                port = port,
                state = ListedState.LIVE,
            )
        }

    private fun daemonSettings(
        id: String,
        dataCentre: Int,
    ): DaemonSettings =
        DaemonSettings(
            instanceId = id,
            dataCentre = dataCentreName(dataCentre),
            callers = ListenSettings(LOOPBACK, 0),
            operators = ListenSettings(LOOPBACK, 0),
            peers = ListenSettings(LOOPBACK, 0),
            platform = PlatformSettings("http://$LOOPBACK:${platform.port}", shape.platformTimeoutMs, shape.pollIntervalMs),
            limits =
                LimitSettings(
                    entriesPerDataCentre = shape.entriesPerDataCentre,
                    maxConcurrentRequests = shape.maxConcurrentRequests,
                    stopTimeoutMs = STOP_TIMEOUT_MS,
                    leaveNoticeMs = 0,
                ),
            peerToken = Secret("local-fleet-peer-token"),
            operatorTokens = listOf(OperatorSettings("experiment", Secret(OPERATOR_TOKEN))),
        )

    public companion object {
        /** Operator token accepted by every daemon of a local fleet. */
        public const val OPERATOR_TOKEN: String = "local-fleet-operator"

        private const val LOOPBACK = "127.0.0.1"
        private const val WORKERS_PER_RACK = 4
        private const val STOP_TIMEOUT_MS = 5_000L

        private fun dataCentreName(dataCentre: Int): String = "dc-$dataCentre"
    }
}

/** Polls [condition] until it holds. Throws [IllegalStateException] with [description] when it does not hold within [timeoutMs]. */
public fun awaitUntil(
    description: String,
    timeoutMs: Long = 30_000,
    condition: () -> Boolean,
) {
    val deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs)
    while (!condition()) {
        check(System.nanoTime() < deadlineNs) { "timed out after $timeoutMs ms waiting until $description" }
        TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS)
    }
}

/** [count] distinct ports that are free on the loopback address. Another process may bind them before the caller does. */
public fun freePorts(count: Int): List<Int> {
    val sockets = List(count) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
    val ports = sockets.map { it.localPort }
    sockets.forEach { it.close() }
    return ports
}

private const val POLL_INTERVAL_MS = 10L
