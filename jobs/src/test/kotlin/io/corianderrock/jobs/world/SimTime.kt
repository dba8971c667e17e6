/*
 * Simulated time: one queue of events for the world, and for each entry a loop that can be frozen or killed.
 */
package io.corianderrock.jobs.world

import io.corianderrock.jobs.ports.EventLoop
import java.util.PriorityQueue

internal class SimTime {
    private class Event(
        val atMs: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private val events = PriorityQueue(compareBy<Event>({ it.atMs }, { it.order }))
    private var order = 0L
    var nowMs = 1_000_000L
        private set

    fun after(
        delayMs: Long,
        action: () -> Unit,
    ) {
        events.add(Event(nowMs + maxOf(0, delayMs), order++, action))
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

/** The loop of one process. A frozen loop runs its events when it thaws; a killed one never. */
internal class SimLoop(
    private val time: SimTime,
) : EventLoop {
    var isKilled = false
    var frozenUntilMs = 0L

    /** The steady clock of a frozen process stands still. */
    var lostMs = 0L

    override val nowMs: Long get() = time.nowMs - lostMs
    override val wallMs: Long get() = time.nowMs

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
