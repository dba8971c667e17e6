/*
 * The interface of experiments and the data model of their reports.
 */
package io.corianderrock.load.experiment

import io.corianderrock.load.InvariantReport
import kotlinx.serialization.Serializable

/** Latencies of one kind of work, measured from the planned time of each request. [count] is the number of requests that ran. */
@Serializable
public data class LatencySummary(
    val count: Long,
    val p50Ms: Double,
    val p90Ms: Double,
    val p99Ms: Double,
    val maxMs: Double,
)

/**
 * Results of one [variant] (current policies or a baseline) under one [condition], with [latencies] by kind of work and
 * [figures] by name. [invariants] is null where no requests are checked.
 */
@Serializable
public data class VariantResult(
    val variant: String,
    val condition: String,
    val latencies: Map<String, LatencySummary> = emptyMap(),
    val figures: Map<String, Double> = emptyMap(),
    val invariants: InvariantReport? = null,
)

/** A target and the measured value. [isMet] is true for figures that are only reported. */
@Serializable
public data class TargetResult(
    val name: String,
    val target: String,
    val measured: Double,
    val isMet: Boolean,
)

/** Report of one run of an experiment, as written to its JSON file. */
@Serializable
public data class ExperimentReport(
    val experiment: String,
    val command: String,
    val seed: Long,
    val machine: String,
    val variants: List<VariantResult>,
    val targets: List<TargetResult>,
)

/** An experiment of the experiment tool. */
public interface Experiment {
    /** Name on the command line and of the report files. */
    public val name: String

    /** One line on what the experiment measures, printed by `--list`. */
    public val summary: String

    /** Runs the experiment. [seed] determines the planned requests. */
    public fun run(seed: Long): ExperimentFindings
}

/** Results of an experiment, to which the experiment tool adds the command line, the seed and the host. */
public data class ExperimentFindings(
    val variants: List<VariantResult>,
    val targets: List<TargetResult>,
)
