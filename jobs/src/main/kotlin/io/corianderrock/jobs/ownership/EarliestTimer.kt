/*
 * A timer that holds one pending action. Actions that set the timer again from several places would otherwise multiply: each of them
 * starts another chain of timers, and the chains add up to a steady load on what the action calls.
 */
package io.corianderrock.jobs.ownership

import io.corianderrock.jobs.ports.EventLoop

/** Runs [action] at the earliest of the times requested since it ran last. Confined to [loop]. */
internal class EarliestTimer(
    private val loop: EventLoop,
    private val action: () -> Unit,
) {
    private var dueAtMs = Long.MAX_VALUE

    /** Requests the action in [delayMs]; an earlier request stays in force. */
    fun runAfter(delayMs: Long) {
        val atMs = loop.nowMs + delayMs
        if (atMs >= dueAtMs) return
        dueAtMs = atMs
        loop.after(delayMs) {
            if (dueAtMs != atMs) return@after
            dueAtMs = Long.MAX_VALUE
            action()
        }
    }
}
