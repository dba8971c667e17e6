/*
 * The result of an experiment, as data.
 */
package io.corianderrock.load.experiment

import io.corianderrock.load.InvariantReport
import kotlinx.serialization.Serializable

/** Latencies of one kind of work in milliseconds, measured from the planned time of each request. */
@Serializable
public data class LatencySummary(
    val count: Long,
    val p50Ms: Double,
    val p90Ms: Double,
    val p99Ms: Double,
    val maxMs: Double,
)

/** One variant of an experiment: the current policy or a baseline, under one condition. */
@Serializable
public data class VariantResult(
    val variant: String,
    val condition: String,
    val latencies: Map<String, LatencySummary> = emptyMap(),
    val figures: Map<String, Double> = emptyMap(),
    val invariants: InvariantReport? = null,
)

/** A target, the figure measured for it and whether it was met. */
@Serializable
public data class TargetResult(
    val name: String,
    val target: String,
    val measured: Double,
    val isMet: Boolean,
)

/** Everything that one run of an experiment found. */
@Serializable
public data class ExperimentReport(
    val experiment: String,
    val command: String,
    val seed: Long,
    val machine: String,
    val variants: List<VariantResult>,
    val targets: List<TargetResult>,
)

/** A named experiment. */
public interface Experiment {
    /** The name on the command line. */
    public val name: String

    /** What it measures, in one line. */
    public val summary: String

    /** Runs it with [seed]. */
    public fun run(seed: Long): ExperimentFindings
}

/** What an experiment returns; the command adds machine and command line. */
public data class ExperimentFindings(
    val variants: List<VariantResult>,
    val targets: List<TargetResult>,
)
