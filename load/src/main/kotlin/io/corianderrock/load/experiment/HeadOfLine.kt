/*
 * Head-of-line blocking: the p99 latency of short work mixed with stragglers and long work, relative to its p99 alone.
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
    override val summary = "p99 of short work mixed with stragglers and long work, over its p99 alone"

    private val tallyWithStragglers = TALLY.copy(stragglerShare = 0.02, stragglerFactor = 20.0)
    private val longRebuild = WorkProfile("long", "POST", "/tally/rebuild", meanRunMs = 400.0, share = 0.02, isKeyed = true)
    private val shortRequestsPerSecond = capacityPerSecond(TALLY.meanRunMs) * SHORT_UTILISATION

    override fun run(seed: Long): ExperimentFindings {
        val variants =
            measure("baseline", BASELINE_POLICIES, ONE_SERVICE_SHAPE, ONE_SERVICE, seed) +
                measure("current", CURRENT_POLICIES, ONE_SERVICE_SHAPE, ONE_SERVICE, seed) +
                measure("current with spare pool", CURRENT_POLICIES, SPARE_SHAPE, SERVICE_WITH_SPARE, seed)
        val currentRatio = p99Ratio(variants, "current")
        return ExperimentFindings(
            variants,
            listOf(
                atMost("p99 of short work, mixed over alone, with spare pool", 1.2, p99Ratio(variants, "current with spare pool")),
                atMost("p99 of short work, mixed over alone, no spare pool", 1.2, currentRatio),
                atLeast(
                    "same ratio, baseline over current policies",
                    1.0,
                    p99Ratio(variants, "baseline") / currentRatio,
                ),
                noViolations(variants),
            ),
        )
    }

    /** Alternates the two conditions, so that a drift in the speed of the host affects both equally. */
    private fun measure(
        label: String,
        policies: DaemonPolicies,
        shape: LocalFleetShape,
        declarations: Declarations,
        seed: Long,
    ): List<VariantResult> =
        LocalFleet(shape, declarations, policies).use { fleet ->
            warmUp(fleet, WorkPlan(seed, listOf(TALLY, longRebuild)) { shortRequestsPerSecond }.items(WARM_UP_SECONDS), CALLER_THREADS)
            val conditions = mapOf(SHORT_ONLY to listOf(TALLY), WITH_LONG_WORK to listOf(tallyWithStragglers, longRebuild))
            val results = conditions.mapValues { ArrayList<CallResult>() }
            repeat(ROUNDS) { round ->
                conditions.forEach { (condition, profiles) ->
                    results.getValue(condition) +=
                        runLoad(
                            fleet,
                            WorkPlan(roundSeed(seed, round, condition), profiles) { shortRequestsPerSecond }.items(ROUND_SECONDS),
                            CALLER_THREADS,
                        )
                }
            }
            results.map { (condition, conditionResults) -> variantOf(label, condition, fleet, conditionResults) }
        }

    /** A distinct seed for each round and condition, because work ids contain the seed and must not repeat within a ledger. */
    private fun roundSeed(
        seed: Long,
        round: Int,
        condition: String,
    ): Long = seed * SEED_STRIDE + round * 2 + (if (condition == WITH_LONG_WORK) 1 else 0)

    private fun p99Ratio(
        variants: List<VariantResult>,
        label: String,
    ): Double {
        val p99ByCondition = variants.filter { it.variant == label }.associate { it.condition to it.latencies.getValue(TALLY.name).p99Ms }
        return p99ByCondition.getValue(WITH_LONG_WORK) / p99ByCondition.getValue(SHORT_ONLY)
    }

    private companion object {
        const val SHORT_UTILISATION = 0.5
        const val WARM_UP_SECONDS = 4.0
        val SPARE_SHAPE = ONE_SERVICE_SHAPE.copy(workersPerDataCentre = 2 * WORKERS)
        const val CALLER_THREADS = 256
        const val ROUNDS = 4
        const val SEED_STRIDE = 100L
        const val ROUND_SECONDS = 4.0
        const val SHORT_ONLY = "short work only"
        const val WITH_LONG_WORK = "with stragglers and long work"
    }
}
