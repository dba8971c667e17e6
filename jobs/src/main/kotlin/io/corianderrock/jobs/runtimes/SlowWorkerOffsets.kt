/*
 * How much slower single workers are than the rest, so that runs on slow workers do not pass for longer work.
 */
package io.corianderrock.jobs.runtimes

import io.corianderrock.jobs.state.WorkerView
import kotlin.math.ln

/** Compares the deviations of each worker's runs with those of all workers. Used on the event loop only. */
internal class SlowWorkerOffsets {
    private class Deviation(
        val bornWallMs: Long,
    ) {
        var mean = 0.0
        var count = 0
    }

    private val deviations = boundedMap<String, Deviation>(MAX_WORKERS)

    /** Mean deviation on all workers: work that has become longer deviates on all of them alike. */
    private var generalMean = 0.0

    /** Records that a run on [worker] deviated by [residual] from its prediction. The record ends with the incarnation. */
    fun add(
        worker: WorkerView,
        residual: Double,
    ) {
        val clipped = residual.coerceIn(-CLIP, CLIP)
        generalMean += (clipped - generalMean) / GENERAL_MEMORY_RUNS
        val deviation =
            deviations[worker.id]?.takeIf { it.bornWallMs == worker.bornWallMs }
                ?: Deviation(worker.bornWallMs).also { deviations[worker.id] = it }
        deviation.count++
        deviation.mean += (clipped - deviation.mean) / minOf(deviation.count, MEMORY_RUNS)
    }

    /** True once enough runs have ended on [worker] to tell its [offset]. */
    fun isKnown(worker: WorkerView): Boolean =
        deviations[worker.id]?.let { it.bornWallMs == worker.bornWallMs && it.count >= MIN_RUNS } ?: false

    /** How much longer runs take on [worker], in logarithms; 0 unless it is clearly slower than the others. */
    fun offset(worker: WorkerView): Double {
        val deviation = deviations[worker.id]?.takeIf { it.bornWallMs == worker.bornWallMs && it.count >= MIN_RUNS } ?: return 0.0
        val relative = deviation.mean - generalMean
        return if (relative > MIN_OFFSET) relative else 0.0
    }

    private companion object {
        /** More than the workers of all pools in the largest deployment. */
        const val MAX_WORKERS = 1_024
        const val CLIP = 2.0
        const val GENERAL_MEMORY_RUNS = 100
        const val MEMORY_RUNS = 16

        /** The mean of this many runs deviates by chance by 0.2, less than half of [MIN_OFFSET]. */
        const val MIN_RUNS = 8
        val MIN_OFFSET = ln(1.6)
    }
}
