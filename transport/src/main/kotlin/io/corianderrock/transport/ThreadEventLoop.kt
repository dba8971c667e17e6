/*
 * An event loop on one thread of its own.
 */
package io.corianderrock.transport

import io.corianderrock.jobs.ports.EventLoop
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** Runs actions on a daemon thread called [name]; an action that throws is logged and does not end the loop. */
public class ThreadEventLoop(
    name: String,
) : EventLoop,
    AutoCloseable {
    private val log = EventLog("loop")
    private val executor =
        ScheduledThreadPoolExecutor(1) { Thread(it, name).apply { isDaemon = true } }.apply { removeOnCancelPolicy = true }

    override val nowMs: Long get() = System.nanoTime() / NS_PER_MS

    override val wallMs: Long get() = System.currentTimeMillis()

    override fun post(action: () -> Unit) {
        try {
            executor.execute { run(action) }
        } catch (e: RejectedExecutionException) {
            log.warn("action-dropped", "reason" eq e.message)
        }
    }

    override fun after(
        delayMs: Long,
        action: () -> Unit,
    ) {
        try {
            executor.schedule({ run(action) }, delayMs, TimeUnit.MILLISECONDS)
        } catch (e: RejectedExecutionException) {
            log.warn("action-dropped", "reason" eq e.message)
        }
    }

    private fun run(action: () -> Unit) {
        try {
            action()
        } catch (e: RuntimeException) {
            log.error("action-failed", e, "at" eq e.stackTrace.take(STACK_LINES).joinToString("<"))
        }
    }

    override fun close() {
        executor.shutdownNow()
    }

    private companion object {
        const val NS_PER_MS = 1_000_000

        /** Frames of a failure that go into its log line. */
        const val STACK_LINES = 4
    }
}
