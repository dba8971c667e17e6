/*
 * The stored form of what has been learned about run times.
 */
package io.corianderrock.jobs.runtimes

import kotlinx.serialization.Serializable

/** By queue a sample of its runs, as alternating logarithms of declared estimate and run time in hundredths. */
@Serializable
internal data class RunTimeRow(
    val version: Int,
    val runsByQueue: Map<String, List<Int>>,
) {
    companion object {
        const val VERSION = 1

        /** Runs stored of each queue, a quarter of the window. */
        const val RUNS_PER_QUEUE = 32

        /** Queues in the row, so that it stays below 25 KB. */
        const val MAX_QUEUES = 64
    }
}
