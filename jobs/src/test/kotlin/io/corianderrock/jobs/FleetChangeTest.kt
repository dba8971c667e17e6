/*
 * Runs seeded simulations in which callers cancel jobs beside all that the rule on tasks of cancelled jobs holds beside: workers that leave,
 * instances that are moved and maintained, late starts, owners that are removed, and changes of the configuration.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.world.fleetChangeWorld
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty

/** Number of seeds in one test run, set by `-Djobs.seeds`. */
private val SEEDS = Integer.getInteger("jobs.seeds", 20)

/** First seed of a test run, set by `-Djobs.first.seed`. */
private val FIRST_SEED = Integer.getInteger("jobs.first.seed", 1)

internal class FleetChangeTest :
    DescribeSpec({
        describe("simulations whose callers cancel jobs beside changes of the fleet") {
            // Guards against runs of cancelled jobs that go on (UNASKED) on draining or unregistered workers, after late starts and lost owners.
            it("violate no invariant") {
                val violations =
                    (FIRST_SEED until FIRST_SEED + SEEDS).flatMap { seed ->
                        fleetChangeWorld(seed).run().violations.map { "seed $seed: $it" }
                    }
                violations.take(20).shouldBeEmpty()
            }
        }
    })
