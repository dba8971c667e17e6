/*
 * Simulated time: one event queue for the whole simulation, and for each entry an event loop that can be frozen or killed.
 */
package io.corianderrock.jobs.world

import io.corianderrock.jobs.ports.EventLoop
import java.util.PriorityQueue

internal class SimTime {
    private class Event(
        val atMs: Long,
        val sequence: Long,
        val action: () -> Unit,
    )

    private val events = PriorityQueue(compareBy<Event>({ it.atMs }, { it.sequence }))
    private var sequence = 0L
    var nowMs = 1_000_000L
        private set

    fun after(
        delayMs: Long,
        action: () -> Unit,
    ) {
        events.add(Event(nowMs + maxOf(0, delayMs), sequence++, action))
    }

    fun runUntil(endMs: Long) {
        while (true) {
            val next = events.peek() ?: break
            if (next.atMs > endMs) break
            events.poll()
            nowMs = next.atMs
            next.action()
        }
        nowMs = endMs
    }
}

/** The event loop of one process. A frozen loop runs its pending events once [frozenUntilMs] has passed, a killed one never. */
internal class SimLoop(
    private val time: SimTime,
) : EventLoop {
    var isKilled = false
    var frozenUntilMs = 0L

    /** Time that the monotonic clock of the process missed while the process was suspended. */
    var suspendedMs = 0L

    /** By how much the time of day of the process is ahead of the others'. */
    var wallOffsetMs = 0L

    override val nowMs: Long get() = time.nowMs - suspendedMs
    override val wallMs: Long get() = time.nowMs + wallOffsetMs

    override fun post(action: () -> Unit) = after(0, action)

    override fun after(
        delayMs: Long,
        action: () -> Unit,
    ) = time.after(delayMs) { run(action) }

    private fun run(action: () -> Unit) {
        if (isKilled) return
        if (time.nowMs < frozenUntilMs) time.after(frozenUntilMs - time.nowMs) { run(action) } else action()
    }
}
