/*
 * A full outage of the upstreams: dispatches per request during the outage, and the time until requests succeed afterwards.
 */
package io.corianderrock.load.experiment

import io.corianderrock.load.LocalFleet
import io.corianderrock.load.WorkPlan
import io.corianderrock.protocol.contract.RequestOutcome
import io.corianderrock.standins.upstream.FaultKind
import io.corianderrock.standins.upstream.UpstreamFault

internal class Outage : Experiment {
    override val name = "outage"
    override val summary = "dispatches per request while every upstream fails, and recovery afterwards"

    override fun run(seed: Long): ExperimentFindings {
        val variants = listOf(FaultKind.FAIL_FAST, FaultKind.CLOSE).map { measure(it, seed) }
        val worstAmplification = variants.maxOf { it.figures.getValue(AMPLIFICATION_FIGURE) }
        val slowestRecoverySeconds = variants.maxOf { it.figures.getValue(RECOVERY_FIGURE) }
        return ExperimentFindings(
            variants,
            listOf(
                atMost("dispatches per request in a full outage", 1.1, worstAmplification),
                atMost("seconds until 90% of requests run again", 5.0, slowestRecoverySeconds),
                noViolations(variants),
            ),
        )
    }

    private fun measure(
        kind: FaultKind,
        seed: Long,
    ): VariantResult =
        LocalFleet(ONE_SERVICE_SHAPE, ONE_SERVICE, CURRENT_POLICIES).use { fleet ->
            val rate = capacityPerSecond(TALLY.meanRunMs) * LOAD_FACTOR
            warmUp(fleet, WorkPlan(seed + 1, listOf(TALLY)) { rate }.items(WARM_UP_SECONDS))
            fleet.upstreams.set(UpstreamFault(kind))
            val results = runLoad(fleet, WorkPlan(seed, listOf(TALLY)) { rate }.items(OUTAGE_SECONDS))
            val dispatches =
                fleet.upstreams.ledger
                    .all()
                    .size
                    .toDouble()
            fleet.upstreams.set(UpstreamFault(FaultKind.NONE))
            val recovery = recoverySeconds(fleet, seed, rate)
            val figures = mapOf(AMPLIFICATION_FIGURE to dispatches / results.size, RECOVERY_FIGURE to recovery)
            variantOf("current", "every upstream: $kind", fleet, results, figures)
        }

    /** Start of the first time slice in which [RECOVERED_SHARE] of the requests succeed, or the whole run when there is none. */
    private fun recoverySeconds(
        fleet: LocalFleet,
        seed: Long,
        rate: Double,
    ): Double {
        val results = runLoad(fleet, WorkPlan(seed + 2, listOf(TALLY)) { rate }.items(RECOVERY_RUN_SECONDS))
        val resultsBySlice = results.groupBy { it.item.sendAtNs / SLICE_NS }
        val firstRecovered =
            resultsBySlice.toSortedMap().entries.firstOrNull { (_, slice) ->
                slice.count { it.outcome == RequestOutcome.RAN && it.status == OK } >= slice.size * RECOVERED_SHARE
            }
        return (firstRecovered?.key ?: return RECOVERY_RUN_SECONDS) * SLICE_NS / NS_PER_SECOND
    }

    private companion object {
        const val LOAD_FACTOR = 0.5
        const val WARM_UP_SECONDS = 2.0
        const val OUTAGE_SECONDS = 4.0
        const val RECOVERY_RUN_SECONDS = 8.0
        const val SLICE_NS = 250_000_000L
        const val NS_PER_SECOND = 1e9
        const val RECOVERED_SHARE = 0.9
        const val OK = 200
        const val AMPLIFICATION_FIGURE = "dispatches per request"
        const val RECOVERY_FIGURE = "recovery seconds"
    }
}
