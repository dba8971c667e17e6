/*
 * Look-ups of host names for the asynchronous client. They block, so they run on threads of their own.
 */
package io.corianderrock.transport

import org.xnio.XnioIoThread
import java.io.IOException
import java.net.InetAddress
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** Confined to [ioThread], on which results are delivered. [lookUp] blocks and throws [IOException] if there is no such host. */
internal class HostLookup(
    private val ioThread: XnioIoThread,
    private val lookUp: (String) -> InetAddress,
) {
    private val waitingByHost = HashMap<String, MutableList<(Result<InetAddress>) -> Unit>>()
    private val executor =
        ThreadPoolExecutor(MAX_THREADS, MAX_THREADS, IDLE_THREAD_S, TimeUnit.SECONDS, LinkedBlockingQueue()) {
            Thread(it, "host-lookup").apply { isDaemon = true }
        }.apply { allowCoreThreadTimeOut(true) }

    /** Calls [onResult] with the address of [target], at once if that is numeric. Callers that want the same name share a look-up. */
    fun resolve(
        target: HostPort,
        onResult: (Result<InetAddress>) -> Unit,
    ) {
        val ip = target.ip
        if (ip != null) return onResult(Result.success(ip))
        val waiting = waitingByHost[target.host]
        if (waiting != null) {
            waiting.add(onResult)
            return
        }
        waitingByHost[target.host] = arrayListOf(onResult)
        executor.execute { lookUpHost(target.host) }
    }

    private fun lookUpHost(host: String) {
        val result =
            try {
                Result.success(lookUp(host))
            } catch (e: IOException) {
                Result.failure(IOException("look-up of $host failed: $e", e))
            } catch (e: RuntimeException) {
                Result.failure(IOException("look-up of $host failed: $e", e))
            }
        ioThread.execute { waitingByHost.remove(host)?.forEach { it(result) } }
    }

    private companion object {
        /** More than one, so that a name server that does not answer for one host delays others less. */
        const val MAX_THREADS = 4
        const val IDLE_THREAD_S = 10L
    }
}
