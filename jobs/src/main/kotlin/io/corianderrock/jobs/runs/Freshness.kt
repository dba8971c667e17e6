/*
 * The age of something that was last confirmed at a known moment. The steady clock stands still while the instance is
 * suspended and the time of day may step, so the larger of both ages counts.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.EventLoop
import kotlin.math.abs

/** One moment by both clocks. */
internal data class ClockReading(
    val loopMs: Long,
    val wallMs: Long,
)

/** Returns the present moment. */
internal fun EventLoop.readClocks(): ClockReading = ClockReading(nowMs, wallMs)

internal class Freshness(
    private val loop: EventLoop,
) {
    private var confirmed = loop.readClocks()

    /** Loop time of the last confirmation. */
    val confirmedAtMs: Long get() = confirmed.loopMs

    val ageMs: Long get() = maxOf(loop.nowMs - confirmed.loopMs, abs(loop.wallMs - confirmed.wallMs))

    /**
     * Confirms what held at [at]. For an answer that is the moment at which its request was sent: the process may have
     * been suspended between the two, which only the time of day shows.
     */
    fun confirm(at: ClockReading = loop.readClocks()) {
        confirmed = at
    }
}
