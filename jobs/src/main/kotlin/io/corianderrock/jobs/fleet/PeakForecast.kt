/*
 * Forecasts demand that rotates between pools: one pool after the other has a peak of several times its mean demand,
 * longer than an instance needs to move but too short to wait for one. What was learnt is a list of past peaks, small
 * enough to be stored, so that a new owner goes on where the earlier one stopped.
 */
package io.corianderrock.jobs.fleet

import kotlinx.serialization.Serializable

/** A peak of [pool] that began at [startedWallMs] and in which arriving work filled up to [peakInstances]. */
@Serializable
internal data class DemandPeak(
    val pool: String,
    val startedWallMs: Long,
    val peakInstances: Double,
)

internal class PeakForecast(
    peaks: List<DemandPeak> = emptyList(),
) {
    private val history = ArrayList(peaks)

    /** Past peaks and the present one, oldest first. */
    val peaks: List<DemandPeak> get() = history.toList()

    /**
     * Notes how many instances the work arriving at each pool fills now. Returns true when a peak has begun, which is
     * worth storing.
     */
    fun observe(
        arrivingInstances: Map<String, Double>,
        wallMs: Long,
    ): Boolean {
        val (pool, rate) = arrivingInstances.maxByOrNull { it.value } ?: return false
        val present = history.lastOrNull()
        if (present?.pool == pool) {
            if (rate > present.peakInstances) history[history.lastIndex] = present.copy(peakInstances = rate)
            return false
        }
        if (rate < MIN_PEAK_INSTANCES) return false
        if (present != null && wallMs - present.startedWallMs < MIN_PEAK_INTERVAL_MS) return false
        history.add(DemandPeak(pool, wallMs, rate))
        if (history.size > MAX_PEAKS) history.removeAt(0)
        return true
    }

    /** Returns how many instances arriving work is expected to fill before a move ordered now would be too late. */
    fun expected(
        pools: Collection<String>,
        wallMs: Long,
    ): Map<String, Double> {
        val present = history.lastOrNull() ?: return emptyMap()
        val ageMs = wallMs - present.startedWallMs
        if (ageMs < RISE_MS) return mapOf(present.pool to (peakBefore(present) ?: 0.0))
        val intervalMs = peakIntervalMs() ?: return emptyMap()
        if (ageMs !in intervalMs - LEAD_MS..intervalMs + LATE_MS) return emptyMap()
        return followersOf(present, pools).associateWith { pool -> lastPeakOf(pool) ?: typicalPeak() }
    }

    private fun peakBefore(present: DemandPeak): Double? = history.dropLast(1).lastOrNull { it.pool == present.pool }?.peakInstances

    private fun lastPeakOf(pool: String): Double? = history.lastOrNull { it.pool == pool }?.peakInstances

    private fun typicalPeak(): Double = median(history.map { it.peakInstances })

    /** The pool that followed the present one before; else every pool that has not had a peak yet. */
    private fun followersOf(
        present: DemandPeak,
        pools: Collection<String>,
    ): List<String> {
        val before = history.dropLast(1).indexOfLast { it.pool == present.pool }
        if (before >= 0) return listOf(history[before + 1].pool)
        return pools.filter { pool -> history.none { it.pool == pool } }
    }

    private fun peakIntervalMs(): Long? {
        if (history.size < 2) return null
        return median(history.zipWithNext { earlier, later -> (later.startedWallMs - earlier.startedWallMs).toDouble() }).toLong()
    }

    private fun median(values: List<Double>): Double = values.sorted()[values.size / 2]

    private companion object {
        /** A pool has no peak while arriving work fills less than this; one instance serves that without a move. */
        const val MIN_PEAK_INSTANCES = 1.0

        /** Shorter than a move, so that noise does not count as a peak. */
        const val MIN_PEAK_INTERVAL_MS = 1_500L

        /** Until then the measured rate of arrivals lags behind the demand of a peak that has just begun. */
        const val RISE_MS = 1_500L

        /** A move takes 1.5 s, its worker 0.4 s to be listed and asked, and a peak is noticed 0.6 s after it began. */
        const val LEAD_MS = 2_600L

        /** How late a peak may be before it is no longer expected. */
        const val LATE_MS = 1_500L

        /** Three rotations of four pools. */
        const val MAX_PEAKS = 12
    }
}
