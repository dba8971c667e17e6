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
) {
    private val ioThread: XnioIoThread = Xnio.getInstance().createWorker(WORKER_OPTIONS).ioThread
    private val connectionsByAuthority = HashMap<String, HostConnections>()

    init {
        ioThread.execute(::closeExpired)
    }

    /**
     * Sends one request to [url] (`http://host:port/path`), without retries. The call, from connect to last byte, takes at most
     * [timeoutMs]; [onResult] runs on the loop.
     */
    public fun send(
        method: String,
        url: String,
        body: ByteArray,
        timeoutMs: Long,
        headers: Map<String, String> = emptyMap(),
        onResult: (HttpResult) -> Unit,
    ) {
        val target = url.removePrefix("http://")
        val authority = target.substringBefore('/')
        val request = HttpCallRequest(method, authority, "/" + target.substringAfter('/', ""), headers, body)
        val call = HttpCall(request, ioThread) { result -> loop.post { onResult(result) } }
        ioThread.execute {
            call.startTimer(timeoutMs)
            connectionsByAuthority.getOrPut(authority) { HostConnections(authority, ioThread, limits) }.start(call)
        }
    }

    private fun closeExpired() {
        val hosts = connectionsByAuthority.values.iterator()
        while (hosts.hasNext()) {
            val host = hosts.next()
            host.closeExpired()
            if (host.isUnused) hosts.remove()
        }
        ioThread.executeAfter(::closeExpired, limits.idleTimeoutMs / EXPIRY_CHECKS_PER_TIMEOUT, TimeUnit.MILLISECONDS)
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

        /** Idle connections are closed within a quarter more than the idle timeout. */
        const val EXPIRY_CHECKS_PER_TIMEOUT = 4
    }
}
