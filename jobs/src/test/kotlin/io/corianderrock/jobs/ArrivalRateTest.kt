/*
 * Demand that rises for some seconds, faster than instances can follow.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.fleet.ArrivalRate
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe

private const val STEP_MS = 10L

/** Feeds [rateAt] until [untilMs]. */
private fun ArrivalRate.feed(
    untilMs: Long,
    rateAt: (Long) -> Double,
) {
    for (nowMs in 0..untilMs step STEP_MS) add(rateAt(nowMs) * STEP_MS, nowMs)
}

/**
 * Core-seconds that a pool cannot serve while demand rises by 70 cores a second, with sizes after [rateOf]. What arrives
 * before an instance that is ordered at the very start has joined is not counted.
 */
private fun unservedCoreSeconds(rateOf: (ArrivalRate, Long) -> Double): Double {
    val rate = ArrivalRate()
    val joinedAtMs = ArrayList<Pair<Long, Double>>()
    var unserved = 0.0
    for (nowMs in 0..PEAK_MS step STEP_MS) {
        val demandCores = nowMs * RISE_CORES_PER_MS
        rate.add(demandCores * STEP_MS, nowMs)
        joinedAtMs.add(nowMs + JOIN_MS to rateOf(rate, nowMs) * SIZE_MARGIN)
        val servedCores = joinedAtMs.filter { it.first <= nowMs }.maxOfOrNull { it.second } ?: 0.0
        if (nowMs >= JOIN_MS) unserved += maxOf(0.0, demandCores - servedCores) * STEP_MS / 1_000
    }
    return unserved
}

private const val PEAK_MS = 5_000L
private const val RISE_CORES_PER_MS = 0.070

/** Room above the rate of arrivals in the sizes of pools. */
private const val SIZE_MARGIN = 1.1

/** A move takes 1.5 s, and its worker 0.4 s to be listed and asked. */
private const val JOIN_MS = 1_900L

internal class ArrivalRateTest :
    DescribeSpec({
        describe("demand that rises by 70 cores a second") {
            it("is foreseen when an instance ordered now has joined") {
                val rate = ArrivalRate()
                rate.feed(5_000) { nowMs -> nowMs * 0.070 }
                rate.extrapolate(5_000) shouldBe (6_900 * 0.070 plusOrMinus 60.0)
            }
        }
        describe("a peak of one queue that rises faster than instances can follow") {
            it("leaves at most half of what is left unserved by sizes after the measured rate") {
                val afterMeasured = unservedCoreSeconds(ArrivalRate::at)
                unservedCoreSeconds(ArrivalRate::extrapolate) shouldBeLessThan afterMeasured / 2
            }
        }
        describe("demand that stays") {
            it("is foreseen as it is") {
                val rate = ArrivalRate()
                rate.feed(20_000) { 100.0 }
                rate.extrapolate(20_000) shouldBe (100.0 plusOrMinus 10.0)
            }
        }
        describe("demand that falls") {
            it("is not foreseen to fall further, since what is there must still be served") {
                val rate = ArrivalRate()
                rate.feed(10_000) { nowMs -> if (nowMs < 8_000) 100.0 else 0.0 }
                rate.extrapolate(10_000) shouldBe rate.at(10_000)
            }
        }
    })
