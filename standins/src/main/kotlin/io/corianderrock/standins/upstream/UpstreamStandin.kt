/*
 * A stand-in for upstream workers: many workers in one process, each on a port of its own.
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

/** How the workers behave without faults. */
public data class UpstreamBehaviour(
    val slotsPerWorker: Int = 8,
    val defaultRunMs: Long = 2,
    val rebootMs: Long = 500,
    val ioThreads: Int = 2,
)

/** Names of the headers by which a load generator sets the work of a request. */
public object WorkHeaders {
    /** The run time in milliseconds; fractions are allowed. */
    public const val RUN_MS: String = "Work-Run-Ms"

    /** The caller's own id of the piece of work, recorded in the ledger. */
    public const val WORK: String = "Work-Id"
}

/** Serves every instance of [instances] until closed. */
public class UpstreamStandin(
    instances: List<ListedInstance>,
    private val behaviour: UpstreamBehaviour = UpstreamBehaviour(),
) : AutoCloseable {
    private val log = EventLog("upstream")
    private val workers = instances.map { WorkerModel(it, behaviour.slotsPerWorker) }
    private val byPort = workers.associateBy { it.instance.port }
    private val answers = AnswerWriter()

    /** The record of executions. */
    public val ledger: Ledger = Ledger()

    private val server = build().also { it.start() }

    /** The most slots that were in use at once on any worker. */
    public val maxSlotsInUse: Int get() = workers.maxOf { it.maxSlotsInUse }

    /** How many requests the workers refused because they were full. */
    public val refusals: Long get() = workers.sumOf { it.refusals }

    /** How many requests the worker called [id] turned away under a fault. */
    public fun turnedAway(id: String): Long = workers.firstOrNull { it.instance.id == id }?.turnedAway ?: 0

    /** Puts [fault] in force and ends the one before on the workers that it names. */
    public fun set(fault: UpstreamFault) {
        workers
            .filter { fault.workers.isEmpty() || it.instance.id in fault.workers }
            .forEach { it.fault = fault }
    }

    /** Reboots the worker called [id]; it answers nothing until it is back. */
    public fun reboot(id: String) {
        workers.firstOrNull { it.instance.id == id }?.let(::reboot)
    }

    /** The requests that run now on the worker called [id]. */
    public fun usedSlots(id: String): Int = workers.firstOrNull { it.instance.id == id }?.usedSlots ?: 0

    override fun close() {
        server.stop()
    }

    private fun build(): Undertow {
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
        val worker = byPort.getValue(exchange.destinationAddress.port)
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
            fault.kind == FaultKind.REFUSE || fault.kind == FaultKind.LEAVE -> turnAway(exchange, worker, fault)
            !worker.tryStart() -> answers.refuse(exchange, fault)
            else -> run(exchange, worker, body, fault)
        }
    }

    private fun turnAway(
        exchange: HttpServerExchange,
        worker: WorkerModel,
        fault: UpstreamFault,
    ) {
        worker.countTurnedAway()
        answers.refuse(exchange, fault)
    }

    private fun run(
        exchange: HttpServerExchange,
        worker: WorkerModel,
        body: ByteArray,
        fault: UpstreamFault,
    ) {
        val requestId = exchange.requestHeaders.getFirst(ContractHeaders.REQUEST_ID).orEmpty()
        val work = exchange.requestHeaders.getFirst(WorkHeaders.WORK).orEmpty()
        if (work.isNotEmpty()) ledger.record(Execution(requestId, work, worker.instance.id))
        val runUs = runTimeUs(exchange, fault)
        val finish =
            Runnable {
                worker.finish()
                answer(exchange, worker, body, fault)
            }
        exchange.dispatch(SameThreadExecutor.INSTANCE, Runnable { exchange.ioThread.executeAfter(finish, runUs, TimeUnit.MICROSECONDS) })
    }

    private fun runTimeUs(
        exchange: HttpServerExchange,
        fault: UpstreamFault,
    ): Long {
        if (fault.kind == FaultKind.FAIL_FAST) return 0
        val declaredMs = exchange.requestHeaders.getFirst(WorkHeaders.RUN_MS)?.toDoubleOrNull()
        val runMs = declaredMs ?: behaviour.defaultRunMs.toDouble()
        val delayMs = if (fault.kind == FaultKind.LATE) fault.delayMs else 0
        return ((runMs + delayMs) * US_PER_MS).toLong()
    }

    private fun answer(
        exchange: HttpServerExchange,
        worker: WorkerModel,
        body: ByteArray,
        fault: UpstreamFault,
    ) {
        when (fault.kind) {
            FaultKind.FREEZE -> Unit
            FaultKind.CLOSE -> closeConnection(exchange)
            FaultKind.CUT -> answers.half(exchange) { closeConnection(exchange) }
            FaultKind.STALL -> answers.half(exchange) { }
            FaultKind.FAIL_FAST -> answers.fail(exchange)
            FaultKind.OVERSIZE -> answers.oversize(exchange)
            else -> answers.whole(exchange, worker.instance.id, body, isCrossed = fault.kind == FaultKind.CROSSED)
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
            val page = LedgerPage(ledger.all(), maxSlotsInUse, refusals)
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

/** Writes the answers of workers, whole and broken. */
private class AnswerWriter {
    fun whole(
        exchange: HttpServerExchange,
        worker: String,
        body: ByteArray,
        isCrossed: Boolean,
    ) {
        val requestId = exchange.requestHeaders.getFirst(ContractHeaders.REQUEST_ID).orEmpty()
        val checksum = CRC32().apply { update(body) }.value
        val work = if (isCrossed) "crossed" else exchange.requestHeaders.getFirst(WorkHeaders.WORK).orEmpty()
        exchange.responseHeaders.put(REQUEST_ID, if (isCrossed) "crossed-$requestId" else requestId)
        exchange.responseHeaders.put(Headers.CONTENT_TYPE, "application/json")
        exchange.responseSender.send("""{"requestId":"$requestId","work":"$work","worker":"$worker","bodyCrc32":$checksum}""")
    }

    fun refuse(
        exchange: HttpServerExchange,
        fault: UpstreamFault,
    ) {
        exchange.statusCode = UNAVAILABLE
        echoId(exchange)
        exchange.responseHeaders.put(OUTCOME, "not-run")
        if (fault.kind == FaultKind.LEAVE) exchange.responseHeaders.put(LEAVING, "true")
        exchange.responseSender.send("{}")
    }

    fun fail(exchange: HttpServerExchange) {
        exchange.statusCode = SERVER_ERROR
        echoId(exchange)
        exchange.responseSender.send("""{"error":"failed"}""")
    }

    fun oversize(exchange: HttpServerExchange) {
        echoId(exchange)
        exchange.responseSender.send(ByteBuffer.allocate(OVERSIZE_BYTES))
    }

    fun half(
        exchange: HttpServerExchange,
        then: () -> Unit,
    ) {
        echoId(exchange)
        exchange.responseHeaders.put(Headers.CONTENT_LENGTH, HALF.length * 2L)
        exchange.responseSender.send(
            HALF,
            object : IoCallback {
                override fun onComplete(
                    exchange: HttpServerExchange,
                    sender: Sender,
                ) = then()

                override fun onException(
                    exchange: HttpServerExchange,
                    sender: Sender,
                    exception: IOException,
                ) = then()
            },
        )
    }

    private fun echoId(exchange: HttpServerExchange) {
        exchange.responseHeaders.put(REQUEST_ID, exchange.requestHeaders.getFirst(ContractHeaders.REQUEST_ID).orEmpty())
    }

    private companion object {
        val REQUEST_ID = HttpString(ContractHeaders.REQUEST_ID)
        val OUTCOME = HttpString(ContractHeaders.OUTCOME)
        val LEAVING = HttpString(ContractHeaders.LEAVING)
        const val HALF = """{"requestId":"""
        const val UNAVAILABLE = 503
        const val SERVER_ERROR = 500
        const val OVERSIZE_BYTES = 4_194_304
    }
}
