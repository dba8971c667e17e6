/*
 * The last run times of one class of tasks, and their quantiles given the declared estimate. Times are natural logarithms of
 * milliseconds, since estimates are wrong by factors and the spread of run times grows with them.
 */
package io.corianderrock.jobs.runtimes

import kotlin.math.exp
import kotlin.math.floor
import kotlin.math.pow
import kotlin.math.sqrt

/**
 * A window of [capacity] runs, of which newer ones weigh more: the weight halves every [halfLifeRuns] runs. All summaries are
 * recomputed by [refresh], in time proportional to the window; reading them takes constant time.
 */
internal class RunTimeWindow(
    private val capacity: Int,
    private val usesDeclared: Boolean = true,
    halfLifeRuns: Double = HALF_LIFE_RUNS,
) {
    private val declaredLogs = FloatArray(capacity)
    private val tookLogs = FloatArray(capacity)
    private val isCensored = BooleanArray(capacity)

    /** Who caused each run, hashed to [SOURCE_COUNT] sources: two that collide share a limit, which does little harm. */
    private val sources = ByteArray(capacity)
    private val sourceCounts = IntArray(SOURCE_COUNT)
    private val weights = FloatArray(capacity)
    private val recency = FloatArray(capacity) { age -> 0.5.pow(age / halfLifeRuns).toFloat() }
    private val order = LongArray(capacity)
    private val offsets = FloatArray(GRID_STEPS + 1)
    private var next = 0
    private var addedSinceRefresh = 0

    /** Number of runs in the window. */
    var size: Int = 0
        private set

    /** Number of times that the summaries have been recomputed. */
    var refreshCount: Int = 0
        private set

    /** Median run time at the mean declared estimate [declaredMean]. */
    var medianLog: Double = 0.0
        private set
    var declaredMean: Double = 0.0
        private set
    private var leastDeclared = 0.0
    private var greatestDeclared = 0.0

    /** Change of the run time with the declared estimate: near 1 if the estimates differ as the run times do, 0 if they tell nothing. */
    var slope: Double = DEFAULT_SLOPE
        private set

    /** Mean run time as a multiple of the median. */
    var meanFactor: Double = DEFAULT_MEAN_FACTOR
        private set

    /** Standard deviation of the residuals by their quartiles, which outliers do not change. */
    var spread: Double = DEFAULT_SPREAD
        private set

    /** Adds a run. One that [isCut] short would have taken at least [tookLog]. */
    fun add(
        declaredLog: Double,
        tookLog: Double,
        isCut: Boolean,
        source: Int,
    ) {
        if (size == capacity) sourceCounts[sources[next].toInt()]-- else size++
        declaredLogs[next] = declaredLog.toFloat()
        tookLogs[next] = tookLog.toFloat()
        isCensored[next] = isCut
        sources[next] = (source and SOURCE_COUNT - 1).toByte()
        sourceCounts[sources[next].toInt()]++
        next = (next + 1) % capacity
        // A small window is summarized after each run, a full one less often: one run changes it little.
        if (++addedSinceRefresh > size / RUNS_PER_REFRESH) refresh()
    }

    /** [declaredLog], but not far beyond the estimates of the window: callers may declare anything. */
    fun plausible(declaredLog: Double): Double = declaredLog.coerceIn(leastDeclared - DECLARED_MARGIN, greatestDeclared + DECLARED_MARGIN)

    /** Median run time given the declared estimate. */
    fun predictLog(declaredLog: Double): Double = medianLog + slope * (plausible(declaredLog) - declaredMean)

    /** Offset of the [quantile] of the residuals from their median. */
    fun offset(quantile: Double): Double {
        val position = (quantile * GRID_STEPS).coerceIn(0.0, GRID_STEPS.toDouble())
        val index = minOf(floor(position).toInt(), GRID_STEPS - 1)
        val observed = offsets[index] + (position - index) * (offsets[index + 1] - offsets[index])
        return (size * observed + DEFAULT_WEIGHT_RUNS * normalQuantile(quantile) * DEFAULT_SPREAD) / (size + DEFAULT_WEIGHT_RUNS)
    }

    /**
     * At most [count] runs that were not cut short, oldest first, as pairs of declared estimate and run time. Evenly spread over
     * the window, since the tasks of one step resemble one another.
     */
    fun sample(count: Int): List<Pair<Double, Double>> {
        val ended = (1..size).map { Math.floorMod(next - it, capacity) }.filter { !isCensored[it] }
        val stride = maxOf(1, (ended.size + count - 1) / count)
        return ended
            .filterIndexed { rank, _ -> rank % stride == 0 }
            .map { declaredLogs[it].toDouble() to tookLogs[it].toDouble() }
            .reversed()
    }

    private fun refresh() {
        addedSinceRefresh = 0
        refreshCount++
        weigh()
        fitSlope()
        sortResiduals()
        summarize()
    }

    /** Weighs newer runs more, and such that one source counts for at most [MAX_SOURCE_SHARE] of the window, unless there is no other. */
    private fun weigh() {
        var kept = 0f
        for (count in sourceCounts) kept += minOf(count.toFloat(), MAX_SOURCE_SHARE * size)
        val scale = size / kept
        for (i in 0 until size) {
            val share = sourceCounts[sources[i].toInt()].toFloat() / size
            val age = Math.floorMod(next - 1 - i, capacity)
            weights[i] = scale * recency[age] * if (share <= MAX_SOURCE_SHARE) 1f else MAX_SOURCE_SHARE / share
        }
    }

    /** Ridge regression towards [DEFAULT_SLOPE]; run times far from the last median are clipped, since 3 in 100 take 7 times as long. */
    private fun fitSlope() {
        var weight = 0.0
        var declaredSum = 0.0
        var tookSum = 0.0
        for (i in 0 until size) {
            weight += weights[i]
            declaredSum += weights[i] * declaredLogs[i]
            tookSum += weights[i] * tookLogs[i]
        }
        declaredMean = declaredSum / weight
        leastDeclared = (0 until size).minOf { declaredLogs[it].toDouble() }
        greatestDeclared = (0 until size).maxOf { declaredLogs[it].toDouble() }
        if (!usesDeclared) {
            slope = 0.0
            return
        }
        val centre = tookSum / weight
        var square = 0.0
        var product = 0.0
        for (i in 0 until size) {
            val declared = declaredLogs[i] - declaredMean
            square += weights[i] * declared * declared
            product += weights[i] * declared * (tookLogs[i] - centre).coerceIn(-SLOPE_CLIP, SLOPE_CLIP)
        }
        slope = ((product + SLOPE_RIDGE * DEFAULT_SLOPE) / (square + SLOPE_RIDGE)).coerceIn(0.0, 1.0)
    }

    /** Sorts the residuals together with their positions, as one number each, so that nothing is allocated. */
    private fun sortResiduals() {
        for (i in 0 until size) {
            val residual = (tookLogs[i] - slope * (declaredLogs[i] - declaredMean)) * FIXED_POINT
            order[i] = (residual.toLong() shl POSITION_BITS) or i.toLong()
        }
        order.sort(0, size)
    }

    private fun residualAt(rank: Int): Double = (order[rank] shr POSITION_BITS) / FIXED_POINT

    /** Reads the quantiles off the Kaplan-Meier estimate: the weight of a run cut short moves to the longer ones. */
    private fun summarize() {
        var atRisk = 0.0
        for (i in 0 until size) atRisk += weights[i]
        var survival = 1.0
        var step = 0
        var last = residualAt(size - 1)
        for (rank in 0 until size) {
            val i = (order[rank] and POSITION_MASK).toInt()
            if (!isCensored[i]) {
                survival *= 1 - weights[i] / atRisk
                last = residualAt(rank)
                while (step <= GRID_STEPS &&
                    1 - survival + QUANTILE_TOLERANCE >= step.toDouble() / GRID_STEPS
                ) {
                    offsets[step++] = last.toFloat()
                }
            }
            atRisk = maxOf(atRisk - weights[i], MIN_WEIGHT)
        }
        // Beyond the last run that ended by itself, the longest one cut short is a lower bound.
        while (step <= GRID_STEPS) offsets[step++] = residualAt(size - 1).toFloat()
        medianLog = offsets[GRID_STEPS / 2].toDouble()
        for (i in offsets.indices) offsets[i] -= medianLog.toFloat()
        spread = maxOf(MIN_SPREAD, (offset(UPPER_QUARTILE) - offset(1 - UPPER_QUARTILE)) / QUARTILE_DISTANCE)
        var mean = 0.0
        for (offset in offsets) mean += exp(offset.toDouble().coerceAtMost(MAX_MEAN_OFFSET))
        mean = (mean / offsets.size).coerceIn(1.0, MAX_MEAN_FACTOR)
        meanFactor = (size * mean + DEFAULT_WEIGHT_RUNS * DEFAULT_MEAN_FACTOR) / (size + DEFAULT_WEIGHT_RUNS)
    }

    internal companion object {
        /** A factor of two beyond the least and the greatest estimate, as much as estimates are wrong by. */
        const val DECLARED_MARGIN = 0.7

        /** A shift of the work is the greater part of the weight after this many runs, which are five steps of eight tasks. */
        const val HALF_LIFE_RUNS = 40.0

        /** Slope before anything is learned: spread and error of the estimates about equal. */
        const val DEFAULT_SLOPE = 0.6

        /** Standard deviation before anything is learned, in logarithms: tasks of a step spread by 0.5, estimates by about the same. */
        const val DEFAULT_SPREAD = 0.7
        private const val DEFAULT_MEAN_FACTOR = 1.2

        /** Number of runs that outweigh the defaults: one step of eight tasks. */
        private const val DEFAULT_WEIGHT_RUNS = 8.0

        /** Pull of [DEFAULT_SLOPE], as a sum of squares: about two steps of eight tasks with estimates spread by 0.7. */
        private const val SLOPE_RIDGE = 8.0
        private const val SLOPE_CLIP = 1.5

        /** Greatest share of a window for one account: its outliers then leave the median among the runs of the others. */
        private const val MAX_SOURCE_SHARE = 0.25f
        private const val SOURCE_COUNT = 64
        private const val RUNS_PER_REFRESH = 16
        private const val GRID_STEPS = 40
        private const val FIXED_POINT = 1e6
        private const val POSITION_BITS = 10
        private const val POSITION_MASK = (1L shl POSITION_BITS) - 1
        private const val QUANTILE_TOLERANCE = 1e-6
        private const val MIN_WEIGHT = 1e-9
        private const val MIN_SPREAD = 0.05
        private const val UPPER_QUARTILE = 0.75

        /** Distance of the quartiles of a normal distribution in standard deviations. */
        private const val QUARTILE_DISTANCE = 1.349
        private const val MAX_MEAN_OFFSET = 2.5
        private const val MAX_MEAN_FACTOR = 2.0
    }
}

/** Quantile of the standard normal distribution, by the logistic approximation, which is accurate to 0.02 within 0.02 to 0.98. */
internal fun normalQuantile(quantile: Double): Double {
    val p = quantile.coerceIn(MIN_PROBABILITY, 1 - MIN_PROBABILITY)
    val tail = sqrt(-2 * kotlin.math.ln(minOf(p, 1 - p)))
    val value = tail - (2.30753 + 0.27061 * tail) / (1 + 0.99229 * tail + 0.04481 * tail * tail)
    return if (p < 0.5) -value else value
}

private const val MIN_PROBABILITY = 1e-4
