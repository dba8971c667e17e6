/*
 * Helpers that run load against a local fleet and summarise it.
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

/** The policy of the product. */
internal val CURRENT = DaemonPolicies()

/** The baseline: first in, first out; a random worker; no classes of work; a failed worker is free again at once. */
internal val BASELINE =
    DaemonPolicies(
        clock = Clock.SYSTEM,
        scheduling = SchedulingPolicy(RandomWorkerSelector(), separatesClasses = false, holdsSlotAfterFailure = false),
    )

internal fun isIdempotent(profile: WorkProfile): Boolean = profile.method == "GET"

internal fun targetsOf(fleet: LocalFleet): List<String> = fleet.daemons.map { "127.0.0.1:${it.ports.callers}" }

/** Sends [items] to [fleet] and returns what their callers saw. */
internal fun runLoad(
    fleet: LocalFleet,
    items: List<WorkItem>,
    threads: Int = 3_000,
): List<CallResult> = LoadGenerator(targetsOf(fleet), threads).use { it.run(items) }

/** Summarises the latencies of requests that ran. */
internal fun summarize(results: List<CallResult>): LatencySummary {
    val histogram = Histogram(MAX_LATENCY_NS, SIGNIFICANT_DIGITS)
    results
        .filter { it.outcome == RequestOutcome.RAN }
        .forEach { histogram.recordValue(it.latencyNs.coerceIn(0, MAX_LATENCY_NS)) }
    return summaryOf(histogram)
}

/** Summarises a histogram of nanoseconds. */
internal fun summaryOf(histogram: Histogram): LatencySummary =
    LatencySummary(
        count = histogram.totalCount,
        p50Ms = histogram.getValueAtPercentile(50.0) / NS_PER_MS,
        p90Ms = histogram.getValueAtPercentile(90.0) / NS_PER_MS,
        p99Ms = histogram.getValueAtPercentile(99.0) / NS_PER_MS,
        maxMs = histogram.maxValue / NS_PER_MS,
    )

/** The machine that a figure was measured on. */
internal fun machine(): String {
    val runtime = Runtime.getRuntime()
    return "${runtime.availableProcessors()} processors, heap ${runtime.maxMemory() / BYTES_PER_MB} MB, Java ${System.getProperty(
        "java.version",
    )}"
}

/** Builds the result of a variant from what callers saw and what the upstreams of [fleet] recorded. */
internal fun variantOf(
    variant: String,
    condition: String,
    fleet: LocalFleet,
    results: List<CallResult>,
    figures: Map<String, Double> = emptyMap(),
): VariantResult {
    val byKind = results.groupBy { if (it.item.isStraggler) it.item.profile.name + " (straggler)" else it.item.profile.name }
    return VariantResult(
        variant = variant,
        condition = condition,
        latencies = byKind.mapValues { summarize(it.value) },
        figures = figures,
        invariants = checkInvariants(results, fleet.upstreams.ledger.all(), ::isIdempotent),
    )
}

/** Sends short requests until run times and connections are warm, and forgets them. */
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

/** A target that is met when no promise was broken in any of [variants]. */
internal fun noBrokenPromise(variants: List<VariantResult>): TargetResult {
    val broken = variants.mapNotNull { it.invariants }.sumOf { it.lost + it.doubled + it.crossed + it.falselyNotRun }
    return TargetResult("lost, doubled, crossed, falsely not-run", "0", broken.toDouble(), broken == 0)
}

private const val SIGNIFICANT_DIGITS = 3
private const val BYTES_PER_MB = 1_048_576
private const val NS_PER_MS = 1e6
private val MAX_LATENCY_NS = TimeUnit.SECONDS.toNanos(120)
