/*
 * What claims on idempotency keys cost, and what is still served while the platform is down.
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
    override val summary = "added latency, platform writes and share served of keyed work, with the platform up, slow and down"

    private val rate = capacityPerSecond(CONFIRMATION.meanRunMs) * LOAD_SHARE

    override fun run(seed: Long): ExperimentFindings {
        val unclaimed =
            LocalFleet(
                ONE_SERVICE_SHAPE,
                ONE_SERVICE,
                CURRENT.copy(claimsKeys = false),
            ).use { listOf(healthy(it, "no claims", seed)) }
        val claimed = LocalFleet(ONE_SERVICE_SHAPE, ONE_SERVICE, CURRENT).use { conditions(it, seed) }
        val variants = unclaimed + claimed
        val added =
            claimed
                .first()
                .latencies
                .getValue(CONFIRMATION.name)
                .p50Ms -
                unclaimed
                    .first()
                    .latencies
                    .getValue(CONFIRMATION.name)
                    .p50Ms
        return ExperimentFindings(
            variants,
            listOf(
                TargetResult("added median, ms", "reported", added, isMet = true),
                atMost("platform writes a second, all entries", 100.0, claimed.first().figures.getValue(WRITES)),
                atLeast("share served while the platform is down for long", 0.99, claimed.last().figures.getValue(SERVED)),
                noBrokenPromise(variants),
            ),
        )
    }

    private fun conditions(
        fleet: LocalFleet,
        seed: Long,
    ): List<VariantResult> {
        val up = healthy(fleet, "claims", seed)
        fleet.platform.faults = PlatformFaults(delayMs = SLOW_MS)
        val slow = measure(fleet, "claims", "platform answers after $SLOW_MS ms", seed + 2)
        fleet.platform.faults = PlatformFaults(loseEveryNthAnswer = LOSE_EVERY)
        val losing = measure(fleet, "claims", "every ${LOSE_EVERY}rd write answer lost", seed + 3)
        fleet.platform.faults = PlatformFaults(isDown = true)
        val outage = measure(fleet, "claims", "first seconds of an outage", seed + 4)
        awaitUntil("claims are granted from memory") { fleet.daemons.all { it.grantsFromMemory } }
        val down = measure(fleet, "claims", "platform down for long", seed + 5)
        fleet.platform.faults = PlatformFaults()
        return listOf(up, slow, losing, outage, down)
    }

    private fun healthy(
        fleet: LocalFleet,
        label: String,
        seed: Long,
    ): VariantResult {
        warmUp(fleet, WorkPlan(seed + 1, listOf(CONFIRMATION)) { rate }.items(WARM_UP_SECONDS))
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
        val results = runLoad(fleet, WorkPlan(seed, listOf(CONFIRMATION)) { rate }.items(RUN_SECONDS))
        val writes = (fleet.platform.counts().writes - writesBefore) / RUN_SECONDS
        return variantOf(label, condition, fleet, results, mapOf(WRITES to writes, SERVED to servedShare(results)))
    }

    private fun servedShare(results: List<CallResult>): Double =
        results.count { it.outcome == RequestOutcome.RAN }.toDouble() / results.size

    private companion object {
        const val LOAD_SHARE = 0.5
        const val WARM_UP_SECONDS = 3.0
        const val RUN_SECONDS = 4.0
        const val SLOW_MS = 50L
        const val LOSE_EVERY = 3
        const val WRITES = "platform writes per second"
        const val SERVED = "share served"
    }
}
