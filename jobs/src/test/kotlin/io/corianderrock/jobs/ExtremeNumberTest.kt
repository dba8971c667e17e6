/*
 * Runs seeded simulations whose callers submit jobs with numbers up to the limits of their types.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.world.ExtremeNumbers
import io.corianderrock.jobs.world.JobWorld
import io.corianderrock.jobs.world.Workload
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty

/** Number of seeds in one test run, set by `-Djobs.seeds`. */
private val SEEDS = Integer.getInteger("jobs.seeds", 40)

/** First seed of a test run, set by `-Djobs.first.seed`. */
private val FIRST_SEED = Integer.getInteger("jobs.first.seed", 1)

internal class ExtremeNumberTest :
    DescribeSpec({
        describe("simulations whose callers submit extreme numbers violate no invariant, and refuse each job outside the limits") {
            // Guards against a job whose task count overflows: it ended each owner (LOST).
            for (seed in FIRST_SEED until FIRST_SEED + SEEDS) {
                it("seed $seed") { faultsOf(seed).shouldBeEmpty() }
            }
        }
    })

/** The violations of the history [seed] and its jobs that should have been refused. */
private fun faultsOf(seed: Int): List<String> {
    var callers: ExtremeNumbers? = null
    val world =
        JobWorld(
            seed,
            hasFaults = false,
            workload = Workload.LASTING_CANCELS,
            scheduleEvents = { world -> callers = ExtremeNumbers(world, seed).also { it.schedule() } },
            workersPollThemselves = true,
        )
    return world.run().violations + callers?.wronglyAccepted.orEmpty().map { "accepted $it" }
}
