/*
 * Runs seeded simulations whose callers cancel jobs close to what a cancellation can overtake, over a network that delivers messages in
 * any order.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.world.earlyCancelWorld
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty

/** Number of seeds in one test run, set by `-Djobs.seeds`. */
private val SEEDS = Integer.getInteger("jobs.seeds", 150)

/** First seed of a test run, set by `-Djobs.first.seed`. */
private val FIRST_SEED = Integer.getInteger("jobs.first.seed", 1)

internal class EarlyCancelTest :
    DescribeSpec({
        describe("simulations whose callers cancel jobs as they are accepted, started, listed, ended or taken over") {
            // Guards against runs that go on after their job's cancellation because a list showed them before their start was answered (UNASKED).
            it("violate no invariant") {
                val violations =
                    (FIRST_SEED until FIRST_SEED + SEEDS).flatMap { seed ->
                        earlyCancelWorld(seed).run().violations.map { "seed $seed: $it" }
                    }
                violations.take(20).shouldBeEmpty()
            }
        }
    })
