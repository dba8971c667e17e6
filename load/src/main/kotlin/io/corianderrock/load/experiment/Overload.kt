/*
 * Overload: whole answers within the deadline a second, as the offered load rises to twice the capacity.
 */
package io.corianderrock.load.experiment

import io.corianderrock.daemon.DaemonPolicies
import io.corianderrock.load.LocalFleet
import io.corianderrock.load.WorkPlan
import io.corianderrock.protocol.contract.RequestOutcome

internal class Overload : Experiment {
    override val name = "overload"
    override val summary = "goodput at twice the capacity over the peak"

    private val work = TALLY.copy(deadlineMs = DEADLINE_MS)

    override fun run(seed: Long): ExperimentFindings {
        val variants = listOf("current" to CURRENT, "baseline" to BASELINE).flatMap { (label, policies) -> measure(label, policies, seed) }
        return ExperimentFindings(
            variants,
            listOf(atLeast("goodput at twice the capacity over the peak", 0.95, share(variants, "current")), noBrokenPromise(variants)),
        )
    }

    private fun measure(
        label: String,
        policies: DaemonPolicies,
        seed: Long,
    ): List<VariantResult> =
        LocalFleet(ONE_SERVICE_SHAPE, ONE_SERVICE, policies).use { fleet ->
            val capacity = capacityPerSecond(work.meanRunMs)
            warmUp(fleet, WorkPlan(seed + 1, listOf(work)) { capacity / 2 }.items(WARM_UP_SECONDS))
            FACTORS.map { factor ->
                fleet.upstreams.ledger.clear()
                val results = runLoad(fleet, WorkPlan(seed, listOf(work)) { capacity * factor }.items(RUN_SECONDS))
                val good = results.count { it.outcome == RequestOutcome.RAN && it.latencyNs <= DEADLINE_MS * NS_PER_MS }
                variantOf(label, "offered $factor of capacity", fleet, results, mapOf(GOODPUT to good / RUN_SECONDS))
            }
        }

    private fun share(
        variants: List<VariantResult>,
        label: String,
    ): Double {
        val goodput = variants.filter { it.variant == label }.map { it.figures.getValue(GOODPUT) }
        return goodput.last() / goodput.max()
    }

    private companion object {
        val FACTORS = listOf(0.5, 0.9, 1.0, 1.25, 1.5, 2.0)
        const val DEADLINE_MS = 500L
        const val NS_PER_MS = 1_000_000L
        const val WARM_UP_SECONDS = 3.0
        const val RUN_SECONDS = 5.0
        const val GOODPUT = "goodput per second"
    }
}
