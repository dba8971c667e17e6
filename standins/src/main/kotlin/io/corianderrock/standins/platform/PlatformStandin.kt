/*
 * A stand-in for the platform: table service, object store, lagging instance list and reboots over HTTP.
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

/** How many calls of each kind the platform has served. */
@Serializable
public data class PlatformCounts(
    val reads: Long,
    val writes: Long,
)

/** A running platform stand-in. */
public class PlatformStandin(
    address: ListenAddress,
    private val listLagMs: Long = 1_000,
    restart: (ListedInstance) -> Unit = {},
) : AutoCloseable {
    private val log = EventLog("platform")
    private val json = Json
    private val memory: MemoryPlatform = MemoryPlatform(onReboot = { fleet.reboot(it) })
    private val fleet: FleetState = FleetState(listLagMs, memory::publishInstances, restart)
    private val reads = AtomicLong()
    private val writes = AtomicLong()
    private val answers = AtomicLong()

    /** The faults in force. */
    @Volatile
    public var faults: PlatformFaults = PlatformFaults()

    private val server =
        HttpServer.start(
            address,
            ServerLimits(maxBodyBytes = MAX_BODY_BYTES, maxConcurrentRequests = MAX_CONCURRENT),
            handler = handler(),
        )

    /** The port in use. */
    public val port: Int get() = server.port

    /** The services themselves, without faults; for tests that look behind the interface. */
    public val services: MemoryPlatform get() = memory

    /** The fleet behind the instance list. */
    public val fleetState: FleetState get() = fleet

    /** The calls served so far. */
    public fun counts(): PlatformCounts = PlatformCounts(reads.get(), writes.get())

    override fun close() {
        server.close()
        fleet.close()
    }

    private fun handler(): HttpHandler =
        routes(
            PlatformPaths.TRANSACT bind Method.POST to write(::transact),
            PlatformPaths.ROW bind Method.GET to read(::row),
            PlatformPaths.SCAN bind Method.GET to read(::scan),
            PlatformPaths.OBJECT bind Method.GET to read(::fetch),
            PlatformPaths.OBJECT bind Method.PUT to write(::put),
            PlatformPaths.INSTANCES bind Method.GET to read(::instances),
            PlatformPaths.REBOOT bind Method.POST to write(::reboot),
            "/control/faults" bind Method.POST to ::setFaults,
            "/control/state" bind Method.POST to ::setState,
            "/control/counts" bind Method.GET to { ok(PlatformCounts.serializer(), counts()) },
        )

    private fun read(inner: HttpHandler): HttpHandler =
        { request ->
            reads.incrementAndGet()
            underFaults { inner(request) }
        }

    private fun write(inner: HttpHandler): HttpHandler =
        { request ->
            writes.incrementAndGet()
            underFaults { loseSome(inner(request)) }
        }

    private fun underFaults(action: () -> Response): Response {
        val current = faults
        if (current.delayMs > 0) pause(current.delayMs)
        return if (current.isDown) Response(Status.SERVICE_UNAVAILABLE) else action()
    }

    private fun loseSome(response: Response): Response {
        val every = faults.loseEveryNthAnswer
        val isLost = every > 0 && answers.incrementAndGet() % every == 0L
        return if (isLost) Response(Status.INTERNAL_SERVER_ERROR).body("answer lost") else response
    }

    private fun transact(request: Request): Response {
        val transaction = json.decodeFromString(Transaction.serializer(), request.bodyString())
        return when (val result = memory.transact(transaction)) {
            is PlatformResult.Ok -> ok(TransactAnswer.serializer(), TransactAnswer(result.value))
            is PlatformResult.Conflict -> ok(TransactAnswer.serializer(), TransactAnswer(result.revision, result.key))
            is PlatformResult.Failed -> Response(Status.INTERNAL_SERVER_ERROR)
        }
    }

    private fun row(request: Request): Response {
        val key = request.query("key").orEmpty()
        return answer(memory.read(key)) { ok(RowAnswer.serializer(), RowAnswer(it)) }
    }

    private fun scan(request: Request): Response {
        val since = request.query("since")?.toLongOrNull() ?: 0
        return answer(memory.scan(request.query("prefix").orEmpty(), since)) { ok(ScanAnswer.serializer(), ScanAnswer(it)) }
    }

    private fun fetch(request: Request): Response =
        answer(memory.fetch(request.query("key").orEmpty())) { ok(ObjectAnswer.serializer(), ObjectAnswer(it)) }

    private fun put(request: Request): Response =
        answer(memory.putIfAbsent(request.query("key").orEmpty(), request.bodyString())) { ok(PutAnswer.serializer(), PutAnswer(it)) }

    private fun instances(request: Request): Response {
        fleet.isStale = faults.isListStale
        val since = request.query("since")?.toLongOrNull() ?: 0
        return answer(memory.instances(since)) { ok(InstanceListPage.serializer(), it) }
    }

    private fun reboot(request: Request): Response =
        answer(memory.reboot(request.query("id").orEmpty(), request.query("request").orEmpty())) {
            ok(PutAnswer.serializer(), PutAnswer(isStored = true))
        }

    private fun setFaults(request: Request): Response {
        faults = json.decodeFromString(PlatformFaults.serializer(), request.bodyString())
        log.info("faults-set", "faults" eq faults)
        return Response(Status.OK)
    }

    private fun setState(request: Request): Response {
        val changed = json.decodeFromString(ListedInstance.serializer(), request.bodyString())
        fleet.set(changed)
        log.info("instance-set", "id" eq changed.id, "state" eq changed.state)
        return Response(Status.OK)
    }

    private fun <T> answer(
        result: PlatformResult<T>,
        onOk: (T) -> Response,
    ): Response = if (result is PlatformResult.Ok) onOk(result.value) else Response(Status.INTERNAL_SERVER_ERROR)

    private fun <T> ok(
        serializer: KSerializer<T>,
        value: T,
    ): Response = Response(Status.OK).header("Content-Type", "application/json").body(json.encodeToString(serializer, value))

    private fun pause(delayMs: Long) {
        TimeUnit.MILLISECONDS.sleep(delayMs)
    }

    private companion object {
        const val MAX_BODY_BYTES = 64L * 1024 * 1024
        const val MAX_CONCURRENT = 128
    }
}
