/*
 * Covers a store that stays slow for all entries: the few transactions that it still carries must go to the owner. Entries that
 * stored jobs around the owner, or claimed its ownership, once kept it from writing until the store was sound again.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.entry.CallerAnswer
import io.corianderrock.jobs.entry.JobRequest
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.world.JobWorld
import io.corianderrock.jobs.world.SimEntry
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe

private const val SLOW_AT_MS = 6_000L
private const val SLOW_FOR_MS = 5_000L
private const val SUBMISSION_INTERVAL_MS = 50L

/** Callers wait 3 s for the answer. */
private const val ANSWER_WITHIN_MS = 3_000L
private val SEEDS = 1..10

internal class SlowStoreTest :
    DescribeSpec({
        describe("a store that takes sixty times as long as usual") {
            it("still stores every job that callers submit meanwhile, under the same owner") {
                for (seed in SEEDS) {
                    val slowness = SlowStore(seed, slowMs = 230)
                    slowness.run()
                    slowness.unanswered.map { "seed $seed: $it" }.shouldBeEmpty()
                    slowness.ownersAfterwards shouldBe listOf(slowness.ownerBefore)
                }
            }
            it("violates no invariant") {
                SEEDS.flatMap { SlowStore(it, slowMs = 230).run().checker.violations }.shouldBeEmpty()
            }
        }
    })

/** A world whose store is slow for a while, in which callers submit a job to one entry after another. */
private class SlowStore(
    seed: Int,
    private val slowMs: Long,
) {
    lateinit var ownerBefore: SimEntry
    val ownersAfterwards = ArrayList<SimEntry>()

    /** Jobs that were not accepted within [ANSWER_WITHIN_MS]. */
    val unanswered = LinkedHashSet<String>()
    private val world =
        JobWorld(seed, hasFaults = false, scheduleEvents = { world ->
            world.time.after(SLOW_AT_MS) { begin(world) }
            world.time.after(SLOW_AT_MS + SLOW_FOR_MS) { end(world) }
        })

    fun run(): JobWorld = world.apply { run() }

    private fun begin(world: JobWorld) {
        ownerBefore = world.entries.first { it.scheduler != null }
        world.store.slowMs = slowMs
        repeat((SLOW_FOR_MS / SUBMISSION_INTERVAL_MS).toInt()) { number ->
            world.time.after(number * SUBMISSION_INTERVAL_MS) { submit(world, number) }
        }
    }

    private fun submit(
        world: JobWorld,
        number: Int,
    ) {
        val queue = Queue("queue-a", "a", maxAttempts = 3, stretchFactor = 2.0, targetLatencyMs = 600)
        val job = JobSubmission("slow$number", queue, "work", listOf(Step(1, Demand(100, 100), 100)))
        world.register(job)
        var isAccepted = false
        world.entries[number % world.entries.size].ask(JobRequest.Submit(job)) {
            if (it !is CallerAnswer.Applied || isAccepted) return@ask
            isAccepted = true
            world.checker.onAccepted(job.id)
        }
        world.time.after(ANSWER_WITHIN_MS) { if (!isAccepted) unanswered.add(job.id) }
    }

    private fun end(world: JobWorld) {
        world.store.slowMs = 0
        ownersAfterwards += world.entries.filter { it.scheduler != null }
    }
}
