/*
 * Simulates upstream workers: many workers in one process, each on its own port.
 */
package io.corianderrock.standins.upstream

import io.corianderrock.protocol.contract.ContractHeaders
import io.corianderrock.state.ListedInstance
import io.corianderrock.transport.EventLog
import io.corianderrock.transport.eq
import io.undertow.Undertow
import io.undertow.UndertowOptions
import io.undertow.io.IoCallback
import io.undertow.io.Sender
import io.undertow.server.HttpServerExchange
import io.undertow.util.Headers
import io.undertow.util.HttpString
import io.undertow.util.SameThreadExecutor
import kotlinx.serialization.json.Json
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit
import java.util.zip.CRC32

/**
 * Behaviour of the workers without faults: [slotsPerWorker] concurrent requests, [defaultRunMs] for requests without
 * [WorkHeaders.RUN_MS], [rebootMs] for a reboot, and [ioThreads] for the whole process.
 */
public data class UpstreamBehaviour(
    val slotsPerWorker: Int = 8,
    val defaultRunMs: Long = 2,
    val rebootMs: Long = 500,
    val ioThreads: Int = 2,
)

/** Request headers by which a load generator controls the simulated work. */
public object WorkHeaders {
    /** Run time of the request in milliseconds, as a decimal number. */
    public const val RUN_MS: String = "Work-Run-Ms"

    /** The caller's id of the work, recorded in the ledger; requests without it are not recorded. */
    public const val WORK_ID: String = "Work-Id"
}

/** Serves requests on the address of each of [instances] until closed. */
public class UpstreamStandin(
    instances: List<ListedInstance>,
    private val behaviour: UpstreamBehaviour = UpstreamBehaviour(),
) : AutoCloseable {
    private val log = EventLog("upstream")
    private val workers = instances.map { WorkerModel(it, behaviour.slotsPerWorker) }
    private val workersByPort = workers.associateBy { it.instance.port }
    private val responses = ResponseWriter()

    /** Executions of all workers. */
    public val ledger: Ledger = Ledger()

    private val server = buildServer().also { it.start() }

    /** The highest number of slots used at once on any worker. */
    public val maxSlotsInUse: Int get() = workers.maxOf { it.maxSlotsInUse }

    /** The number of requests that the workers rejected because all slots were in use. */
    public val capacityRejections: Long get() = workers.sumOf { it.capacityRejections }

    /** The number of requests that worker [id] rejected because of [FaultKind.REFUSE] or [FaultKind.LEAVE]; 0 for an unknown id. */
    public fun faultRejections(id: String): Long = workers.firstOrNull { it.instance.id == id }?.faultRejections ?: 0

    /** Replaces the active fault of the workers that [fault] names. */
    public fun set(fault: UpstreamFault) {
        workers
            .filter { fault.workers.isEmpty() || it.instance.id in fault.workers }
            .forEach { it.fault = fault }
    }

    /** Starts a reboot of worker [id] and clears its fault. During the reboot, it closes connections without a response. */
    public fun reboot(id: String) {
        workers.firstOrNull { it.instance.id == id }?.let(::reboot)
    }

    /** The number of requests that are running on worker [id]; 0 for an unknown id. */
    public fun usedSlots(id: String): Int = workers.firstOrNull { it.instance.id == id }?.usedSlots ?: 0

    override fun close() {
        server.stop()
    }

    private fun buildServer(): Undertow {
        val builder = Undertow.builder()
        workers.forEach { builder.addHttpListener(it.instance.port, it.instance.host) }
        return builder
            .setIoThreads(behaviour.ioThreads)
            .setWorkerThreads(1)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setHandler(::onExchange)
            .build()
    }

    private fun onExchange(exchange: HttpServerExchange) {
        val worker = workersByPort.getValue(exchange.destinationAddress.port)
        if (exchange.requestPath.startsWith(CONTROL_PREFIX)) {
            onControl(exchange, worker)
            return
        }
        exchange.requestReceiver.receiveFullBytes { received, body -> onRequest(received, worker, body) }
    }

    private fun onRequest(
        exchange: HttpServerExchange,
        worker: WorkerModel,
        body: ByteArray,
    ) {
        val fault = worker.fault
        when {
            worker.isRebooting(System.nanoTime()) -> closeConnection(exchange)
            fault.kind == FaultKind.REFUSE || fault.kind == FaultKind.LEAVE -> rejectUnderFault(exchange, worker, fault)
            !worker.tryAcquireSlot() -> responses.reject(exchange, fault)
            else -> run(exchange, worker, body, fault)
        }
    }

    private fun rejectUnderFault(
        exchange: HttpServerExchange,
        worker: WorkerModel,
        fault: UpstreamFault,
    ) {
        worker.countFaultRejection()
        responses.reject(exchange, fault)
    }

    private fun run(
        exchange: HttpServerExchange,
        worker: WorkerModel,
        body: ByteArray,
        fault: UpstreamFault,
    ) {
        val requestId = exchange.requestHeaders.getFirst(ContractHeaders.REQUEST_ID).orEmpty()
        val workId = exchange.requestHeaders.getFirst(WorkHeaders.WORK_ID).orEmpty()
        if (workId.isNotEmpty()) ledger.record(Execution(requestId, workId, worker.instance.id))
        val runUs = runTimeUs(exchange, fault)
        val completeRun =
            Runnable {
                worker.releaseSlot()
                respond(exchange, worker, body, fault)
            }
        exchange.dispatch(
            SameThreadExecutor.INSTANCE,
            Runnable { exchange.ioThread.executeAfter(completeRun, runUs, TimeUnit.MICROSECONDS) },
        )
    }

    private fun runTimeUs(
        exchange: HttpServerExchange,
        fault: UpstreamFault,
    ): Long {
        if (fault.kind == FaultKind.FAIL_FAST) return 0
        val requestedRunMs = exchange.requestHeaders.getFirst(WorkHeaders.RUN_MS)?.toDoubleOrNull()
        val runMs = requestedRunMs ?: behaviour.defaultRunMs.toDouble()
        val delayMs = if (fault.kind == FaultKind.LATE) fault.delayMs else 0
        return ((runMs + delayMs) * US_PER_MS).toLong()
    }

    private fun respond(
        exchange: HttpServerExchange,
        worker: WorkerModel,
        body: ByteArray,
        fault: UpstreamFault,
    ) {
        when (fault.kind) {
            FaultKind.FREEZE -> Unit
            FaultKind.CLOSE -> closeConnection(exchange)
            FaultKind.CUT -> responses.writePartial(exchange) { closeConnection(exchange) }
            FaultKind.STALL -> responses.writePartial(exchange) { }
            FaultKind.FAIL_FAST -> responses.writeServerError(exchange)
            FaultKind.OVERSIZE -> responses.writeOversize(exchange)
            else -> responses.writeFull(exchange, worker.instance.id, body, isCrossed = fault.kind == FaultKind.CROSSED)
        }
    }

    private fun closeConnection(exchange: HttpServerExchange) {
        exchange.connection.close()
    }

    private fun onControl(
        exchange: HttpServerExchange,
        worker: WorkerModel,
    ) {
        exchange.requestReceiver.receiveFullBytes { received, body ->
            when (received.requestPath) {
                "$CONTROL_PREFIX/fault" -> set(Json.decodeFromString(UpstreamFault.serializer(), String(body)))
                "$CONTROL_PREFIX/reboot" -> reboot(worker)
                "$CONTROL_PREFIX/clear" -> ledger.clear()
            }
            val page = LedgerPage(ledger.all(), maxSlotsInUse, capacityRejections)
            val isLedger = received.requestPath == "$CONTROL_PREFIX/ledger"
            received.responseSender.send(if (isLedger) Json.encodeToString(LedgerPage.serializer(), page) else "{}")
        }
    }

    private fun reboot(worker: WorkerModel) {
        worker.rebootingUntilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(behaviour.rebootMs)
        worker.fault = UpstreamFault(FaultKind.NONE)
        log.info("rebooting", "worker" eq worker.instance.id, "usedSlots" eq worker.usedSlots)
    }

    private companion object {
        const val CONTROL_PREFIX = "/_standin"
        const val US_PER_MS = 1_000.0
    }
}

/** Writes the responses of workers, both intact and faulty ones. */
private class ResponseWriter {
    fun writeFull(
        exchange: HttpServerExchange,
        worker: String,
        body: ByteArray,
        isCrossed: Boolean,
    ) {
        val requestId = exchange.requestHeaders.getFirst(ContractHeaders.REQUEST_ID).orEmpty()
        val checksum = CRC32().apply { update(body) }.value
        val workId = if (isCrossed) "crossed" else exchange.requestHeaders.getFirst(WorkHeaders.WORK_ID).orEmpty()
        exchange.responseHeaders.put(REQUEST_ID, if (isCrossed) "crossed-$requestId" else requestId)
        exchange.responseHeaders.put(Headers.CONTENT_TYPE, "application/json")
        exchange.responseSender.send("""{"requestId":"$requestId","work":"$workId","worker":"$worker","bodyCrc32":$checksum}""")
    }

    fun reject(
        exchange: HttpServerExchange,
        fault: UpstreamFault,
    ) {
        exchange.statusCode = UNAVAILABLE
        echoRequestId(exchange)
        exchange.responseHeaders.put(OUTCOME, "not-run")
        if (fault.kind == FaultKind.LEAVE) exchange.responseHeaders.put(LEAVING, "true")
        exchange.responseSender.send("{}")
    }

    fun writeServerError(exchange: HttpServerExchange) {
        exchange.statusCode = SERVER_ERROR
        echoRequestId(exchange)
        exchange.responseSender.send("""{"error":"failed"}""")
    }

    fun writeOversize(exchange: HttpServerExchange) {
        echoRequestId(exchange)
        exchange.responseSender.send(ByteBuffer.allocate(OVERSIZE_BYTES))
    }

    /** Announces a body of twice the length of [PARTIAL_BODY], sends only [PARTIAL_BODY], then calls [onWritten]. */
    fun writePartial(
        exchange: HttpServerExchange,
        onWritten: () -> Unit,
    ) {
        echoRequestId(exchange)
        exchange.responseHeaders.put(Headers.CONTENT_LENGTH, PARTIAL_BODY.length * 2L)
        exchange.responseSender.send(
            PARTIAL_BODY,
            object : IoCallback {
                override fun onComplete(
                    exchange: HttpServerExchange,
                    sender: Sender,
                ) = onWritten()

                override fun onException(
                    exchange: HttpServerExchange,
                    sender: Sender,
                    exception: IOException,
                ) = onWritten()
            },
        )
    }

    private fun echoRequestId(exchange: HttpServerExchange) {
        exchange.responseHeaders.put(REQUEST_ID, exchange.requestHeaders.getFirst(ContractHeaders.REQUEST_ID).orEmpty())
    }

    private companion object {
        val REQUEST_ID = HttpString(ContractHeaders.REQUEST_ID)
        val OUTCOME = HttpString(ContractHeaders.OUTCOME)
        val LEAVING = HttpString(ContractHeaders.LEAVING)
        const val PARTIAL_BODY = """{"requestId":"""
        const val UNAVAILABLE = 503
        const val SERVER_ERROR = 500
        const val OVERSIZE_BYTES = 4_194_304
    }
}
