/*
 * The share of the usual rate at which an entry may call the store: halved at once when the store is overloaded, regained evenly
 * over some seconds (additive increase, multiplicative decrease).
 */
package io.corianderrock.jobs.storerate

import io.corianderrock.jobs.ports.EventLoop

/** Confined to [loop]. */
internal class RateLevel(
    private val loop: EventLoop,
) {
    private var loweredTo = FULL
    private var loweredAtMs = Long.MIN_VALUE / 2

    /** Between [REFUSED_FLOOR] and 1. */
    val value: Double get() = minOf(FULL, loweredTo + (loop.nowMs - loweredAtMs) * GAIN_PER_MS)

    val isFull: Boolean get() = value >= FULL

    /**
     * Halves the level, to [floor] at least, for a call that was sent at [sentAtMs]. Calls that were sent before the last decrease
     * tell nothing about the store at the lower rate.
     */
    fun lower(
        sentAtMs: Long,
        floor: Double,
    ) {
        val current = value
        if (sentAtMs < loweredAtMs || current <= floor) return
        loweredTo = maxOf(floor, current / 2)
        loweredAtMs = loop.nowMs
    }

    fun lowerToFloor() {
        loweredTo = REFUSED_FLOOR
        loweredAtMs = loop.nowMs
    }

    companion object {
        private const val FULL = 1.0

        /** From the floor to the full rate within 5 s, the length of usual outages. */
        private const val GAIN_PER_MS = 0.0002

        /** Least level while calls are refused or not answered: some calls must show that the store is back. */
        const val REFUSED_FLOOR = 1.0 / 16

        /** Least level while the store is merely slow. The bound on calls in flight, which is lowered too, follows its speed. */
        const val SLOW_FLOOR = 1.0 / 4
    }
}
