/*
 * The connections to one host: reuses idle ones, limits how many are open and queues the calls beyond that.
 */
package io.corianderrock.transport

import io.undertow.client.ClientConnection
import org.xnio.IoUtils
import org.xnio.XnioIoThread
import java.util.concurrent.TimeUnit

/** Confined to [ioThread]. */
internal class HostConnections(
    private val target: HostPort,
    private val lookup: HostLookup,
    private val ioThread: XnioIoThread,
    private val timers: IoTimers,
    private val limits: ClientLimits,
) {
    private class Idle(
        val connection: ClientConnection,
        val sinceNs: Long,
    )

    private val connector = Connector(ioThread)
    private val idle = ArrayDeque<Idle>()
    private val waiting = ArrayDeque<HttpCall>()
    private var openCount = 0

    /** True when no connection is open and no call waits for one. */
    val isUnused: Boolean get() = openCount == 0 && waiting.isEmpty()

    /** Sends [call] on an idle connection, on a new one, or once another call has ended. */
    fun start(call: HttpCall) {
        if (call.isDone) return
        val connection = takeIdle()
        when {
            connection != null -> send(call, connection)
            openCount < MAX_CONNECTIONS -> connect(call)
            else -> waiting.addLast(call)
        }
    }

    private fun send(
        call: HttpCall,
        connection: ClientConnection,
    ) {
        val sentNs = System.nanoTime()
        call.sendOn(connection, onReusable = ::release) { resetIdleSince(sentNs) }
    }

    /**
     * Resets the connections that have been idle since before [timeNs], when a call was sent that has failed on its connection. Others
     * may have gone silent with that one, and each later attempt would find out about one of them by a timeout of its own.
     */
    private fun resetIdleSince(timeNs: Long) {
        while (idle.firstOrNull()?.let { it.sinceNs - timeNs < 0 } == true) reset(idle.removeFirst().connection)
    }

    /** Closes connections that have been idle for longer than the limit. */
    fun closeExpired() {
        val nowNs = System.nanoTime()
        while (true) {
            val oldest = idle.firstOrNull() ?: return
            if (nowNs - oldest.sinceNs < TimeUnit.MILLISECONDS.toNanos(limits.idleTimeoutMs)) return
            idle.removeFirst()
            IoUtils.safeClose(oldest.connection)
        }
    }

    /** The connection that became idle last, so that those not needed expire. */
    private fun takeIdle(): ClientConnection? {
        while (true) {
            val candidate = idle.removeLastOrNull() ?: return null
            if (candidate.connection.isOpen) return candidate.connection
        }
    }

    private fun release(connection: ClientConnection) {
        if (!connection.isOpen) return
        val next = nextWaiting()
        if (next == null) idle.addLast(Idle(connection, System.nanoTime())) else send(next, connection)
    }

    private fun nextWaiting(): HttpCall? {
        while (true) {
            val call = waiting.removeFirstOrNull() ?: return null
            if (!call.endIfLate()) return call
        }
    }

    private fun connect(call: HttpCall) {
        openCount++
        ConnectAttempt(call, target, connector, timers, { onConnected(call, it) }, ::onClosed).begin(lookup, limits.connectTimeoutMs)
    }

    private fun onConnected(
        call: HttpCall,
        connection: ClientConnection,
    ) {
        connection.addCloseListener { onClosed() }
        if (call.endIfLate()) release(connection) else send(call, connection)
    }

    private fun onClosed() {
        openCount--
        // In a task of its own: connections that fail at once, one after the other, would exhaust the stack.
        if (waiting.isNotEmpty()) ioThread.execute(::startWaiting)
    }

    private fun startWaiting() {
        while (openCount < MAX_CONNECTIONS) start(nextWaiting() ?: return)
    }

    private companion object {
        /** The number of connections that one worker accepts. */
        const val MAX_CONNECTIONS = 64
    }
}
