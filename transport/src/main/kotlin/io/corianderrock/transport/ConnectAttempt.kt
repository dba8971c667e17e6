/*
 * One attempt to open a connection for a call of the asynchronous client.
 */
package io.corianderrock.transport

import io.undertow.client.ClientConnection
import org.xnio.IoFuture
import java.io.IOException
import java.net.Inet6Address
import java.net.InetAddress
import java.net.URI

/** Confined to the thread of [connector] and [timers]. Calls either [onConnected] or, after [call] has failed, [onEnded], once. */
internal class ConnectAttempt(
    private val call: HttpCall,
    private val target: HostPort,
    private val connector: Connector,
    private val timers: IoTimers,
    private val onConnected: (ClientConnection) -> Unit,
    private val onEnded: () -> Unit,
) {
    private var isOver = false
    private var opening: Connector.Opening? = null
    private var timer: IoTimer? = null

    fun begin(
        lookup: HostLookup,
        timeoutMs: Long,
    ) {
        call.onAbandoned = ::abandon
        timer = timers.start(timeoutMs) { call.fail(IOException("no connection within $timeoutMs ms")) }
        lookup.resolve(target) { address -> address.fold(::open) { fail(IOException(it.message, it)) } }
    }

    private fun open(address: InetAddress) {
        if (isOver) return
        val begun =
            try {
                connector.open(uriOf(address))
            } catch (e: RuntimeException) {
                return fail(IOException("cannot connect to ${target.host}:${target.port}: $e", e))
            }
        opening = begun
        begun.connection.addNotifier(
            object : IoFuture.HandlingNotifier<ClientConnection, Unit>() {
                override fun handleDone(
                    connection: ClientConnection,
                    attachment: Unit?,
                ) = if (isOver) reset(connection) else over { onConnected(connection) }

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

    /** A look-up that goes on is not waited for. */
    private fun abandon() {
        opening?.cancel()
        over(onEnded)
    }

    private fun fail(exception: IOException) {
        call.fail(exception)
        over(onEnded)
    }

    private fun over(action: () -> Unit) {
        if (isOver) return
        isOver = true
        timer?.cancel()
        action()
    }
}
