/*
 * Covers callers of a store that is down for seconds. With a fixed delay of 1 s their four retries were used up before its end, and
 * jobs that the owner had not even sent to the store were answered with 504, after which a client may not retry.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.entry.CallerAnswer
import io.corianderrock.jobs.entry.JobRequest
import io.corianderrock.jobs.ports.ReadResult
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.world.JobWorld
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan

private const val DOWN_AT_MS = 6_000L
private const val SUBMISSION_INTERVAL_MS = 20L
private const val RETRIES = 4
private val SEEDS = 1..5

internal class StoreOutageTest :
    DescribeSpec({
        for (downForMs in listOf(4_200L, 5_200L, 8_000L)) {
            describe("a store that is down for $downForMs ms under 50 submissions per second") {
                it("stores nearly all jobs of callers who follow Retry-After, as a fixed delay of 1 s does for 4.2 s at most") {
                    val advised = SEEDS.map { StoreOutage(it, downForMs).run().storedShare }
                    val fixed = SEEDS.map { StoreOutage(it, downForMs, fixedRetryMs = 1_000).run().storedShare }
                    advised.min() shouldBeGreaterThan 0.98
                    if (downForMs > 4_200) advised.min() shouldBeGreaterThan fixed.max() + 0.1
                }
                it("leaves the outcome open for few jobs, and runs none that was refused for good") {
                    for (outage in SEEDS.map { StoreOutage(it, downForMs).run() }) {
                        outage.uncertainCount shouldBeLessThan outage.count / 50
                        outage.world.checker.violations
                            .shouldBeEmpty()
                        outage.ranAfterRefusal.shouldBeEmpty()
                    }
                }
            }
        }
        describe("an owner that is killed 2 s after the store went down, amid refused callers") {
            it("costs few jobs, and none that was refused for good runs") {
                for (outage in SEEDS.map { StoreOutage(it, 4_200, killOwnerAfterMs = 2_000).run() }) {
                    outage.storedShare shouldBeGreaterThan 0.9
                    outage.world.checker.violations
                        .shouldBeEmpty()
                    outage.ranAfterRefusal.shouldBeEmpty()
                }
            }
        }
    })

/** Callers submit to one entry after another while the store is down; [fixedRetryMs] replaces the delays that they are told. */
private class StoreOutage(
    seed: Int,
    private val downForMs: Long,
    private val fixedRetryMs: Long? = null,
    private val killOwnerAfterMs: Long? = null,
) {
    val count = (downForMs / SUBMISSION_INTERVAL_MS).toInt()
    var uncertainCount = 0
    private val stored = HashSet<String>()
    private val refused = HashSet<String>()
    val storedShare: Double get() = stored.size.toDouble() / count
    val ranAfterRefusal: List<String> get() =
        refused.filter { id ->
            (world.store.row(RowKey(Table.JOBS, id)) as ReadResult.Rows).rows.isNotEmpty()
        }
    val world =
        JobWorld(seed, hasFaults = false, scheduleEvents = { world ->
            world.time.after(DOWN_AT_MS) { begin(world) }
            world.time.after(DOWN_AT_MS + downForMs) { world.store.isDown = false }
        })

    fun run(): StoreOutage = apply { world.run() }

    private fun begin(world: JobWorld) {
        world.store.isDown = true
        killOwnerAfterMs?.let { delayMs -> world.time.after(delayMs) { world.entries.first { it.scheduler != null }.kill() } }
        val queue = Queue("queue-a", "a", maxAttempts = 3, stretchFactor = 2.0, targetLatencyMs = 600)
        repeat(count) { number ->
            val job = JobSubmission("down$number", queue, "work", listOf(Step(1, Demand(10, 10), 100)))
            world.register(job)
            world.time.after(number * SUBMISSION_INTERVAL_MS) { submit(world, job, number, RETRIES) }
        }
    }

    private fun submit(
        world: JobWorld,
        job: JobSubmission,
        number: Int,
        retriesLeft: Int,
    ) {
        val entries = world.entries.filter { it.isUp }
        entries[number % entries.size].ask(JobRequest.Submit(job)) { answer ->
            when {
                answer is CallerAnswer.Applied -> if (stored.add(job.id)) world.checker.onAccepted(job.id)
                answer !is CallerAnswer.NotApplied -> uncertainCount++
                retriesLeft == 0 -> refused.add(job.id)
                else -> world.time.after(fixedRetryMs ?: answer.retryAfterMs) { submit(world, job, number + 1, retriesLeft - 1) }
            }
        }
    }
}
