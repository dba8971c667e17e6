/*
 * Which images disturb which. Tasks of one image behave alike, so that what is seen on one worker holds on the others for a while.
 */
package io.corianderrock.jobs.sharing

import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.state.Step

/** Learns the pace up to which tasks of one image leave those of another below their target. Used on the event loop only. */
internal interface InterferenceModel {
    /** The percentage at which a task of [filling] is expected to leave tasks of [serving] below their target. */
    fun safePercent(
        serving: Step,
        filling: Step,
    ): Double

    /** The tail of a task of [serving] came near its target while a task of [filling] worked at [percent]. */
    fun onNear(
        serving: Step,
        filling: Step,
        percent: Int,
    )

    /** The tail of a task of [serving] had slack while a task of [filling] worked at [percent]. */
    fun onSlack(
        serving: Step,
        filling: Step,
        percent: Int,
    )
}

/** Keeps one limit for each pair of images: lowered when a tail comes near its target, raised by slack and by time. */
internal class LearnedInterference(
    private val loop: EventLoop,
) : InterferenceModel {
    private class Limit(
        val percent: Double,
        val atMs: Long,
    )

    private val limits = HashMap<Pair<String?, String?>, Limit>()

    override fun safePercent(
        serving: Step,
        filling: Step,
    ): Double {
        val limit = limits[serving.image to filling.image] ?: return UNKNOWN_PERCENT
        return minOf(FULL_PERCENT.toDouble(), limit.percent + (loop.nowMs - limit.atMs) * RECOVERY_PERCENT_PER_MS)
    }

    override fun onNear(
        serving: Step,
        filling: Step,
        percent: Int,
    ) = set(serving, filling, minOf(safePercent(serving, filling), percent * NEAR_FACTOR))

    override fun onSlack(
        serving: Step,
        filling: Step,
        percent: Int,
    ) {
        if (percent > safePercent(serving, filling)) set(serving, filling, percent.toDouble())
    }

    private fun set(
        serving: Step,
        filling: Step,
        percent: Double,
    ) {
        if (limits.size >= MAX_PAIRS) limits.clear()
        limits[serving.image to filling.image] = Limit(percent, loop.nowMs)
    }

    private companion object {
        /** Assumed of images that have not met: a start at half of it is noticed before it does much harm. */
        const val UNKNOWN_PERCENT = 50.0

        /** The next limit, as a part of the pace at which a tail came near its target. */
        const val NEAR_FACTOR = 0.7

        /** Disturbance changes within seconds, so that a limit found long ago says little: 20 % in 10 s. */
        const val RECOVERY_PERCENT_PER_MS = 0.002

        /** Bounds the memory on platforms with ever new images. */
        const val MAX_PAIRS = 10_000
    }
}

/** The pace of a task that is not slowed down. */
internal const val FULL_PERCENT = 100
