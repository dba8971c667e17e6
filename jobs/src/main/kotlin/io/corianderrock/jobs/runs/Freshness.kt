/*
 * The time since a fact was last confirmed. The monotonic clock stops while the instance is suspended, and the wall clock
 * may step, so the larger of the two ages counts.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.EventLoop
import kotlin.math.abs

/** One point in time on the monotonic clock of the event loop and on the wall clock. */
internal data class ClockReading(
    val loopMs: Long,
    val wallMs: Long,
)

internal fun EventLoop.readClocks(): ClockReading = ClockReading(nowMs, wallMs)

/** The longest time that may have passed since [reading], in milliseconds. */
internal fun EventLoop.longestSinceMs(reading: ClockReading): Long = maxOf(nowMs - reading.loopMs, abs(wallMs - reading.wallMs))

/** Age of the last confirmation, in milliseconds; creation counts as one. Used on the event loop only. */
internal class Freshness(
    private val loop: EventLoop,
) {
    private var confirmed = loop.readClocks()

    /** Loop time of the last confirmation. */
    val confirmedAtMs: Long get() = confirmed.loopMs

    val ageMs: Long get() = loop.longestSinceMs(confirmed)

    /**
     * Records a confirmation as of [at]. For an answer this is the time at which its request was sent: the process may
     * have been suspended in between, which only the wall clock shows.
     */
    fun confirm(at: ClockReading = loop.readClocks()) {
        confirmed = at
    }
}
