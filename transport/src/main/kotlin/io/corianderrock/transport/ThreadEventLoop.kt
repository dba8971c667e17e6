/*
 * Event loop on a dedicated thread.
 */
package io.corianderrock.transport

import io.corianderrock.jobs.ports.EventLoop
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit

/**
 * Runs actions one at a time on a daemon thread called [name]. An exception thrown by an action is logged and does not
 * stop the loop, but for an [OutOfMemoryError], after which [onOutOfMemory] is called: what the action has left undone is not known, and
 * neither are the effects on other threads. By default the process ends, to be started again by its platform. Actions submitted after
 * [close] are logged and dropped.
 */
public class ThreadEventLoop(
    name: String,
    private val onOutOfMemory: () -> Unit = { Runtime.getRuntime().halt(OUT_OF_MEMORY_STATUS) },
) : EventLoop,
    AutoCloseable {
    private val log = EventLog("loop")
    private val executor =
        ScheduledThreadPoolExecutor(1) { Thread(it, name).apply { isDaemon = true } }.apply { removeOnCancelPolicy = true }

    override val nowMs: Long get() = System.nanoTime() / NS_PER_MS

    override val wallMs: Long get() = System.currentTimeMillis()

    override fun post(action: () -> Unit) {
        try {
            executor.execute { runLogged(action) }
        } catch (e: RejectedExecutionException) {
            log.warn("action-dropped", "reason" eq e.message)
        }
    }

    override fun after(
        delayMs: Long,
        action: () -> Unit,
    ) {
        try {
            executor.schedule({ runLogged(action) }, delayMs, TimeUnit.MILLISECONDS)
        } catch (e: RejectedExecutionException) {
            log.warn("action-dropped", "reason" eq e.message)
        }
    }

    private fun runLogged(action: () -> Unit) {
        try {
            action()
        } catch (e: RuntimeException) {
            logFailure(e)
        } catch (e: OutOfMemoryError) {
            try {
                logFailure(e)
            } finally {
                onOutOfMemory()
            }
        } catch (e: Error) {
            // The executor would keep it to itself.
            logFailure(e)
            throw e
        }
    }

    private fun logFailure(failure: Throwable) =
        log.error("action-failed", failure, "at" eq failure.stackTrace.take(LOGGED_STACK_FRAMES).joinToString("<"))

    override fun close() {
        executor.shutdownNow()
    }

    private companion object {
        const val NS_PER_MS = 1_000_000

        /** The status with which the virtual machine exits by itself when it has run out of memory. */
        const val OUT_OF_MEMORY_STATUS = 3

        /** The number of stack frames in the log line of a failed action. */
        const val LOGGED_STACK_FRAMES = 4
    }
}
