/*
 * Attempts to open a connection that can be given up. The client of Undertow offers no way to do so: cancelling its future leaves the
 * socket to the system, which repeats an unanswered attempt for two minutes.
 */
package io.corianderrock.transport

import io.undertow.client.ClientConnection
import io.undertow.client.UndertowClient
import io.undertow.server.DefaultByteBufferPool
import org.xnio.ChannelListener
import org.xnio.IoFuture
import org.xnio.OptionMap
import org.xnio.Options
import org.xnio.StreamConnection
import org.xnio.XnioExecutor
import org.xnio.XnioIoThread
import java.net.SocketAddress
import java.net.URI
import java.util.concurrent.TimeUnit

/** Opens connections on [ioThread], to which it is confined. */
internal class Connector(
    ioThread: XnioIoThread,
) {
    /** An attempt. [cancel] closes its socket, unless the connection is open; [connection] may then never complete. */
    class Opening(
        val connection: IoFuture<ClientConnection>,
        private val socket: IoFuture<StreamConnection>?,
    ) {
        fun cancel() {
            socket?.cancel()
        }
    }

    private val thread = RecordingThread(ioThread)

    /** Begins an attempt. Throws [RuntimeException] if [uri] cannot be connected to. */
    fun open(uri: URI): Opening {
        thread.lastAttempt = null
        val connection = UndertowClient.getInstance().connect(uri, thread, BUFFERS, OPTIONS)
        return Opening(connection, thread.lastAttempt)
    }

    /** Passes all calls on to [target] and records the last attempt to connect. Never started as a thread of its own. */
    private class RecordingThread(
        private val target: XnioIoThread,
    ) : XnioIoThread(target.worker, target.number) {
        var lastAttempt: IoFuture<StreamConnection>? = null

        override fun openStreamConnection(
            destination: SocketAddress,
            openListener: ChannelListener<in StreamConnection>,
            optionMap: OptionMap,
        ): IoFuture<StreamConnection> = target.openStreamConnection(destination, openListener, optionMap).also { lastAttempt = it }

        override fun execute(command: Runnable) = target.execute(command)

        override fun executeAfter(
            command: Runnable,
            time: Long,
            unit: TimeUnit,
        ): XnioExecutor.Key = target.executeAfter(command, time, unit)

        override fun executeAtInterval(
            command: Runnable,
            time: Long,
            unit: TimeUnit,
        ): XnioExecutor.Key = target.executeAtInterval(command, time, unit)
    }

    private companion object {
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
