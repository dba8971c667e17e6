/*
 * Runs the simulation by hand: `WorldMainKt FIRST LAST [WORKLOAD [LEASE_MS [POOL_DECISIONS]]]` prints the violations of a range of
 * seeds, and the decisions as well if the range has a single seed. POOL_DECISIONS true switches on the optional decisions on pools.
 */
package io.corianderrock.jobs.world

import io.corianderrock.jobs.runs.SchedulingSettings

/** All decisions on pool sizes and moves that are off by default. */
internal val POOL_SETTINGS =
    SchedulingSettings(
        drainsSurplusEarly = true,
        estimatesInheritedDemand = true,
        toleratesUnevenIntervals = true,
        keepsUsableInstances = true,
    )

internal fun main(args: Array<String>) {
    val first = args[0].toInt()
    val last = args.getOrNull(1)?.toInt() ?: first
    val workload = args.getOrNull(2)?.let(Workload::valueOf) ?: Workload.SHORT_JOBS
    val longestLeaseMs = args.getOrNull(3)?.toLong() ?: SimWorker.MAX_LEASE_MS
    val settings = if (args.getOrNull(4).toBoolean()) POOL_SETTINGS else SchedulingSettings()
    if (first == last) {
        val traces = ArrayList<String>()
        val checker = JobWorld(first, workload = workload, longestLeaseMs = longestLeaseMs, traces = traces, settings = settings).run()
        traces.forEach(::println)
        checker.violations.forEach(::println)
        return
    }
    val startNs = System.nanoTime()
    val found =
        (first..last).flatMap { seed ->
            JobWorld(
                seed,
                workload = workload,
                longestLeaseMs = longestLeaseMs,
                settings = settings,
            ).run().violations.map { "seed $seed: $it" }
        }
    found.forEach(::println)
    println("${last - first + 1} seeds, ${found.size} violations, ${(System.nanoTime() - startNs) / 1_000_000} ms")
}
