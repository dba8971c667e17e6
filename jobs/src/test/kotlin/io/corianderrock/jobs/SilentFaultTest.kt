/*
 * Runs seeded simulations in which owners do not reach workers that go on, and lists of instances come late or not at all.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.world.silentFaultWorld
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty

/** Number of seeds in one test run, set by `-Djobs.seeds`. */
private val SEEDS = Integer.getInteger("jobs.seeds", 12)

/** First seed of a test run, set by `-Djobs.first.seed`. */
private val FIRST_SEED = Integer.getInteger("jobs.first.seed", 1)

internal class SilentFaultTest :
    DescribeSpec({
        describe("simulations with silent connections, late lists of instances and workers that start again") {
            val violations by lazy {
                (FIRST_SEED until FIRST_SEED + SEEDS).flatMap { seed ->
                    silentFaultWorld(seed).run().violations.map { "seed $seed: $it" }
                }
            }

            // Guards against runs that are taken for ended although only the connection to their worker is silent (TWICE).
            it("run no task twice at the same time and violate no other invariant") {
                violations.filterNot { AFTER_AN_END in it }.take(20).shouldBeEmpty()
            }

            // Guards against starts that are carried out after an end that counts (TWICE).
            it("start no task after an end that counts") {
                violations.filter { AFTER_AN_END in it }.take(20).shouldBeEmpty()
            }
        }
        describe("seeds with silent connections and workers that start again under their id") {
            // Guards against a start of an earlier owner that a later incarnation of its worker carries out beside another run (TWICE).
            for ((seed, cause) in CAUSES_BY_SEED) {
                it("seed $seed: $cause") {
                    silentFaultWorld(seed).run().violations.shouldBeEmpty()
                }
            }
        }
    })

/** The wording of [io.corianderrock.jobs.world.TwiceCheck] for starts after an end. */
private const val AFTER_AN_END = "TWICE (b)"

/** What failed when the seed was found. */
private val CAUSES_BY_SEED =
    mapOf(
        30 to "a copy of an answered start of an earlier owner reached the next incarnation, whose instance had been listed as down",
        37 to "an unanswered start of an earlier owner reached a restarted worker that nobody had reached",
        48 to "an unanswered start of an earlier owner began on a restarted worker before the next owner started the task elsewhere",
        86 to "a copy of an answered start of an earlier owner reached the next incarnation after the task had failed there",
    )
