/*
 * Run times measured by the workers' clocks, while their owner is frozen for a while again and again.
 */
package io.corianderrock.jobs.runtimes

import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.world.JobWorld
import io.corianderrock.jobs.world.STEADY_SPEC
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan

private const val RUN_MS = 700L

/** Clocks run up to 2 % slow, and a run may end 200 ms before the list that reports it is requested. */
private val MEASURED_MS = 680L..930L
private const val LOAD_FROM_MS = 3_000L
private const val LOAD_TO_MS = 13_000L
private const val FROZEN_EVERY_MS = 2_600L

/** Too short for the owner to be replaced. */
private const val FROZEN_MS = 600L

private fun schedule(
    world: JobWorld,
    isFrozen: Boolean,
) {
    for (atMs in LOAD_FROM_MS until LOAD_TO_MS step 100) {
        val step = Step(2, Demand(500, 500), estimateMs = RUN_MS)
        val queue = Queue("queue-a", "a", stretchFactor = 1.6, targetLatencyMs = 600)
        world.time.after(atMs) { world.submit(JobSubmission("steady-$atMs", queue, STEADY_SPEC, listOf(step))) }
    }
    if (!isFrozen) return
    for (atMs in LOAD_FROM_MS until LOAD_TO_MS step FROZEN_EVERY_MS) {
        world.time.after(atMs) {
            val owner = world.entries.firstOrNull { it.scheduler != null }
            owner?.loop?.frozenUntilMs = world.time.nowMs + FROZEN_MS
        }
    }
}

/** The lines of the ends of steady runs, and whether their whole run time is known. */
private fun endsOf(isFrozen: Boolean): Map<Boolean, List<Long>> {
    val lines = ArrayList<String>()
    val world =
        JobWorld(7, hasFaults = false, scheduleEvents = { schedule(it, isFrozen) }, traces = lines, workersPollThemselves = true)
    world.run().violations.shouldBeEmpty()
    return lines
        .filter { "task_ended task steady" in it && "outcome DONE" in it }
        .groupBy({ " ranMs " in it }, { it.substringAfterLast(' ').toLong() })
}

internal class RunClockTest :
    DescribeSpec({
        describe("an owner that is frozen for 600 ms again and again") {
            // Guards against run times with the delays of order and report, by which all work looks up to twice as long.
            it("measures runs of 700 ms as such, or as at least a shorter time") {
                val ends = endsOf(isFrozen = true)
                ends.getValue(true).filter { it !in MEASURED_MS }.shouldBeEmpty()
                ends[false].orEmpty().filter { it > MEASURED_MS.last }.shouldBeEmpty()
                ends.getValue(true).size shouldBeGreaterThan ends[false].orEmpty().size
            }
        }
        describe("an owner that is not disturbed") {
            // Guards against a rule that leaves most runs out.
            it("measures all but one of 20 runs from beginning to end") {
                val ends = endsOf(isFrozen = false)
                ends.getValue(true).filter { it !in MEASURED_MS }.shouldBeEmpty()
                ends.getValue(true).size shouldBeGreaterThan 19 * ends[false].orEmpty().size
            }
        }
    })
