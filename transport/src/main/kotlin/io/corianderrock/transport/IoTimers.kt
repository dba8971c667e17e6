/*
 * Time limits on an I/O thread that is held up at times. XNIO runs due timers before it handles channels that are ready, so a thread
 * that had no core, collected garbage or loaded classes past a time limit would report it as exceeded although the peer had answered.
 */
package io.corianderrock.transport

import org.xnio.XnioExecutor
import org.xnio.XnioIoThread
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit

/** A timer that can be cancelled. Confined to its I/O thread. */
internal class IoTimer(
    private val onReached: () -> Unit,
) {
    private var key: XnioExecutor.Key? = null
    private var isCancelled = false

    fun schedule(
        ioThread: XnioIoThread,
        delayMs: Long,
        onDue: () -> Unit,
    ) {
        key = ioThread.executeAfter(onDue, delayMs, TimeUnit.MILLISECONDS)
    }

    fun run() {
        if (!isCancelled) onReached()
    }

    fun cancel() {
        isCancelled = true
        key?.remove()
    }
}

/** Starts timers on [ioThread], to which it is confined. */
internal class IoTimers(
    private val ioThread: XnioIoThread,
) {
    /** Always ready to read while [due] is not empty, so that the thread reaches it in its next pass over the ready channels. */
    private val pipe = ioThread.createHalfDuplexPipe(ioThread)
    private val due = ArrayList<IoTimer>()

    init {
        val source = pipe.leftSide
        source.readSetter.set { onPass() }
        source.resumeReads()
    }

    /** Calls [onReached] after [delayMs], once the events that have arrived until then are handled, unless one of them cancels the timer. */
    fun start(
        delayMs: Long,
        onReached: () -> Unit,
    ): IoTimer {
        val timer = IoTimer(onReached)
        timer.schedule(ioThread, delayMs) { onDue(timer) }
        return timer
    }

    private fun onDue(timer: IoTimer) {
        due.add(timer)
        if (due.size > 1) return
        try {
            pipe.rightSide.write(ByteBuffer.allocate(1))
        } catch (_: IOException) {
            runDue()
        }
    }

    /** The other channels of this pass may come after the pipe; a task runs after all of them. */
    private fun onPass() {
        try {
            pipe.leftSide.read(ByteBuffer.allocate(1))
        } catch (_: IOException) {
            pipe.leftSide.suspendReads()
        }
        ioThread.execute(::runDue)
    }

    private fun runDue() {
        val reached = due.toList()
        due.clear()
        reached.forEach { it.run() }
    }
}
