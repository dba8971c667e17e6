/*
 * Feeds the forecast of pool sizes with demand that peaks in one pool after another.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.fleet.PeakForecast
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.maps.shouldContainExactly
import io.kotest.matchers.shouldBe

private val POOLS = listOf("a", "b", "c", "d")
private const val PEAK_INTERVAL_MS = 4_500L

/** Observes [peakCount] peaks of ten instances each, one pool after another; returns the onset of the last one in ms. */
private fun PeakForecast.play(peakCount: Int): Long {
    for (number in 0 until peakCount) {
        val peakPool = POOLS[number % POOLS.size]
        for (step in 0 until PEAK_INTERVAL_MS step 50) {
            observe(POOLS.associateWith { if (it == peakPool) 10.0 else 0.2 }, number * PEAK_INTERVAL_MS + step)
        }
    }
    return (peakCount - 1) * PEAK_INTERVAL_MS
}

private const val LATE_ONSET_MS = 22_000L

/** Observes the peaks of three pools, the third of them at [LATE_ONSET_MS] instead of 18,000 ms. */
private fun PeakForecast.playLatePeak() {
    for ((pool, onsetMs) in listOf("a" to 0L, "b" to 9_000L, "c" to LATE_ONSET_MS)) observe(mapOf(pool to 10.0), onsetMs)
}

internal class PeakForecastTest :
    DescribeSpec({
        describe("before a full rotation has been observed") {
            it("expects no peak while the demand of all pools is low") {
                val forecast = PeakForecast()
                forecast.observe(POOLS.associateWith { 0.3 }, 0)
                forecast.peaks.shouldBeEmpty()
                forecast.expected(POOLS, 5_000).shouldBeEmpty()
            }
            it("expects the pools without a peak so far once the interval between peaks is known") {
                val forecast = PeakForecast()
                val lastOnsetMs = forecast.play(2)
                forecast.expected(POOLS, lastOnsetMs + PEAK_INTERVAL_MS - 1_000) shouldContainExactly mapOf("c" to 10.0, "d" to 10.0)
            }
        }
        describe("after three peaks, the last of which was detected late because of an outage") {
            // Guards against a forecast that comes after the peak: an outage of 4 s lengthened the last interval from 9 to 13 s.
            it("expects the next peak after the shorter and until the longer of the two intervals") {
                val forecast = PeakForecast(toleratesUnevenIntervals = true).apply { playLatePeak() }
                forecast.expected(POOLS, LATE_ONSET_MS + 9_000 - 2_000) shouldContainExactly mapOf("d" to 10.0)
                forecast.expected(POOLS, LATE_ONSET_MS + 13_000 + 1_000) shouldContainExactly mapOf("d" to 10.0)
                forecast.expected(POOLS, LATE_ONSET_MS + 13_000 + 2_000).shouldBeEmpty()
            }
            it("expects it only after the longer one if uneven intervals are not tolerated") {
                val forecast = PeakForecast().apply { playLatePeak() }
                forecast.expected(POOLS, LATE_ONSET_MS + 9_000).shouldBeEmpty()
                forecast.expected(POOLS, LATE_ONSET_MS + 13_000) shouldContainExactly mapOf("d" to 10.0)
            }
        }
        describe("after a full rotation") {
            it("expects only the next pool, early enough to move instances") {
                val forecast = PeakForecast()
                val lastOnsetMs = forecast.play(5)
                forecast.expected(POOLS, lastOnsetMs + PEAK_INTERVAL_MS - 2_500) shouldContainExactly mapOf("b" to 10.0)
                forecast.expected(POOLS, lastOnsetMs + 1_700).shouldBeEmpty()
            }
            it("expects a full peak as soon as it has begun") {
                val forecast = PeakForecast()
                val lastOnsetMs = forecast.play(5)
                forecast.observe(mapOf("a" to 0.5, "b" to 1.2), lastOnsetMs + PEAK_INTERVAL_MS)
                forecast.expected(POOLS, lastOnsetMs + PEAK_INTERVAL_MS + 100) shouldContainExactly mapOf("b" to 10.0)
            }
            it("drops a peak that is overdue") {
                val forecast = PeakForecast()
                val lastOnsetMs = forecast.play(5)
                forecast.expected(POOLS, lastOnsetMs + PEAK_INTERVAL_MS + 2_000).shouldBeEmpty()
            }
            it("continues from stored peaks") {
                val forecast = PeakForecast()
                val lastOnsetMs = forecast.play(5)
                val next = PeakForecast(forecast.peaks)
                next.expected(POOLS, lastOnsetMs + PEAK_INTERVAL_MS - 1_000).keys.shouldContainExactly("b")
            }
            it("keeps a bounded history") {
                val forecast = PeakForecast()
                forecast.play(50)
                forecast.peaks.size shouldBe 12
            }
        }
    })
