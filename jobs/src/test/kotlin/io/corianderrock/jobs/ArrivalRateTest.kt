/*
 * Guards against pool sizes that lag behind demand which rises for some seconds, faster than instances can be moved.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.fleet.ArrivalRate
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe

private const val STEP_MS = 10L

/** Adds arrivals at the rate [rateAt], in cores, from 0 to [untilMs]. */
private fun ArrivalRate.addArrivals(
    untilMs: Long,
    rateAt: (Long) -> Double,
) {
    for (nowMs in 0..untilMs step STEP_MS) add(rateAt(nowMs) * STEP_MS, nowMs)
}

/**
 * Core-seconds that a pool cannot serve while demand rises by 70 cores per second and [rateOf] determines the pool size.
 * Arrivals before an instance ordered at time 0 could have joined do not count.
 */
private fun unservedCoreSeconds(rateOf: (ArrivalRate, Long) -> Double): Double {
    val rate = ArrivalRate()
    val joinedSizes = ArrayList<Pair<Long, Double>>()
    var unserved = 0.0
    for (nowMs in 0..PEAK_MS step STEP_MS) {
        val demandCores = nowMs * RISE_CORES_PER_MS
        rate.add(demandCores * STEP_MS, nowMs)
        joinedSizes.add(nowMs + JOIN_MS to rateOf(rate, nowMs) * SIZE_MARGIN)
        val servedCores = joinedSizes.filter { it.first <= nowMs }.maxOfOrNull { it.second } ?: 0.0
        if (nowMs >= JOIN_MS) unserved += maxOf(0.0, demandCores - servedCores) * STEP_MS / 1_000
    }
    return unserved
}

private const val PEAK_MS = 5_000L
private const val RISE_CORES_PER_MS = 0.070

/** Ratio of the pool size to the arrival rate. */
private const val SIZE_MARGIN = 1.1

/** A move takes 1.5 s; listing and first polling the new worker takes 0.4 s. */
private const val JOIN_MS = 1_900L

private const val LARGE_JOB_CORE_MS = 300_000.0
private const val SMALL_JOB_COUNT = 100
private const val JOBS_IN_PROGRESS = 100
private const val SMALL_JOB_CORE_MS = 12_000.0
private const val JOB_MS = 1_500.0

internal class ArrivalRateTest :
    DescribeSpec({
        describe("demand that rises by 70 cores per second") {
            it("is extrapolated to the time at which an instance ordered now joins") {
                val rate = ArrivalRate()
                rate.addArrivals(5_000) { nowMs -> nowMs * 0.070 }
                rate.extrapolate(5_000) shouldBe (6_900 * 0.070 plusOrMinus 60.0)
            }
        }
        describe("a peak that rises faster than instances can be moved") {
            it("leaves less than half as much work unserved as with sizes from the current rate") {
                val unservedAtCurrentRate = unservedCoreSeconds(ArrivalRate::at)
                unservedCoreSeconds(ArrivalRate::extrapolate) shouldBeLessThan unservedAtCurrentRate / 2
            }
        }
        describe("one large job in a pool with little demand") {
            // Guards against a pool that takes the instances which another pool needs for a real rise.
            it("is extrapolated to less than what many small jobs of the same work are") {
                val single = ArrivalRate().apply { add(LARGE_JOB_CORE_MS, 0) }
                val rise = ArrivalRate()
                repeat(SMALL_JOB_COUNT) { rise.add(LARGE_JOB_CORE_MS / SMALL_JOB_COUNT, 0) }
                single.extrapolate(0) shouldBeLessThan rise.extrapolate(0) * 0.9
            }
        }
        describe("constant demand") {
            it("is extrapolated unchanged") {
                val rate = ArrivalRate()
                rate.addArrivals(20_000) { 100.0 }
                rate.extrapolate(20_000) shouldBe (100.0 plusOrMinus 10.0)
            }
        }
        describe("jobs in progress at a takeover in a peak") {
            // Guards against a new owner that takes the middle of a peak for its end and orders nothing for a second.
            it("give the rate at which they arrived, without a rise") {
                val rate = ArrivalRate()
                repeat(JOBS_IN_PROGRESS) { rate.addInProgress(SMALL_JOB_CORE_MS, JOB_MS, 0) }
                rate.at(0) shouldBe (JOBS_IN_PROGRESS * SMALL_JOB_CORE_MS / JOB_MS plusOrMinus 1.0)
                rate.extrapolate(0) shouldBe (rate.at(0) plusOrMinus 1.0)
            }
            it("count less and less if nothing arrives any more") {
                val rate = ArrivalRate()
                repeat(JOBS_IN_PROGRESS) { rate.addInProgress(SMALL_JOB_CORE_MS, JOB_MS, 0) }
                rate.at(3_000) shouldBeLessThan rate.at(0) / 10
            }
        }
        describe("falling demand") {
            it("is not extrapolated below the current rate, since queued work must still be served") {
                val rate = ArrivalRate()
                rate.addArrivals(10_000) { nowMs -> if (nowMs < 8_000) 100.0 else 0.0 }
                rate.extrapolate(10_000) shouldBe rate.at(10_000)
            }
        }
    })
