/*
 * One attempt to open a connection for a call of the asynchronous client.
 */
package io.corianderrock.transport

import io.undertow.client.ClientConnection
import io.undertow.client.UndertowClient
import io.undertow.server.DefaultByteBufferPool
import org.xnio.IoFuture
import org.xnio.OptionMap
import org.xnio.Options
import org.xnio.XnioExecutor
import org.xnio.XnioIoThread
import java.io.IOException
import java.net.Inet6Address
import java.net.InetAddress
import java.net.URI
import java.util.concurrent.TimeUnit

/** Confined to [ioThread]. Calls either [onConnected] or, after [call] has failed, [onEnded], once. */
internal class ConnectAttempt(
    private val call: HttpCall,
    private val target: HostPort,
    private val ioThread: XnioIoThread,
    private val onConnected: (ClientConnection) -> Unit,
    private val onEnded: () -> Unit,
) {
    private var isOver = false
    private var future: IoFuture<ClientConnection>? = null
    private var timer: XnioExecutor.Key? = null

    fun begin(
        lookup: HostLookup,
        timeoutMs: Long,
    ) {
        call.onAbandoned = ::abandon
        val onTimeout = { call.fail(IOException("no connection within $timeoutMs ms")) }
        timer = ioThread.executeAfter(onTimeout, timeoutMs, TimeUnit.MILLISECONDS)
        lookup.resolve(target) { address -> address.fold(::open) { fail(IOException(it.message, it)) } }
    }

    private fun open(address: InetAddress) {
        if (isOver) return
        val opening =
            try {
                UndertowClient.getInstance().connect(uriOf(address), ioThread, BUFFERS, OPTIONS)
            } catch (e: RuntimeException) {
                return fail(IOException("cannot connect to ${target.host}:${target.port}: $e", e))
            }
        future = opening
        opening.addNotifier(
            object : IoFuture.HandlingNotifier<ClientConnection, Unit>() {
                override fun handleDone(
                    connection: ClientConnection,
                    attachment: Unit?,
                ) = over { onConnected(connection) }

                override fun handleFailed(
                    exception: IOException,
                    attachment: Unit?,
                ) = fail(exception)

                override fun handleCancelled(attachment: Unit?) = fail(IOException("connect cancelled"))
            },
            null,
        )
    }

    private fun uriOf(address: InetAddress): URI {
        val text = if (address is Inet6Address) "[${address.hostAddress.substringBefore('%')}]" else address.hostAddress
        return URI("http://$text:${target.port}")
    }

    /** A connection that is being opened ends when the system gives it up; a look-up is not waited for. */
    private fun abandon() {
        val opening = future
        if (opening == null) over(onEnded) else opening.cancel()
    }

    private fun fail(exception: IOException) {
        call.fail(exception)
        over(onEnded)
    }

    private fun over(action: () -> Unit) {
        if (isOver) return
        isOver = true
        timer?.remove()
        action()
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
