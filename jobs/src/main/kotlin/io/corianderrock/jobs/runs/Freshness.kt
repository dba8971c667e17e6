/*
 * The age of something that was last confirmed at a known moment. The steady clock stands still while the machine is
 * suspended and the time of day may step, so the larger of both ages counts.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.EventLoop
import kotlin.math.abs

internal class Freshness(
    private val loop: EventLoop,
) {
    /** Loop time of the last confirmation. */
    var confirmedAtMs: Long = loop.nowMs
        private set
    private var confirmedWallMs = loop.wallMs

    val ageMs: Long get() = maxOf(loop.nowMs - confirmedAtMs, abs(loop.wallMs - confirmedWallMs))

    /** Confirms what held at [atMs] in loop time. */
    fun confirm(atMs: Long = loop.nowMs) {
        confirmedAtMs = atMs
        confirmedWallMs = loop.wallMs - (loop.nowMs - atMs)
    }
}
