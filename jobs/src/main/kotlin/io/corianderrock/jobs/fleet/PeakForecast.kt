/*
 * Forecasts demand that rotates between pools: the pools peak one after another at several times their mean demand. A
 * peak lasts longer than a move of an instance, but not long enough to react to it after it has begun. The model is a
 * short list of past peaks; it is stored, so that a new owner continues with it.
 */
package io.corianderrock.jobs.fleet

import kotlinx.serialization.Serializable

/** A peak of [pool] that began at [startedWallMs]; arriving work filled at most [peakInstances] instances. */
@Serializable
internal data class DemandPeak(
    val pool: String,
    val startedWallMs: Long,
    val peakInstances: Double,
)

internal class PeakForecast(
    peaks: List<DemandPeak> = emptyList(),
    /**
     * True to expect the next peak from the lower to the upper of two middle intervals. An outage during a peak delays its
     * detection, so that one interval is too long; by the upper one alone the next peak is expected after it has begun.
     */
    private val toleratesUnevenIntervals: Boolean = false,
) {
    private val history = ArrayList(peaks)

    /** Past peaks and the current one, oldest first. */
    val peaks: List<DemandPeak> get() = history.toList()

    /**
     * Records how many instances the work arriving at each pool fills at [wallMs]. Returns true when a new peak was
     * added and [peaks] should be stored; a higher value of the current peak alone returns false.
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

    /** Returns, by pool, how many instances arriving work is expected to fill by the time a move ordered now completes. */
    fun expected(
        pools: Collection<String>,
        wallMs: Long,
    ): Map<String, Double> {
        val present = history.lastOrNull() ?: return emptyMap()
        val ageMs = wallMs - present.startedWallMs
        if (ageMs < ONSET_MS) return mapOf(present.pool to (peakBefore(present) ?: 0.0))
        val intervalsMs = peakIntervalsMs() ?: return emptyMap()
        if (ageMs !in intervalsMs.first - LEAD_TIME_MS..intervalsMs.last + LATE_TOLERANCE_MS) return emptyMap()
        return successorsOf(present, pools).associateWith { pool -> lastPeakOf(pool) ?: medianPeak() }
    }

    private fun peakBefore(present: DemandPeak): Double? = history.dropLast(1).lastOrNull { it.pool == present.pool }?.peakInstances

    private fun lastPeakOf(pool: String): Double? = history.lastOrNull { it.pool == pool }?.peakInstances

    private fun medianPeak(): Double = median(history.map { it.peakInstances })

    /** The pool that followed the current one last time; without such a record, every pool that has not peaked yet. */
    private fun successorsOf(
        present: DemandPeak,
        pools: Collection<String>,
    ): List<String> {
        val before = history.dropLast(1).indexOfLast { it.pool == present.pool }
        if (before >= 0) return listOf(history[before + 1].pool)
        return pools.filter { pool -> history.none { it.pool == pool } }
    }

    /** The least and the greatest interval after which the next peak is expected. */
    private fun peakIntervalsMs(): LongRange? {
        if (history.size < 2) return null
        val sorted = history.zipWithNext { earlier, later -> later.startedWallMs - earlier.startedWallMs }.sorted()
        val upper = sorted[sorted.size / 2]
        if (!toleratesUnevenIntervals) return upper..upper
        val lower = sorted[(sorted.size - 1) / 2]
        return lower..minOf(upper, lower + MAX_UNEVENNESS_MS)
    }

    private fun median(values: List<Double>): Double = values.sorted()[values.size / 2]

    companion object {
        /** Instances are kept ready no longer than a peak lasts. */
        private const val MAX_UNEVENNESS_MS = 4_500L

        /** Less than this is no peak: the one instance that each pool keeps serves it without a move. */
        private const val MIN_PEAK_INSTANCES = 1.0

        /** Least time between the starts of two peaks, as long as a move, so that noise does not count as a peak. */
        private const val MIN_PEAK_INTERVAL_MS = 1_500L

        /** For this long after the start of a peak, the measured arrival rate lags behind the demand. */
        private const val ONSET_MS = 1_500L

        /** A move takes 1.5 s, listing and polling its worker 0.4 s, and a peak is detected 0.6 s after its start. */
        const val LEAD_TIME_MS = 2_600L

        /** A peak that is overdue by more than this is no longer expected. */
        private const val LATE_TOLERANCE_MS = 1_500L

        /** Three rotations of four pools. */
        private const val MAX_PEAKS = 12
    }
}
