/*
 * What callers ask for: kinds of work with their run times.
 */
package io.corianderrock.load

import java.util.Random
import kotlin.math.ln

/**
 * One kind of work. Run times are exponential around [meanRunMs]; a share of [stragglerShare] runs [stragglerFactor]
 * times longer. Keyed work carries an idempotency key.
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

/** One request to be sent. [work] identifies it in the ledgers of the upstreams. */
public data class WorkItem(
    val work: String,
    val profile: WorkProfile,
    val runMs: Double,
    val isStraggler: Boolean,
    val sendAtNs: Long,
)

/** How many requests a second arrive at a time of a run. */
public fun interface ArrivalRate {
    /** Returns the rate at [elapsedSeconds] after the start. */
    public fun perSecond(elapsedSeconds: Double): Double
}

/** Demand that rotates over [queues] queues: queue [index] asks for five times its mean in its turn, a twentieth else. */
public fun rotatingDemand(
    meanPerSecond: Double,
    index: Int,
    queues: Int,
    turnSeconds: Double,
): ArrivalRate =
    ArrivalRate { elapsed ->
        val turn = (elapsed / turnSeconds).toInt() % queues
        meanPerSecond * if (turn == index) PEAK_FACTOR else QUIET_FACTOR
    }

private const val PEAK_FACTOR = 5.0
private const val QUIET_FACTOR = 0.05

/** Draws the arrivals of one run from a seed. */
public class WorkPlan(
    private val seed: Long,
    private val profiles: List<WorkProfile>,
    private val rate: ArrivalRate,
) {
    private val random = Random(seed)
    private val totalShare = profiles.sumOf { it.share }

    /** Returns all arrivals of the first [seconds], with times relative to the start. */
    public fun items(seconds: Double): List<WorkItem> {
        val items = ArrayList<WorkItem>()
        var at = nextGap(0.0)
        while (at < seconds) {
            items += item(items.size, at)
            at += nextGap(at)
        }
        return items
    }

    private fun nextGap(at: Double): Double = exponential(1.0 / rate.perSecond(at).coerceAtLeast(MIN_RATE))

    private fun item(
        number: Int,
        at: Double,
    ): WorkItem {
        val profile = pick()
        val isStraggler = random.nextDouble() < profile.stragglerShare
        val base = if (profile.isFixedRunTime) profile.meanRunMs else exponential(profile.meanRunMs)
        val runMs = if (isStraggler) profile.meanRunMs * profile.stragglerFactor else base
        return WorkItem("$seed-${profile.name}-$number", profile, runMs, isStraggler, (at * NS_PER_SECOND).toLong())
    }

    private fun pick(): WorkProfile {
        var left = random.nextDouble() * totalShare
        return profiles.firstOrNull { profile ->
            left -= profile.share
            left < 0
        } ?: profiles.last()
    }

    private fun exponential(mean: Double): Double = -mean * ln(1.0 - random.nextDouble())

    private companion object {
        const val MIN_RATE = 0.1
        const val NS_PER_SECOND = 1e9
    }
}
