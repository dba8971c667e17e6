/*
 * Loads at which the choice of a worker decides when jobs end: a hot rack, wide tasks beside narrow ones, and long-running tasks that
 * are placed during a peak.
 */
package io.corianderrock.jobs.placement

import io.corianderrock.jobs.runs.SchedulingSettings
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.Step
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import kotlin.random.Random

private val SEEDS = 1..8

private const val TASK_MS = 1_000L
private const val LOAD_MS = 8_000L

private fun shortStep(rack: String? = null) = Step(8, Demand(1_500, 1_000), TASK_MS, preferredRack = rack)

private class Outcome(
    val meanMs: Double,
    val coreMsPerJob: Double,
)

/**
 * Jobs of one step that prefer one of four racks of four workers: [hotFactor] times the capacity of that rack. The others take as
 * much as leaves the pool at [poolLoad].
 */
private fun playHotRack(
    seed: Int,
    isOn: Boolean,
    remoteFactor: Double,
    hotFactor: Double,
    poolLoad: Double,
): Outcome {
    val pool = PlacementPool(4, 4, SchedulingSettings(waitsForPreferredRack = isOn), remoteFactor, seed = seed)
    val random = Random(seed)
    val jobsPerMs = 4 * 16 / (8 * 1.5 * TASK_MS * 1.18)
    pool.play(LOAD_MS) {
        if (random.nextDouble() < 10 * jobsPerMs * hotFactor) pool.submit(shortStep("rack-1"))
        if (random.nextDouble() < 10 * jobsPerMs * (4 * poolLoad - hotFactor)) pool.submit(shortStep())
    }
    pool.play(60_000)
    return Outcome(pool.ended().average(), pool.usedCoreMs / pool.ended().size)
}

private fun hotRack(
    isOn: Boolean,
    remoteFactor: Double,
    hotFactor: Double,
    poolLoad: Double = 0.7,
): Outcome {
    val outcomes = SEEDS.map { playHotRack(it, isOn, remoteFactor, hotFactor, poolLoad) }
    return Outcome(outcomes.map { it.meanMs }.average(), outcomes.map { it.coreMsPerJob }.average())
}

/** The times from submission to the last start of wide jobs beside a backlog of narrow ones of lower priority, and the work done. */
private fun playWide(
    seed: Int,
    isOn: Boolean,
): Pair<Double, Double> {
    val pool = PlacementPool(2, 8, SchedulingSettings(keepsRoomForWideTasks = isOn), seed = seed)
    repeat(60) { pool.submit(shortStep(), priority = 1) }
    val wide = ArrayList<Pair<String, Long>>()
    var nextMs = pool.nowMs + 1_000
    pool.play(LOAD_MS) {
        if (pool.nowMs >= nextMs && wide.size < 5) {
            nextMs += 1_000
            wide.add(pool.submit(Step(2, Demand(10_000, 4_000), TASK_MS)) to pool.nowMs)
        }
    }
    val usedCoreMs = pool.usedCoreMs
    pool.play(60_000)
    return wide.map { (id, atMs) -> pool.startsMs(id).max() - atMs }.average() to usedCoreMs
}

/** The number of workers in use after a peak during which long-running tasks were started. */
private fun workersAfterPeak(
    seed: Int,
    isOn: Boolean,
): Int {
    val pool = PlacementPool(3, 8, SchedulingSettings(packsLongRunningTasks = isOn), seed = seed)
    val random = Random(seed)
    pool.play(4_000) {
        if (random.nextDouble() < 0.2) pool.submit(shortStep())
        if (random.nextDouble() < 0.02) pool.submit(Step(3, Demand(1_000, 1_600), 1, maxPerWorker = 1, isLongRunning = true))
    }
    pool.play(20_000)
    return pool.workers.count { it.runs.isNotEmpty() }
}

internal class PlacementTest :
    DescribeSpec({
        describe("a hot rack in a pool that has capacity elsewhere") {
            for ((factor, gain) in listOf(1.5 to 0.99, 3.0 to 0.85)) {
                // Guards against tasks that run remotely at once although their rack is about to have capacity.
                it("ends its jobs sooner if they may wait for it, at a remote factor of $factor") {
                    val on = hotRack(isOn = true, remoteFactor = factor, hotFactor = 1.2)
                    val off = hotRack(isOn = false, remoteFactor = factor, hotFactor = 1.2)
                    on.meanMs shouldBeLessThan gain * off.meanMs
                    on.coreMsPerJob shouldBeLessThan off.coreMsPerJob
                }
            }
            // Guards against waits that cost more than they save once the rack is far overloaded.
            it("ends its jobs no later at twice and three times the capacity of the rack") {
                for (factor in listOf(1.5, 3.0)) {
                    for (hot in listOf(0.5, 2.0, 3.0)) {
                        val on = hotRack(true, factor, hot, poolLoad = 0.9)
                        val off = hotRack(false, factor, hot, poolLoad = 0.9)
                        on.meanMs shouldBeLessThan 1.02 * off.meanMs
                    }
                }
            }
        }
        describe("a hot rack in a pool at 1.3 times its capacity") {
            // Guards against remote runs that save their own job some time and take more of it from all that wait; 0.97 without.
            it("ends jobs sooner if what others lose counts too") {
                val on = hotRack(isOn = true, remoteFactor = 1.5, hotFactor = 1.2, poolLoad = 1.3)
                val off = hotRack(isOn = false, remoteFactor = 1.5, hotFactor = 1.2, poolLoad = 1.3)
                on.meanMs shouldBeLessThan 0.95 * off.meanMs
            }
        }
        describe("a rack whose runs do not end") {
            // Guards against jobs that are without a running task for 3 s while there is capacity (LOST).
            it("holds a task for no longer than running remotely costs, and for none if only long-running tasks run there") {
                val pool = PlacementPool(2, 1, SchedulingSettings(waitsForPreferredRack = true), remoteFactor = 3.0)
                pool.submit(Step(1, Demand(16_000, 1_000), 1, requiredLabel = "rack-0", isLongRunning = true))
                pool.play(10)
                val beside = pool.submit(Step(1, Demand(1_000, 1_000), TASK_MS, preferredRack = "rack-0"))
                val atMs = pool.nowMs
                pool.play(100)
                pool.startsMs(beside).single() - atMs shouldBeLessThan 10L

                val late = PlacementPool(2, 1, SchedulingSettings(waitsForPreferredRack = true), remoteFactor = 3.0)
                // Expected to end after 1 s, and runs for 40 s.
                late.submit(Step(1, Demand(16_000, 1_000), 40_000, requiredLabel = "rack-0"))
                late.play(10)
                late.teach(40, TASK_MS)
                val held = late.submit(Step(1, Demand(1_000, 1_000), TASK_MS, preferredRack = "rack-0"))
                val heldAtMs = late.nowMs
                late.play(3_000)
                val waitedMs = late.startsMs(held).single() - heldAtMs
                waitedMs shouldBeGreaterThan 500L
                waitedMs shouldBeLessThan 1_600L
            }
        }
        describe("wide tasks beside a backlog of narrow ones that come after them") {
            // Guards against wide tasks that wait while narrow ones take each piece of capacity that becomes free.
            it("start sooner if room is kept for them, while the workers are as busy as before") {
                val on = SEEDS.map { playWide(it, isOn = true) }
                val off = SEEDS.map { playWide(it, isOn = false) }
                on.map { it.first }.average() shouldBeLessThan 0.7 * off.map { it.first }.average()
                on.map { it.second }.average() shouldBeGreaterThan 0.95 * off.map { it.second }.average()
            }
            it("are logged with the capacity that is free in sum") {
                val pool = PlacementPool(1, 2, SchedulingSettings(keepsRoomForWideTasks = true))
                repeat(20) { pool.submit(shortStep(), priority = 1) }
                pool.play(300)
                pool.submit(Step(1, Demand(10_000, 4_000), TASK_MS))
                pool.play(1_000)
                pool.events shouldContain "room_kept"
            }
        }
        describe("long-running tasks that are placed during a peak") {
            // Guards against long-running tasks on many workers, whose instances cannot be returned after the peak.
            it("leave more workers empty after it if they are packed") {
                val on = SEEDS.sumOf { workersAfterPeak(it, isOn = true) }
                val off = SEEDS.sumOf { workersAfterPeak(it, isOn = false) }
                on shouldBeGreaterThan 0
                10 * on shouldBeLessThan 7 * off
            }
        }
    })
