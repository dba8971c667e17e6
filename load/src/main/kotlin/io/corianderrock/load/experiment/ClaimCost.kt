/*
 * The cost of claims on idempotency keys, and the share of keyed work that is served while the platform is slow or down.
 */
package io.corianderrock.load.experiment

import io.corianderrock.load.CallResult
import io.corianderrock.load.LocalFleet
import io.corianderrock.load.WorkPlan
import io.corianderrock.load.awaitUntil
import io.corianderrock.protocol.contract.RequestOutcome
import io.corianderrock.standins.platform.PlatformFaults

internal class ClaimCost : Experiment {
    override val name = "claims"
    override val summary = "latency added by claims, platform writes and share of keyed work served, with the platform up, slow and down"

    private val rate = capacityPerSecond(REBUILD.meanRunMs) * LOAD_FACTOR

    override fun run(seed: Long): ExperimentFindings {
        val withoutClaims =
            LocalFleet(
                ONE_SERVICE_SHAPE,
                ONE_SERVICE,
                CURRENT_POLICIES.copy(usesIdempotencyClaims = false),
            ).use { listOf(measurePlatformUp(it, "no claims", seed)) }
        val withClaims = LocalFleet(ONE_SERVICE_SHAPE, ONE_SERVICE, CURRENT_POLICIES).use { measureConditions(it, seed) }
        val variants = withoutClaims + withClaims
        val addedMedianMs =
            withClaims
                .first()
                .latencies
                .getValue(REBUILD.name)
                .p50Ms -
                withoutClaims
                    .first()
                    .latencies
                    .getValue(REBUILD.name)
                    .p50Ms
        return ExperimentFindings(
            variants,
            listOf(
                TargetResult("added median, ms", "reported", addedMedianMs, isMet = true),
                atMost("platform writes per second, all entries", 100.0, withClaims.first().figures.getValue(WRITES_FIGURE)),
                atLeast("share served during a long outage of the platform", 0.99, withClaims.last().figures.getValue(SERVED_SHARE_FIGURE)),
                noViolations(variants),
            ),
        )
    }

    private fun measureConditions(
        fleet: LocalFleet,
        seed: Long,
    ): List<VariantResult> {
        val up = measurePlatformUp(fleet, "claims", seed)
        fleet.platform.faults = PlatformFaults(delayMs = SLOW_PLATFORM_DELAY_MS)
        val slow = measure(fleet, "claims", "platform responds after $SLOW_PLATFORM_DELAY_MS ms", seed + 2)
        fleet.platform.faults = PlatformFaults(loseEveryNthAnswer = LOSE_EVERY_NTH)
        val lossy = measure(fleet, "claims", "response lost for one in $LOSE_EVERY_NTH platform writes", seed + 3)
        fleet.platform.faults = PlatformFaults(isDown = true)
        val outage = measure(fleet, "claims", "first seconds of a platform outage", seed + 4)
        awaitUntil("claims are granted from memory") { fleet.daemons.all { it.isClaimLogWriteBehind } }
        val down = measure(fleet, "claims", "long platform outage", seed + 5)
        fleet.platform.faults = PlatformFaults()
        return listOf(up, slow, lossy, outage, down)
    }

    private fun measurePlatformUp(
        fleet: LocalFleet,
        label: String,
        seed: Long,
    ): VariantResult {
        warmUp(fleet, WorkPlan(seed + 1, listOf(REBUILD)) { rate }.items(WARM_UP_SECONDS))
        return measure(fleet, label, "platform up", seed)
    }

    private fun measure(
        fleet: LocalFleet,
        label: String,
        condition: String,
        seed: Long,
    ): VariantResult {
        fleet.upstreams.ledger.clear()
        val writesBefore = fleet.platform.counts().writes
        val results = runLoad(fleet, WorkPlan(seed, listOf(REBUILD)) { rate }.items(RUN_SECONDS))
        val writes = (fleet.platform.counts().writes - writesBefore) / RUN_SECONDS
        return variantOf(label, condition, fleet, results, mapOf(WRITES_FIGURE to writes, SERVED_SHARE_FIGURE to servedShare(results)))
    }

    private fun servedShare(results: List<CallResult>): Double =
        results.count { it.outcome == RequestOutcome.RAN }.toDouble() / results.size

    private companion object {
        const val LOAD_FACTOR = 0.5
        const val WARM_UP_SECONDS = 3.0
        const val RUN_SECONDS = 4.0
        const val SLOW_PLATFORM_DELAY_MS = 50L
        const val LOSE_EVERY_NTH = 3
        const val WRITES_FIGURE = "platform writes per second"
        const val SERVED_SHARE_FIGURE = "share served"
    }
}
