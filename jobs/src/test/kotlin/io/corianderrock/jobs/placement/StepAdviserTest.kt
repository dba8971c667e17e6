/*
 * Jobs of a queue whose policy lets only some workers run a step.
 */
package io.corianderrock.jobs.placement

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldBeUnique
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

/** The last eight of forty workers in the order in which they are listed. */
private val LAST_EIGHT = (12..19).map { "w-1-$it" }.toSet()

internal class StepAdviserTest :
    DescribeSpec({
        describe("a policy that allows a fifth of the workers") {
            // Guards against advice that is asked on the same first thirty workers again and again (LOST).
            it("starts tasks on workers that the first question left out") {
                val advised = AdvisedPool(isAllowed = { it in LAST_EIGHT })
                val job = advised.submitShort()
                advised.pool.play(1_000)
                advised.pool.startsMs(job).size shouldBe 3
            }
            // Guards against questions that name a worker again although what is known of it holds for its life.
            it("asks once about each worker that is not allowed") {
                val advised = AdvisedPool(isAllowed = { false })
                advised.submitShort()
                advised.pool.play(10_000)
                advised.askedWorkers.size shouldBe 40
                advised.askedWorkers.shouldBeUnique()
            }
            // Guards against an answer on one life of a worker that is held against the next one.
            it("asks about a worker again when it has restarted under its id") {
                var allowed = emptySet<String>()
                val advised = AdvisedPool(isAllowed = { it in allowed })
                val job = advised.submitShort()
                advised.pool.play(1_000)
                allowed = setOf("w-0-0")
                advised.pool.restart("w-0-0")
                advised.pool.play(1_000)
                advised.pool.startsMs(job).shouldNotBeEmpty()
            }
        }

        describe("a policy that allows all workers") {
            it("asks one question about thirty workers for a step") {
                val advised = AdvisedPool(isAllowed = { true })
                advised.submitShort()
                advised.pool.play(1_000)
                advised.calls.map { it.workers.size } shouldBe listOf(30)
            }
            // Guards against tasks that wait for a renewal of tickets on workers that are not allowed, too.
            it("renews tickets without naming workers that are not allowed") {
                val advised = AdvisedPool(1, 4, validMs = 1_000, isAllowed = { it == "w-0-1" })
                advised.submitShort(taskCount = 100)
                advised.pool.play(8_000)
                val later =
                    advised.calls
                        .groupBy { it.step }
                        .values
                        .flatMap { it.drop(1) }
                later.shouldNotBeEmpty()
                later.flatMap { it.workers }.toSet() shouldBe setOf("w-0-1")
            }
        }

        describe("a service that takes one call at a time and refuses what finds 32 waiting") {
            // Guards against calls that are refused, and repeated in the next pass, since all waiting steps ask at once.
            it("gets no more calls than it can take") {
                val advised = AdvisedPool(isAllowed = { true })
                repeat(60) { advised.submitShort(taskCount = 1) }
                advised.pool.play(5_000)
                advised.refusedCount shouldBe 0
                advised.mostWaiting shouldBeLessThanOrEqual 2
                advised.pool.ended().size shouldBe 60
            }
            // Guards against a call that fails and is repeated in each pass.
            it("is asked at increasing intervals while it fails") {
                val advised = AdvisedPool(isAllowed = { true })
                advised.isDown = true
                val job = advised.submitShort()
                advised.pool.play(5_000)
                advised.calls.size shouldBeLessThan 40
                advised.isDown = false
                advised.pool.play(2_500)
                advised.pool.tookMs(job).shouldNotBeNull()
            }
        }

        describe("tickets of short validity") {
            // Guards against tickets that count as expired when they arrive, and are asked for again and again (LOST).
            it("are used") {
                val advised = AdvisedPool(1, 4, validMs = 250, isAllowed = { true })
                val job = advised.submitShort()
                advised.pool.play(2_000)
                advised.pool.tookMs(job).shouldNotBeNull()
            }
            it("are asked for at increasing intervals if they are never valid") {
                val advised = AdvisedPool(1, 4, validMs = 0, isAllowed = { true })
                advised.submitShort()
                advised.pool.play(5_000)
                advised.calls.size shouldBeLessThan 40
            }
        }

        describe("a pool of which no worker is allowed") {
            // Guards against tasks that wait for ever beside instances in standby, as a wait for advice does not count as a shortage (LOST).
            it("is short of capacity, so that it gets another instance") {
                val advised = AdvisedPool(1, 4, isAllowed = { false })
                val job = advised.submitShort()
                advised.pool.play(2_000)
                advised.pool.startsMs(job).shouldBeEmpty()
                advised.pool.capacityShortageMs shouldBeGreaterThan 1_000
            }
        }
    })
