/*
 * Seeded histories of the scheduler under failure, and the proof that each check fails without its mechanism.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.ports.HoldOrder
import io.corianderrock.jobs.ports.StartOrder
import io.corianderrock.jobs.ports.WorkerAnswer
import io.corianderrock.jobs.world.JobWorld
import io.corianderrock.jobs.world.OrderTampering
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan

/** Seeds of one run; -Djobs.seeds=100000 plays more. */
private val SEEDS = Integer.getInteger("jobs.seeds", 150)

/** First seed of a run. */
private val FIRST_SEED = Integer.getInteger("jobs.first.seed", 1)

internal class JobWorldTest :
    DescribeSpec({
        describe("a calm history") {
            it("ends every job and breaks nothing") {
                for (seed in 1..20) {
                    val checker = JobWorld(seed, hasFaults = false).run()
                    checker.acceptedCount shouldBeGreaterThan 35
                    checker.violations.map { "seed $seed: $it" }.shouldBeEmpty()
                }
            }
        }
        describe("histories with failures") {
            it("break nothing") {
                val violations =
                    (FIRST_SEED until FIRST_SEED + SEEDS).flatMap { seed ->
                        JobWorld(seed).run().violations.map { "seed $seed: $it" }
                    }
                violations.take(20).shouldBeEmpty()
            }
        }
        describe("histories that failed once") {
            for ((seed, cause) in REGRESSIONS) {
                it("seed $seed: $cause") {
                    JobWorld(seed).run().violations.shouldBeEmpty()
                }
            }
        }
        describe("a mechanism switched off") {
            it("fences: a stale owner's orders run tasks twice") {
                violationsWith(
                    object : OrderTampering {
                        override fun start(order: StartOrder) = order.copy(fence = SAME_FENCE, expiresAtWorkerMs = FAR_MS)

                        override fun hold(
                            workerId: String,
                            order: HoldOrder,
                        ) = order.copy(fence = SAME_FENCE)
                    },
                ).shouldNotBeEmpty()
            }
            it("acknowledgement after the store: ends are lost with their owner") {
                violationsWith(EagerAcknowledgement()).shouldNotBeEmpty()
            }
        }
    })

private val REGRESSIONS =
    mapOf(
        115 to "two views of one job, from its submission and from the inbox",
        126 to "a suspended owner told old states when it woke",
        135 to "tasks started after a takeover before the inbox was read",
        262 to "taking the note of a submission deleted the note of its cancellation",
        380 to "the confirmation of an older write showed a job as complete",
        1279 to "an owner that regained the store started tasks of a job cancelled meanwhile",
        2812 to "a task waited for room while instances stood by",
        4478 to "an owner that was frozen started tasks of a job cancelled meanwhile",
        11172 to "a worker that lost its runs while it was cut off was never asked again",
        11979 to "a state that was read before the job ended reached the caller after a freeze, which is allowed",
        32535 to "tasks that last, thinly spread over one pool, kept all instances from another",
        40436 to "an owner took its own row in a conflict for a fresh write",
        12998 to "an owner suspended between a write and its answer took the ownership for fresh",
    )

private const val SAME_FENCE = 1_000_000L
private const val FAR_MS = 1_000_000_000L

private fun violationsWith(tampering: OrderTampering): List<String> = (1..60).flatMap { JobWorld(it, tampering).run().violations }

/** Acknowledges each end in the call after the one that listed it, stored or not. */
private class EagerAcknowledgement : OrderTampering {
    private val seen = HashMap<String, Long>()

    override fun hold(
        workerId: String,
        order: HoldOrder,
    ) = order.copy(acknowledgedEnd = maxOf(order.acknowledgedEnd, seen[workerId] ?: 0))

    override fun listed(
        workerId: String,
        answer: WorkerAnswer,
    ): WorkerAnswer {
        if (answer is WorkerAnswer.Listed) answer.ended.maxOfOrNull { it.number }?.let { seen[workerId] = it }
        return answer
    }
}
