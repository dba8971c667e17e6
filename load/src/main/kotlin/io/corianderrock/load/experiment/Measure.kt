/*
 * Shared functions of the experiments: sending load to a local fleet, summarising results and evaluating targets.
 */
package io.corianderrock.load.experiment

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.admission.RandomWorkerSelector
import io.corianderrock.coordination.request.SchedulingPolicy
import io.corianderrock.daemon.DaemonPolicies
import io.corianderrock.load.CallResult
import io.corianderrock.load.LoadGenerator
import io.corianderrock.load.LocalFleet
import io.corianderrock.load.WorkItem
import io.corianderrock.load.WorkProfile
import io.corianderrock.load.checkInvariants
import io.corianderrock.protocol.contract.RequestOutcome
import org.HdrHistogram.Histogram
import java.util.concurrent.TimeUnit

/** The default policies. */
internal val CURRENT_POLICIES = DaemonPolicies()

/**
 * Simple scheduling for comparison: one first-in, first-out queue without classes of work, a random worker for each
 * request, and slots that are free again as soon as their request has failed.
 */
internal val BASELINE_POLICIES =
    DaemonPolicies(
        clock = Clock.SYSTEM,
        scheduling = SchedulingPolicy(RandomWorkerSelector(), separatesClasses = false, holdsSlotAfterFailure = false),
    )

internal fun isIdempotent(profile: WorkProfile): Boolean = profile.method == "GET"

internal fun targetsOf(fleet: LocalFleet): List<String> = fleet.daemons.map { "127.0.0.1:${it.ports.callers}" }

/** Sends [items] to the entries of [fleet] and returns the results in the order of [items]. */
internal fun runLoad(
    fleet: LocalFleet,
    items: List<WorkItem>,
    threads: Int = 3_000,
): List<CallResult> = LoadGenerator(targetsOf(fleet), threads).use { it.run(items) }

/** Summarises the latencies of the results with outcome `ran`. Latencies above 120 s count as 120 s. */
internal fun summarize(results: List<CallResult>): LatencySummary {
    val histogram = Histogram(MAX_LATENCY_NS, SIGNIFICANT_DIGITS)
    results
        .filter { it.outcome == RequestOutcome.RAN }
        .forEach { histogram.recordValue(it.latencyNs.coerceIn(0, MAX_LATENCY_NS)) }
    return summaryOf(histogram)
}

/** Converts a histogram of nanoseconds into a summary in milliseconds. */
internal fun summaryOf(histogram: Histogram): LatencySummary =
    LatencySummary(
        count = histogram.totalCount,
        p50Ms = histogram.getValueAtPercentile(50.0) / NS_PER_MS,
        p90Ms = histogram.getValueAtPercentile(90.0) / NS_PER_MS,
        p99Ms = histogram.getValueAtPercentile(99.0) / NS_PER_MS,
        maxMs = histogram.maxValue / NS_PER_MS,
    )

/** Processors, maximum heap size and Java version of the host that runs the experiment. */
internal fun describeHost(): String {
    val runtime = Runtime.getRuntime()
    return "${runtime.availableProcessors()} processors, heap ${runtime.maxMemory() / BYTES_PER_MB} MB, Java ${System.getProperty(
        "java.version",
    )}"
}

/** Builds the result of a variant from the callers' [results] and the ledger of the upstreams of [fleet]. */
internal fun variantOf(
    variant: String,
    condition: String,
    fleet: LocalFleet,
    results: List<CallResult>,
    figures: Map<String, Double> = emptyMap(),
): VariantResult {
    val resultsByKind = results.groupBy { if (it.item.isStraggler) it.item.profile.name + " (straggler)" else it.item.profile.name }
    return VariantResult(
        variant = variant,
        condition = condition,
        latencies = resultsByKind.mapValues { summarize(it.value) },
        figures = figures,
        invariants = checkInvariants(results, fleet.upstreams.ledger.all(), ::isIdempotent),
    )
}

/** Sends [items] to warm up connections and run time estimates, then discards their results and clears the ledger. */
internal fun warmUp(
    fleet: LocalFleet,
    items: List<WorkItem>,
    threads: Int = 512,
) {
    runLoad(fleet, items, threads)
    fleet.upstreams.ledger.clear()
}

/** A target that is met when [measured] is at most [limit]. */
internal fun atMost(
    name: String,
    limit: Double,
    measured: Double,
): TargetResult = TargetResult(name, "at most $limit", measured, measured <= limit)

/** A target that is met when [measured] is at least [limit]. */
internal fun atLeast(
    name: String,
    limit: Double,
    measured: Double,
): TargetResult = TargetResult(name, "at least $limit", measured, measured >= limit)

/** A target that is met when no variant has an invariant violation. */
internal fun noViolations(variants: List<VariantResult>): TargetResult {
    val violations = variants.mapNotNull { it.invariants }.sumOf { it.lost + it.doubled + it.crossed + it.falselyNotRun }
    return TargetResult("lost, doubled, crossed, falsely not-run", "0", violations.toDouble(), violations == 0)
}

private const val SIGNIFICANT_DIGITS = 3
private const val BYTES_PER_MB = 1_048_576
private const val NS_PER_MS = 1e6
private val MAX_LATENCY_NS = TimeUnit.SECONDS.toNanos(120)
