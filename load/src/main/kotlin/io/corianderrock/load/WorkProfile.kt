/*
 * The work that load generators send: kinds of work, arrival rates and seeded plans of single requests.
 */
package io.corianderrock.load

import java.util.Random
import kotlin.math.ln

/**
 * One kind of work, which makes up [share] of a plan in proportion to the shares of its other kinds. Run times are
 * exponentially distributed with the mean [meanRunMs], or constant with [isFixedRunTime]. A fraction [stragglerShare] of
 * the requests are stragglers, which run for [stragglerFactor] times [meanRunMs]. Keyed work carries an idempotency key.
 */
public data class WorkProfile(
    val name: String,
    val method: String,
    val path: String,
    val meanRunMs: Double,
    val share: Double = 1.0,
    val stragglerShare: Double = 0.0,
    val stragglerFactor: Double = 1.0,
    val isKeyed: Boolean = false,
    val team: String = "load",
    val deadlineMs: Long = 5_000,
    val isFixedRunTime: Boolean = false,
)

/** A planned request. [workId] identifies it in the ledgers of the upstreams; [sendAtNs] is relative to the start of the plan. */
public data class WorkItem(
    val workId: String,
    val profile: WorkProfile,
    val runMs: Double,
    val isStraggler: Boolean,
    val sendAtNs: Long,
)

/** Arrival rate over the course of a run. */
public fun interface ArrivalRate {
    /** Requests per second at [elapsedSeconds] after the start. */
    public fun perSecond(elapsedSeconds: Double): Double
}

/**
 * Demand whose peak rotates over [queues] queues every [turnSeconds]: queue [index] has five times [meanPerSecond] in its
 * turn and a twentieth of it otherwise.
 */
public fun rotatingDemand(
    meanPerSecond: Double,
    index: Int,
    queues: Int,
    turnSeconds: Double,
): ArrivalRate =
    ArrivalRate { elapsedSeconds ->
        val turn = (elapsedSeconds / turnSeconds).toInt() % queues
        meanPerSecond * if (turn == index) PEAK_RATE_FACTOR else OFF_PEAK_RATE_FACTOR
    }

private const val PEAK_RATE_FACTOR = 5.0
private const val OFF_PEAK_RATE_FACTOR = 0.05

/**
 * Plans the requests of one run. Arrivals are a Poisson process with [rate], and kinds and run times are drawn from
 * [profiles]; the same [seed] gives the same plan. Work ids contain the seed, so plans of one run need distinct seeds.
 */
public class WorkPlan(
    private val seed: Long,
    private val profiles: List<WorkProfile>,
    private val rate: ArrivalRate,
) {
    private val random = Random(seed)
    private val totalShare = profiles.sumOf { it.share }

    /** Requests of the first [seconds], in order of arrival. Each call continues the random sequence. */
    public fun items(seconds: Double): List<WorkItem> {
        val items = ArrayList<WorkItem>()
        var atSeconds = nextGapSeconds(0.0)
        while (atSeconds < seconds) {
            items += item(items.size, atSeconds)
            atSeconds += nextGapSeconds(atSeconds)
        }
        return items
    }

    private fun nextGapSeconds(atSeconds: Double): Double = exponential(1.0 / rate.perSecond(atSeconds).coerceAtLeast(MIN_RATE_PER_SECOND))

    private fun item(
        number: Int,
        atSeconds: Double,
    ): WorkItem {
        val profile = pickProfile()
        val isStraggler = random.nextDouble() < profile.stragglerShare
        val drawnRunMs = if (profile.isFixedRunTime) profile.meanRunMs else exponential(profile.meanRunMs)
        val runMs = if (isStraggler) profile.meanRunMs * profile.stragglerFactor else drawnRunMs
        return WorkItem("$seed-${profile.name}-$number", profile, runMs, isStraggler, (atSeconds * NS_PER_SECOND).toLong())
    }

    private fun pickProfile(): WorkProfile {
        var remainingShare = random.nextDouble() * totalShare
        return profiles.firstOrNull { profile ->
            remainingShare -= profile.share
            remainingShare < 0
        } ?: profiles.last()
    }

    private fun exponential(mean: Double): Double = -mean * ln(1.0 - random.nextDouble())

    private companion object {
        const val MIN_RATE_PER_SECOND = 0.1
        const val NS_PER_SECOND = 1e9
    }
}
