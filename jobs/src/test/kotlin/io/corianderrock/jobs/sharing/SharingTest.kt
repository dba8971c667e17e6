/*
 * Covers best-effort tasks beside tasks that serve: all of their work is to be done, while no tail stays above its target.
 */
package io.corianderrock.jobs.sharing

import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.Step
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe

private val SEEDS = 1..40
private const val WORKERS = 4
private const val TASK_MS = 2_000L

private fun serving(
    count: Int,
    image: String = "web",
) = Step(count, Demand(4_000, 8_000), maxPerWorker = 1, isLongRunning = true, image = image, responseTargetMs = 200)

private fun filling(
    count: Int,
    image: String = "batch",
    estimateMs: Long = TASK_MS,
) = Step(count, Demand(2_000, 4_000), estimateMs, image = image, isBestEffort = true)

private class Outcome(
    val longestOverMs: Long,
    val isAllDone: Boolean,
    val tookMs: Long,
)

/** Two images that serve on each worker and 16 tasks of two images that fill, for at most two minutes. */
private fun playShortage(
    seed: Int,
    isControlled: Boolean = true,
    lateRatio: Double = 0.0,
): Outcome {
    val pool = SharingPool(seed, WORKERS, isControlled, lateRatio)
    pool.submit("web", serving(WORKERS))
    pool.submit("api", serving(WORKERS, "api"))
    pool.play(2_000)
    val beganMs = pool.time.nowMs
    val jobs = listOf(pool.submit("batch", filling(8)), pool.submit("index", filling(8, "index")))
    pool.play(120_000) { jobs.all(pool::isDone) }
    return Outcome(pool.longestOverMs, jobs.all(pool::isDone), pool.time.nowMs - beganMs)
}

internal class SharingTest :
    DescribeSpec({
        describe("a pool with a serving task on each worker") {
            // Guards against best-effort tasks that never start once each worker has a task with a target (review/4).
            it("gets all best-effort work done, whatever disturbs") {
                SEEDS.filterNot { playShortage(it).isAllDone }.shouldBeEmpty()
            }

            // Guards against a tail that best-effort tasks keep above its target.
            it("has no tail over its target for a second") {
                SEEDS.map { it to playShortage(it).longestOverMs }.filter { it.second >= 1_000 }.shouldBeEmpty()
            }

            // Guards against a pace order that is carried out late, after lower ones, and stays in force.
            it("has no tail over its target for a second while pace orders arrive late") {
                SEEDS.map { it to playShortage(it, lateRatio = 0.1).longestOverMs }.filter { it.second >= 1_000 }.shouldBeEmpty()
            }

            it("has tails over their targets for seconds without control, so that the histories show its effect") {
                SEEDS.maxOf { playShortage(it, isControlled = false).longestOverMs } shouldBeGreaterThan 1_500
            }
        }
        describe("a best-effort task") {
            // Guards against sharing on days without a shortage.
            it("prefers a worker without serving tasks") {
                val pool = SharingPool(seed = 1, WORKERS)
                val web = pool.submit("web", serving(WORKERS - 1))
                pool.play(2_000)
                val batch = pool.submit("batch", filling(6, estimateMs = 20_000))
                pool.play(500)
                pool.placesOf(batch) shouldHaveSize 6
                pool
                    .placesOf(batch)
                    .toSet()
                    .intersect(pool.placesOf(web).toSet())
                    .shouldBeEmpty()
                pool.paces.shouldBeEmpty()
            }

            // Guards against orders by a tail that may have changed since: the worker is not asked, or does not answer.
            it("is neither started nor paced beside a serving task whose worker is silent") {
                val pool = SharingPool(seed = 1, workerCount = 1)
                pool.submit("web", serving(1))
                pool.play(2_000)
                pool.silent.add("w0")
                pool.play(2_000)
                val batch = pool.submit("batch", filling(1))
                pool.play(2_000)
                pool.placesOf(batch).shouldBeEmpty()
                pool.paces.shouldBeEmpty()
            }

            // Guards against a task that is suspended for good beside a task that it always disturbs, and against moves without need.
            it("is moved once it was suspended for seconds and another worker has a place for it") {
                val pool = SharingPool(seed = 1, workerCount = 1, parts = listOf(20.0))
                pool.submit("web", serving(1))
                pool.play(2_000)
                val batch = pool.submit("batch", filling(1))
                pool.play(10_000)
                pool.placesOf(batch) shouldContainExactly listOf("w0")
                pool.join("w1")
                pool.play(1_000)
                pool.placesOf(batch) shouldContainExactly listOf("w1")
                pool.play(4_000)
                pool.isDone(batch).shouldBeTrue()
                pool.logged.count { "best_effort_moved" in it } shouldBe 1
            }

            // Guards against a tail over its target for as long as a task lasts whose worker carries out no pace orders (HARM after 4 s).
            it("is stopped when its worker does not answer pace orders, and not started there again soon") {
                val pool = SharingPool(seed = 1, workerCount = 1, lateRatio = 1.0, parts = listOf(20.0))
                pool.submit("web", serving(1))
                pool.play(2_000)
                pool.submit("batch", filling(1, estimateMs = 60_000))
                pool.play(20_000)
                pool.longestOverMs shouldBeLessThan 3_000
                pool.logged.count { "best_effort_moved" in it } shouldBe 1
            }

            // Guards against runs that stay slow after the serving task has gone.
            it("works at full pace again once no serving task is left on its worker") {
                val pool = SharingPool(seed = 3, workerCount = 1)
                val web = pool.submit("web", serving(1))
                pool.play(2_000)
                val batch = pool.submit("batch", filling(1, estimateMs = 60_000))
                pool.play(3_000) { pool.paces.isNotEmpty() }
                pool.cancel(web)
                pool.play(1_500)
                pool.workers.getValue("w0").percentOf(batch.tasks.single().id) shouldBe 100
            }
        }
        describe("a serving task") {
            // Guards against a serving task that never starts while each worker has a best-effort task, which then works at full pace.
            it("is started beside best-effort tasks, which are slowed down") {
                val pool = SharingPool(seed = 1, workerCount = 1)
                val batch = pool.submit("batch", filling(2, estimateMs = 60_000))
                pool.play(1_000)
                val web = pool.submit("web", serving(1))
                pool.play(600)
                pool.placesOf(web) shouldContainExactly listOf("w0")
                batch.tasks.toList().map { pool.workers.getValue("w0").percentOf(it.id) } shouldNotContain 100
                pool.play(20_000)
                pool.longestOverMs shouldBeLessThan 1_000
            }
        }
        describe("a pace order") {
            it("is logged with the tail, its target and the image that fills") {
                val pool = SharingPool(seed = 1, workerCount = 1)
                pool.submit("web", serving(1))
                pool.play(2_000)
                pool.submit("batch", filling(1))
                pool.play(2_000)
                val line = pool.logged.first { "pace_ordered" in it }
                ("targetMs 200" in line && "tailMs" in line && "image batch" in line).shouldBeTrue()
            }
        }
    })
