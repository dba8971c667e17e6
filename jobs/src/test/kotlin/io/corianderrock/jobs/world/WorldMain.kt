/*
 * Runs the simulation by hand: `WorldMainKt FIRST LAST [WORKLOAD [LEASE_MS]]` prints the violations of a range of seeds, and
 * the decisions as well if the range has a single seed.
 */
package io.corianderrock.jobs.world

internal fun main(args: Array<String>) {
    val first = args[0].toInt()
    val last = args.getOrNull(1)?.toInt() ?: first
    val workload = args.getOrNull(2)?.let(Workload::valueOf) ?: Workload.SHORT_JOBS
    val longestLeaseMs = args.getOrNull(3)?.toLong() ?: SimWorker.MAX_LEASE_MS
    if (first == last) {
        val traces = ArrayList<String>()
        val checker = JobWorld(first, workload = workload, longestLeaseMs = longestLeaseMs, traces = traces).run()
        traces.forEach(::println)
        checker.violations.forEach(::println)
        return
    }
    val startNs = System.nanoTime()
    val found =
        (first..last).flatMap { seed ->
            JobWorld(seed, workload = workload, longestLeaseMs = longestLeaseMs).run().violations.map { "seed $seed: $it" }
        }
    found.forEach(::println)
    println("${last - first + 1} seeds, ${found.size} violations, ${(System.nanoTime() - startNs) / 1_000_000} ms")
}
