/*
 * Covers a pool whose demand falls after a peak while some of its instances are still joining, as after a data centre was cut
 * off at the peak: instances that serve callers must not be released in favour of ones that do not serve yet.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.fleet.CordonReason
import io.corianderrock.jobs.fleet.InstanceView
import io.corianderrock.jobs.fleet.PoolDemand
import io.corianderrock.jobs.fleet.PoolSizer
import io.corianderrock.jobs.fleet.PoolState
import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.placement.RunTimeEstimator
import io.corianderrock.jobs.ports.Instance
import io.corianderrock.jobs.ports.InstanceState
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.runs.Committer
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.runs.SchedulingSettings
import io.corianderrock.jobs.runtimes.MeanRunTimes
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.WorkerView
import io.corianderrock.jobs.world.SilentTables
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

private val CAPACITY = Demand(16_000, 32_000)
private const val POOL = "pool"

/** Well beyond the time for which a pool keeps instances after its need has fallen. */
private const val SETTLED_MS = 4_000L
private const val TICK_MS = 100L

private class SizerScene(
    joinedCount: Int,
    joiningCount: Int,
    jobCount: Int,
) {
    val time = SimTime()
    private val loop = SimLoop(time)
    private val committer = Committer(loop, SilentTables, { _, _ -> }, OwnerRow("e", "e", 1, 1), 1, { 0 }, {})
    private val registry = JobRegistry(loop, committer, { _, _ -> })
    private val demand = PoolDemand(loop, registry, RunTimeEstimator(MeanRunTimes()))
    private val workers = (0 until joinedCount).associate { "m$it" to workerOn("m$it") }
    private val sizer =
        PoolSizer(loop, { _, _ -> }, demand, { 0 }, SchedulingSettings(keepsUsableInstances = true)) { workers[it.instance.id] }
    val instances =
        workers.keys.map { InstanceView(instance(it, InstanceState.UP)) } +
            (0 until joiningCount).map { InstanceView(instance("j$it", InstanceState.MOVING)) }

    init {
        repeat(jobCount) { number -> registry.load(oneTaskJob("job$number"), progress = null, isInherited = false) }
    }

    fun state(): PoolState = sizer.states(listOf(POOL), instances) { CAPACITY }.single()

    /** The state after [durationMs] of ticks in which nothing changes. */
    fun stateAfter(durationMs: Long): PoolState {
        repeat((durationMs / TICK_MS).toInt()) {
            state()
            time.runUntil(time.nowMs + TICK_MS)
        }
        return state()
    }

    private fun workerOn(instanceId: String) =
        WorkerView(WorkerEntry("w-$instanceId", "w", POOL, "dc", instanceId, CAPACITY, emptyList(), false, null, 0))
            .also { it.isReconciled = true }

    private fun instance(
        id: String,
        state: InstanceState,
    ) = Instance(id, POOL, state, "dc", emptyList(), CAPACITY, workerId = null)

    /** A job that fills an instance and stays before its deadline throughout a test. */
    private fun oneTaskJob(id: String): JobSubmission {
        val queue = Queue("queue", POOL, stretchFactor = 1.6, targetLatencyMs = 60_000)
        return JobSubmission(id, queue, "work", listOf(Step(1, Demand(13_600, 1_000), estimateMs = 900)))
    }
}

internal class PoolSizerTest :
    DescribeSpec({
        describe("a pool whose missing instances have been ordered from another pool, where they are cordoned") {
            // Guards against ordering more instances in each tick while the answers to the orders take long, as with a slow store.
            it("misses none of them a second time") {
                val scene = SizerScene(joinedCount = 4, joiningCount = 4, jobCount = 8)
                for (view in scene.instances.takeLast(4)) {
                    view.cordonReason = CordonReason.SURPLUS
                    view.isOrdered = true
                    view.movingTo = POOL
                }
                scene.state().missing shouldBe 0
            }
        }
        describe("a pool with more supply than need, part of which is still joining") {
            // Guards against a queue that builds up because usable instances were cordoned: 37 of 111, with 89 needed.
            it("releases no instance that the current work needs") {
                val scene = SizerScene(joinedCount = 8, joiningCount = 6, jobCount = 8)
                val state = scene.stateAfter(SETTLED_MS)
                state.need.instanceCount shouldBe 8
                state.surplus shouldBe 0
                state.idleCount shouldBe 0
            }
            it("releases usable instances beyond the current work") {
                val state = SizerScene(joinedCount = 12, joiningCount = 6, jobCount = 8).stateAfter(SETTLED_MS)
                state.surplus shouldBeGreaterThan 0
                state.surplus shouldBeLessThanOrEqual 4
            }
        }
    })
