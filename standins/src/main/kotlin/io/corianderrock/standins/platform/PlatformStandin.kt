/*
 * Simulates the platform over HTTP: table service, object store, delayed instance list and reboots.
 */
package io.corianderrock.standins.platform

import io.corianderrock.coordination.InstanceListPage
import io.corianderrock.coordination.MemoryPlatform
import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.Transaction
import io.corianderrock.protocol.ObjectAnswer
import io.corianderrock.protocol.PlatformPaths
import io.corianderrock.protocol.PutAnswer
import io.corianderrock.protocol.RowAnswer
import io.corianderrock.protocol.ScanAnswer
import io.corianderrock.protocol.TransactAnswer
import io.corianderrock.state.ListedInstance
import io.corianderrock.transport.EventLog
import io.corianderrock.transport.HttpServer
import io.corianderrock.transport.ListenAddress
import io.corianderrock.transport.ServerLimits
import io.corianderrock.transport.eq
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.routes
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** Numbers of calls received, including those that failed because of a fault. */
@Serializable
public data class PlatformCounts(
    val reads: Long,
    val writes: Long,
)

/**
 * A platform stand-in that serves on [address] until closed. Changes of instances appear in the instance list after
 * [listLagMs]; [restart] is called with each instance whose reboot is requested.
 */
public class PlatformStandin(
    address: ListenAddress,
    private val listLagMs: Long = 1_000,
    restart: (ListedInstance) -> Unit = {},
) : AutoCloseable {
    private val log = EventLog("platform")
    private val json = Json
    private val memoryPlatform: MemoryPlatform = MemoryPlatform(onReboot = { fleet.reboot(it) })
    private val fleet: FleetState = FleetState(listLagMs, memoryPlatform::publishInstances, restart)
    private val reads = AtomicLong()
    private val writes = AtomicLong()
    private val writeResponses = AtomicLong()

    /** The active faults. */
    @Volatile
    public var faults: PlatformFaults = PlatformFaults()

    private val server =
        HttpServer.start(
            address,
            ServerLimits(maxBodyBytes = MAX_BODY_BYTES, maxConcurrentRequests = MAX_CONCURRENT_REQUESTS),
            handler = handler(),
        )

    /** The bound port, also when port 0 was requested. */
    public val port: Int get() = server.port

    /** Direct access to the simulated services, bypassing HTTP and faults; for tests. */
    public val services: MemoryPlatform get() = memoryPlatform

    /** The actual state of the fleet, from which the instance list is published. */
    public val fleetState: FleetState get() = fleet

    /** Calls received since the start. */
    public fun counts(): PlatformCounts = PlatformCounts(reads.get(), writes.get())

    override fun close() {
        server.close()
        fleet.close()
    }

    private fun handler(): HttpHandler =
        routes(
            PlatformPaths.TRANSACT bind Method.POST to write(::transact),
            PlatformPaths.ROW bind Method.GET to read(::readRow),
            PlatformPaths.SCAN bind Method.GET to read(::scan),
            PlatformPaths.OBJECT bind Method.GET to read(::fetchObject),
            PlatformPaths.OBJECT bind Method.PUT to write(::putObject),
            PlatformPaths.INSTANCES bind Method.GET to read(::listInstances),
            PlatformPaths.REBOOT bind Method.POST to write(::reboot),
            "/control/faults" bind Method.POST to ::setFaults,
            "/control/state" bind Method.POST to ::setInstance,
            "/control/counts" bind Method.GET to { okJson(PlatformCounts.serializer(), counts()) },
        )

    private fun read(inner: HttpHandler): HttpHandler =
        { request ->
            reads.incrementAndGet()
            withFaults { inner(request) }
        }

    private fun write(inner: HttpHandler): HttpHandler =
        { request ->
            writes.incrementAndGet()
            withFaults { loseIfDue(inner(request)) }
        }

    private fun withFaults(action: () -> Response): Response {
        val current = faults
        if (current.delayMs > 0) pause(current.delayMs)
        return if (current.isDown) Response(Status.SERVICE_UNAVAILABLE) else action()
    }

    /** Replaces every n-th response of a write by an error, after the write has been applied. */
    private fun loseIfDue(response: Response): Response {
        val lossInterval = faults.loseEveryNthAnswer
        val isLost = lossInterval > 0 && writeResponses.incrementAndGet() % lossInterval == 0L
        return if (isLost) Response(Status.INTERNAL_SERVER_ERROR).body("answer lost") else response
    }

    private fun transact(request: Request): Response {
        val transaction = json.decodeFromString(Transaction.serializer(), request.bodyString())
        return when (val result = memoryPlatform.transact(transaction)) {
            is PlatformResult.Ok -> okJson(TransactAnswer.serializer(), TransactAnswer(result.value))
            is PlatformResult.Conflict -> okJson(TransactAnswer.serializer(), TransactAnswer(result.revision, result.key))
            is PlatformResult.Failed -> Response(Status.INTERNAL_SERVER_ERROR)
        }
    }

    private fun readRow(request: Request): Response {
        val key = request.query("key").orEmpty()
        return respond(memoryPlatform.read(key)) { okJson(RowAnswer.serializer(), RowAnswer(it)) }
    }

    private fun scan(request: Request): Response {
        val since = request.query("since")?.toLongOrNull() ?: 0
        return respond(memoryPlatform.scan(request.query("prefix").orEmpty(), since)) { okJson(ScanAnswer.serializer(), ScanAnswer(it)) }
    }

    private fun fetchObject(request: Request): Response =
        respond(memoryPlatform.fetch(request.query("key").orEmpty())) { okJson(ObjectAnswer.serializer(), ObjectAnswer(it)) }

    private fun putObject(request: Request): Response =
        respond(
            memoryPlatform.putIfAbsent(request.query("key").orEmpty(), request.bodyString()),
        ) { okJson(PutAnswer.serializer(), PutAnswer(it)) }

    private fun listInstances(request: Request): Response {
        fleet.isStale = faults.isListStale
        val since = request.query("since")?.toLongOrNull() ?: 0
        return respond(memoryPlatform.instances(since)) { okJson(InstanceListPage.serializer(), it) }
    }

    private fun reboot(request: Request): Response =
        respond(memoryPlatform.reboot(request.query("id").orEmpty(), request.query("request").orEmpty())) {
            okJson(PutAnswer.serializer(), PutAnswer(isStored = true))
        }

    private fun setFaults(request: Request): Response {
        faults = json.decodeFromString(PlatformFaults.serializer(), request.bodyString())
        log.info("faults-set", "faults" eq faults)
        return Response(Status.OK)
    }

    private fun setInstance(request: Request): Response {
        val changed = json.decodeFromString(ListedInstance.serializer(), request.bodyString())
        fleet.set(changed)
        log.info("instance-set", "id" eq changed.id, "state" eq changed.state)
        return Response(Status.OK)
    }

    private fun <T> respond(
        result: PlatformResult<T>,
        onSuccess: (T) -> Response,
    ): Response = if (result is PlatformResult.Ok) onSuccess(result.value) else Response(Status.INTERNAL_SERVER_ERROR)

    private fun <T> okJson(
        serializer: KSerializer<T>,
        value: T,
    ): Response = Response(Status.OK).header("Content-Type", "application/json").body(json.encodeToString(serializer, value))

    private fun pause(delayMs: Long) {
        TimeUnit.MILLISECONDS.sleep(delayMs)
    }

    private companion object {
        const val MAX_BODY_BYTES = 64L * 1024 * 1024
        const val MAX_CONCURRENT_REQUESTS = 128
    }
}
