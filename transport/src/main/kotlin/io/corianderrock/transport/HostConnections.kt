/*
 * The connections to one host: reuses idle ones, limits how many are open and queues the calls beyond that.
 */
package io.corianderrock.transport

import io.undertow.client.ClientConnection
import io.undertow.client.UndertowClient
import io.undertow.server.DefaultByteBufferPool
import org.xnio.IoFuture
import org.xnio.IoUtils
import org.xnio.OptionMap
import org.xnio.Options
import org.xnio.XnioIoThread
import java.io.IOException
import java.net.URI
import java.util.concurrent.TimeUnit

/** Confined to [ioThread]. */
internal class HostConnections(
    private val authority: String,
    private val ioThread: XnioIoThread,
    private val limits: ClientLimits,
) {
    private class Idle(
        val connection: ClientConnection,
        val sinceNs: Long,
    )

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
            connection != null -> call.sendOn(connection, ::release)
            openCount < MAX_CONNECTIONS -> connect(call)
            else -> waiting.addLast(call)
        }
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
        if (next == null) idle.addLast(Idle(connection, System.nanoTime())) else next.sendOn(connection, ::release)
    }

    private fun nextWaiting(): HttpCall? {
        while (true) {
            val call = waiting.removeFirstOrNull() ?: return null
            if (!call.isDone) return call
        }
    }

    private fun connect(call: HttpCall) {
        openCount++
        val future =
            try {
                UndertowClient.getInstance().connect(URI("http://$authority"), ioThread, BUFFERS, OPTIONS)
            } catch (e: IllegalArgumentException) {
                onConnectFailed(call, IOException("'$authority' is not a valid host and port", e))
                return
            }
        call.onAbandoned = { future.cancel() }
        val onTimeout = { call.fail(IOException("no connection within ${limits.connectTimeoutMs} ms")) }
        val timer = ioThread.executeAfter(onTimeout, limits.connectTimeoutMs, TimeUnit.MILLISECONDS)
        future.addNotifier(
            object : IoFuture.HandlingNotifier<ClientConnection, Unit>() {
                override fun handleDone(
                    connection: ClientConnection,
                    attachment: Unit?,
                ) {
                    timer.remove()
                    onConnected(call, connection)
                }

                override fun handleFailed(
                    exception: IOException,
                    attachment: Unit?,
                ) {
                    timer.remove()
                    onConnectFailed(call, exception)
                }

                override fun handleCancelled(attachment: Unit?) {
                    timer.remove()
                    onConnectFailed(call, IOException("connect cancelled"))
                }
            },
            null,
        )
    }

    private fun onConnected(
        call: HttpCall,
        connection: ClientConnection,
    ) {
        connection.addCloseListener { onClosed() }
        if (call.isDone) release(connection) else call.sendOn(connection, ::release)
    }

    private fun onConnectFailed(
        call: HttpCall,
        exception: IOException,
    ) {
        call.fail(exception)
        onClosed()
    }

    private fun onClosed() {
        openCount--
        if (openCount < MAX_CONNECTIONS) nextWaiting()?.let(::start)
    }

    private companion object {
        /** The number of connections that one worker accepts. */
        const val MAX_CONNECTIONS = 64

        /** Covers nearly all messages: orders and short lists. */
        const val BUFFER_BYTES = 4_096

        const val MAX_POOLED_BUFFERS = 256
        const val BUFFERS_PER_THREAD = 4

        val BUFFERS = DefaultByteBufferPool(false, BUFFER_BYTES, MAX_POOLED_BUFFERS, BUFFERS_PER_THREAD)

        /**
         * A connection is closed with a TCP reset, which discards unsent data. Without it, a request that timed out during a
         * network partition could still be delivered after the partition heals.
         */
        val OPTIONS: OptionMap =
            OptionMap
                .builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.CLOSE_ABORT, true)
                .map
    }
}
