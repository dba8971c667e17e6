/*
 * Runs seeded simulations whose callers cancel jobs before these are accepted, while writes are lost or done late and owners are lost.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.world.unansweredCancelWorld
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty

/** Number of seeds in one test run, set by `-Djobs.seeds`. */
private val SEEDS = Integer.getInteger("jobs.seeds", 100)

/** First seed of a test run, set by `-Djobs.first.seed`. */
private val FIRST_SEED = Integer.getInteger("jobs.first.seed", 1)

internal class UnansweredCancelTest :
    DescribeSpec({
        describe("simulations whose callers cancel jobs before these are accepted") {
            // Guards against jobs that run on after their cancellation, as the write of them was open (UNASKED).
            it("violate no invariant") {
                val violations =
                    (FIRST_SEED until FIRST_SEED + SEEDS).flatMap { seed ->
                        unansweredCancelWorld(seed).run().violations.map { "seed $seed: $it" }
                    }
                violations.take(20).shouldBeEmpty()
            }
        }
    })
