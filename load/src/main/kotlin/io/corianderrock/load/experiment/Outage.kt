/*
 * A full outage of the upstreams: how many dispatches each request causes.
 */
package io.corianderrock.load.experiment

import io.corianderrock.load.LocalFleet
import io.corianderrock.load.WorkPlan
import io.corianderrock.protocol.contract.RequestOutcome
import io.corianderrock.standins.upstream.FaultKind
import io.corianderrock.standins.upstream.UpstreamFault

internal class Outage : Experiment {
    override val name = "outage"
    override val summary = "dispatches a request while every upstream fails, and recovery afterwards"

    override fun run(seed: Long): ExperimentFindings {
        val variants = listOf(FaultKind.FAIL_FAST, FaultKind.CLOSE).map { measure(it, seed) }
        val worst = variants.maxOf { it.figures.getValue(AMPLIFICATION) }
        val slowest = variants.maxOf { it.figures.getValue(RECOVERY) }
        return ExperimentFindings(
            variants,
            listOf(
                atMost("dispatches a request in a full outage", 1.1, worst),
                atMost("seconds until nine tenths of requests run again", 5.0, slowest),
                noBrokenPromise(variants),
            ),
        )
    }

    private fun measure(
        kind: FaultKind,
        seed: Long,
    ): VariantResult =
        LocalFleet(ONE_SERVICE_SHAPE, ONE_SERVICE, CURRENT).use { fleet ->
            val rate = capacityPerSecond(TALLY.meanRunMs) * LOAD_SHARE
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
            val figures = mapOf(AMPLIFICATION to dispatches / results.size, RECOVERY to recovery)
            variantOf("current", "every upstream: $kind", fleet, results, figures)
        }

    private fun recoverySeconds(
        fleet: LocalFleet,
        seed: Long,
        rate: Double,
    ): Double {
        val results = runLoad(fleet, WorkPlan(seed + 2, listOf(TALLY)) { rate }.items(RECOVERY_SECONDS))
        val bySlice = results.groupBy { it.item.sendAtNs / SLICE_NS }
        val good =
            bySlice.toSortedMap().entries.firstOrNull { (_, slice) ->
                slice.count { it.outcome == RequestOutcome.RAN && it.status == OK } >= slice.size * GOOD_SHARE
            }
        return (good?.key ?: return RECOVERY_SECONDS) * SLICE_NS / NS_PER_SECOND
    }

    private companion object {
        const val LOAD_SHARE = 0.5
        const val WARM_UP_SECONDS = 2.0
        const val OUTAGE_SECONDS = 4.0
        const val RECOVERY_SECONDS = 8.0
        const val SLICE_NS = 250_000_000L
        const val NS_PER_SECOND = 1e9
        const val GOOD_SHARE = 0.9
        const val OK = 200
        const val AMPLIFICATION = "dispatches per request"
        const val RECOVERY = "recovery seconds"
    }
}
