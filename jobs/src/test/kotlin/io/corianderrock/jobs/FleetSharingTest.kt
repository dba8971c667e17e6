/*
 * Covers a queue with a backlog of jobs past their deadlines while demand of another queue begins: the backlog must neither
 * take all spare instances nor order instances for jobs that can no longer meet their deadlines.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.fleet.PoolDemand
import io.corianderrock.jobs.fleet.PoolShortage
import io.corianderrock.jobs.fleet.shareSpare
import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.placement.RunTimeEstimator
import io.corianderrock.jobs.runs.Committer
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.runtimes.MeanRunTimes
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.world.SilentTables
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlin.math.abs

private val CAPACITY = Demand(32_000, 128_000)

internal class FleetSharingTest :
    DescribeSpec({
        describe("spare instances") {
            it("are shared by both pools when one has a far larger shortage") {
                val shortages = listOf(PoolShortage("backlog", 14, 26), PoolShortage("beginning", 1, 6))
                val shares = shareSpare(shortages, spareCount = 10)
                val coveredFractions =
                    shortages.map {
                        (it.supplyCount + shares.getValue(it.pool)).toDouble() /
                            (it.supplyCount + it.missingCount)
                    }
                // Both needs are covered to the same fraction, up to the one instance that cannot be split.
                abs(coveredFractions[0] - coveredFractions[1]) shouldBeLessThan 1.0 / 7
                shares.values.sum() shouldBe 10
            }
            it("stay where they are when no pool has a shortage") {
                shareSpare(listOf(PoolShortage("a", 3, 0)), spareCount = 5).shouldBeEmpty()
            }
            it("are not assigned beyond the shortage") {
                shareSpare(listOf(PoolShortage("a", 3, 2)), spareCount = 5) shouldBe mapOf("a" to 2)
            }
        }
        describe("the demand of a pool") {
            it("excludes jobs that can no longer meet their deadlines") {
                val time = SimTime()
                val loop = SimLoop(time)
                val registry =
                    JobRegistry(loop, Committer(loop, SilentTables, { _, _ -> }, OwnerRow("e", "e", 1, 1), 1, { 0 }, {}), { _, _ -> })
                val demand = PoolDemand(loop, registry, RunTimeEstimator(MeanRunTimes()))
                repeat(30) { number -> registry.load(wideJob("job$number"), progress = null, isInherited = false) }
                val countBeforeDeadline = demand.needs { CAPACITY }.getValue("pool").instanceCount
                time.runUntil(time.nowMs + 60_000)
                val countAfterDeadline = demand.needs { CAPACITY }.getValue("pool").instanceCount
                countBeforeDeadline shouldBeGreaterThan 10
                countAfterDeadline shouldBeLessThan 2
            }
            // Guards against an owner that takes over in a peak and counts only running and waiting tasks until new jobs have arrived.
            it("includes the arrivals that inherited jobs tell of, where this is switched on") {
                fun arrivingInstances(estimatesInheritedDemand: Boolean): Double {
                    val loop = SimLoop(SimTime())
                    val committer = Committer(loop, SilentTables, { _, _ -> }, OwnerRow("e", "e", 1, 1), 1, { 0 }, {})
                    val registry = JobRegistry(loop, committer, { _, _ -> })
                    val runTimes = RunTimeEstimator(MeanRunTimes())
                    val demand = PoolDemand(loop, registry, runTimes, estimatesInheritedDemand = estimatesInheritedDemand)
                    registry.onAccepted = demand::onAccepted
                    repeat(30) { number -> registry.load(wideJob("job$number"), progress = null, isInherited = true) }
                    return demand.needs { CAPACITY }.getValue("pool").arrivingInstances
                }
                arrivingInstances(estimatesInheritedDemand = false) shouldBe 0.0
                // 30 jobs of 8 tasks on 3.8 cores each are in progress at once, with 32 cores to an instance.
                arrivingInstances(estimatesInheritedDemand = true) shouldBeGreaterThan 25.0
            }
        }
    })

private fun wideJob(id: String): JobSubmission {
    val queue = Queue("queue", "pool", stretchFactor = 1.6, targetLatencyMs = 600)
    return JobSubmission(id, queue, "work", listOf(Step(8, Demand(3_800, 6_000), estimateMs = 1_400)))
}
