/*
 * Asynchronous HTTP calls that deliver their result on an event loop and report whether the request was sent. One thread
 * serves all connections: a caller with hundreds of workers has as many calls waiting, and a thread for each of them costs
 * more than the calls.
 */
package io.corianderrock.transport

import io.corianderrock.jobs.ports.EventLoop
import org.xnio.OptionMap
import org.xnio.Options
import org.xnio.Xnio
import org.xnio.XnioIoThread
import java.io.IOException
import java.net.InetAddress
import java.util.concurrent.TimeUnit

/** Result of an HTTP call. */
public sealed interface HttpResult {
    /** A complete response, with any status code. [retryAfterMs] is its `Retry-After` if that is a number of seconds. */
    public class Answer(
        public val status: Int,
        public val body: ByteArray,
        public val retryAfterMs: Long? = null,
    ) : HttpResult

    /**
     * No complete response. The peer cannot have received the request unless [hasSentBytes] is set; [isRefused] means
     * that the connection was refused, so no process listens on the address.
     */
    public data class Failed(
        val reason: String,
        val hasSentBytes: Boolean,
        val isRefused: Boolean,
    ) : HttpResult
}

/** Sends HTTP requests without blocking and delivers their results on [loop]. */
public class AsyncHttpClient(
    private val loop: EventLoop,
    private val limits: ClientLimits = ClientLimits(),
    /** Blocking look-up of a host name; throws [IOException] if there is no such host. */
    lookUp: (String) -> InetAddress = InetAddress::getByName,
) {
    private val ioThread: XnioIoThread = Xnio.getInstance().createWorker(WORKER_OPTIONS).ioThread
    private val timers = IoTimers(ioThread)
    private val lookup = HostLookup(ioThread, lookUp)
    private val connectionsByAuthority = HashMap<String, HostConnections>()

    init {
        ioThread.execute(::closeExpired)
    }

    /**
     * Sends one request to [url] (`http://host:port/path`), without retries. The call, from connect to last byte, takes at most
     * [timeoutMs]; a large answer on a slow link may take up to [transferMs] longer while it arrives without a pause of [timeoutMs].
     * [onResult] runs on the loop, once. A request whose address or headers are not valid fails at once.
     */
    public fun send(
        method: String,
        url: String,
        body: ByteArray,
        timeoutMs: Long,
        headers: Map<String, String> = emptyMap(),
        transferMs: Long = 0,
        onResult: (HttpResult) -> Unit,
    ) {
        val target = url.removePrefix("http://")
        val authority = target.substringBefore('/')
        val address = HostPort.parse(authority) ?: return fail("'${authority.take(SHOWN_LENGTH)}' is not a host and a port", onResult)
        val request = HttpCallRequest(method, authority, "/" + target.substringAfter('/', ""), headers, body)
        val call =
            try {
                HttpCall(request, timers) { result -> loop.post { onResult(result) } }
            } catch (e: IllegalArgumentException) {
                return fail("invalid request to $authority: ${e.message}", onResult)
            }
        ioThread.execute {
            call.startTimer(timeoutMs, transferMs)
            connectionsByAuthority.getOrPut(authority) { HostConnections(address, lookup, ioThread, timers, limits) }.start(call)
        }
    }

    private fun fail(
        reason: String,
        onResult: (HttpResult) -> Unit,
    ) = loop.post { onResult(HttpResult.Failed(reason, hasSentBytes = false, isRefused = false)) }

    private fun closeExpired() {
        ioThread.executeAfter(::closeExpired, limits.idleTimeoutMs / EXPIRY_CHECKS_PER_TIMEOUT, TimeUnit.MILLISECONDS)
        val hosts = connectionsByAuthority.values.iterator()
        while (hosts.hasNext()) {
            val host = hosts.next()
            host.closeExpired()
            if (host.isUnused) hosts.remove()
        }
    }

    private companion object {
        val WORKER_OPTIONS: OptionMap =
            OptionMap
                .builder()
                .set(Options.WORKER_NAME, "http-client")
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.THREAD_DAEMON, true)
                .map

        /** Addresses come from other programs and may have any length. */
        const val SHOWN_LENGTH = 80

        /** Idle connections are closed within a quarter more than the idle timeout. */
        const val EXPIRY_CHECKS_PER_TIMEOUT = 4
    }
}
