/*
 * Overload: goodput, which is the number of responses within the deadline per second, at offered loads of up to twice the
 * capacity.
 */
package io.corianderrock.load.experiment

import io.corianderrock.daemon.DaemonPolicies
import io.corianderrock.load.LocalFleet
import io.corianderrock.load.WorkPlan
import io.corianderrock.protocol.contract.RequestOutcome

internal class Overload : Experiment {
    override val name = "overload"
    override val summary = "goodput at twice the capacity, over the highest goodput at any load"

    private val profile = TALLY.copy(deadlineMs = DEADLINE_MS)

    override fun run(seed: Long): ExperimentFindings {
        val variants =
            listOf("current" to CURRENT_POLICIES, "baseline" to BASELINE_POLICIES).flatMap { (label, policies) ->
                measure(label, policies, seed)
            }
        return ExperimentFindings(
            variants,
            listOf(
                atLeast("goodput at twice the capacity over peak goodput", 0.95, goodputOverPeak(variants, "current")),
                noViolations(variants),
            ),
        )
    }

    private fun measure(
        label: String,
        policies: DaemonPolicies,
        seed: Long,
    ): List<VariantResult> =
        LocalFleet(ONE_SERVICE_SHAPE, ONE_SERVICE, policies).use { fleet ->
            val capacity = capacityPerSecond(profile.meanRunMs)
            warmUp(fleet, WorkPlan(seed + 1, listOf(profile)) { capacity / 2 }.items(WARM_UP_SECONDS))
            LOAD_FACTORS.map { loadFactor ->
                fleet.upstreams.ledger.clear()
                val results = runLoad(fleet, WorkPlan(seed, listOf(profile)) { capacity * loadFactor }.items(RUN_SECONDS))
                val withinDeadline = results.count { it.outcome == RequestOutcome.RAN && it.latencyNs <= DEADLINE_MS * NS_PER_MS }
                variantOf(label, "offered $loadFactor of capacity", fleet, results, mapOf(GOODPUT_FIGURE to withinDeadline / RUN_SECONDS))
            }
        }

    /** Goodput at the highest offered load, over the highest goodput at any load. */
    private fun goodputOverPeak(
        variants: List<VariantResult>,
        label: String,
    ): Double {
        val goodput = variants.filter { it.variant == label }.map { it.figures.getValue(GOODPUT_FIGURE) }
        return goodput.last() / goodput.max()
    }

    private companion object {
        val LOAD_FACTORS = listOf(0.5, 0.9, 1.0, 1.25, 1.5, 2.0)
        const val DEADLINE_MS = 500L
        const val NS_PER_MS = 1_000_000L
        const val WARM_UP_SECONDS = 3.0
        const val RUN_SECONDS = 5.0
        const val GOODPUT_FIGURE = "goodput per second"
    }
}
