/*
 * Head-of-line blocking: the 99th percentile of short work with stragglers and long work over that without.
 */
package io.corianderrock.load.experiment

import io.corianderrock.daemon.DaemonPolicies
import io.corianderrock.load.CallResult
import io.corianderrock.load.LocalFleet
import io.corianderrock.load.LocalFleetShape
import io.corianderrock.load.WorkPlan
import io.corianderrock.load.WorkProfile
import io.corianderrock.state.Declarations

internal class HeadOfLine : Experiment {
    override val name = "head-of-line"
    override val summary = "p99 of short work with stragglers and long work over p99 without"

    private val straggling = TALLY.copy(stragglerShare = 0.02, stragglerFactor = 20.0)
    private val rebuild = WorkProfile("long", "POST", "/tally/rebuild", meanRunMs = 400.0, share = 0.02, isKeyed = true)
    private val shortPerSecond = capacityPerSecond(TALLY.meanRunMs) * SHORT_UTILISATION

    override fun run(seed: Long): ExperimentFindings {
        val variants =
            measure("baseline", BASELINE, ONE_SERVICE_SHAPE, ONE_SERVICE, seed) +
                measure("current", CURRENT, ONE_SERVICE_SHAPE, ONE_SERVICE, seed) +
                measure("current with spare pool", CURRENT, SPARE_SHAPE, SERVICE_WITH_SPARE, seed)
        val current = ratio(variants, "current")
        return ExperimentFindings(
            variants,
            listOf(
                atMost("p99 with stragglers over without, spare pool as declared", 1.2, ratio(variants, "current with spare pool")),
                atMost("p99 with stragglers over without, no spare pool", 1.2, current),
                atLeast("the same ratio of the baseline over the current one", 1.0, ratio(variants, "baseline") / current),
                noBrokenPromise(variants),
            ),
        )
    }

    /** Alternates the two conditions, so that a drift of the machine touches both. */
    private fun measure(
        label: String,
        policies: DaemonPolicies,
        shape: LocalFleetShape,
        declarations: Declarations,
        seed: Long,
    ): List<VariantResult> =
        LocalFleet(shape, declarations, policies).use { fleet ->
            warmUp(fleet, WorkPlan(seed, listOf(TALLY, rebuild)) { shortPerSecond }.items(WARM_UP_SECONDS), CALLERS)
            val conditions = mapOf(WITHOUT to listOf(TALLY), WITH to listOf(straggling, rebuild))
            val results = conditions.mapValues { ArrayList<CallResult>() }
            repeat(ROUNDS) { round ->
                conditions.forEach { (condition, profiles) ->
                    results.getValue(condition) +=
                        runLoad(fleet, WorkPlan(seedOf(seed, round, condition), profiles) { shortPerSecond }.items(ROUND_SECONDS), CALLERS)
                }
            }
            results.map { (condition, own) -> variantOf(label, condition, fleet, own) }
        }

    /** Work ids carry the seed, so each part of the run has a seed of its own. */
    private fun seedOf(
        seed: Long,
        round: Int,
        condition: String,
    ): Long = seed * SEED_STRIDE + round * 2 + (if (condition == WITH) 1 else 0)

    private fun ratio(
        variants: List<VariantResult>,
        label: String,
    ): Double {
        val own = variants.filter { it.variant == label }.associate { it.condition to it.latencies.getValue(TALLY.name).p99Ms }
        return own.getValue(WITH) / own.getValue(WITHOUT)
    }

    private companion object {
        const val SHORT_UTILISATION = 0.5
        const val WARM_UP_SECONDS = 4.0
        val SPARE_SHAPE = ONE_SERVICE_SHAPE.copy(workersPerDataCentre = 2 * WORKERS)
        const val CALLERS = 256
        const val ROUNDS = 4
        const val SEED_STRIDE = 100L
        const val ROUND_SECONDS = 4.0
        const val WITHOUT = "short work only"
        const val WITH = "with stragglers and long work"
    }
}
