/*
 * Runs the simulation by hand: `WorldMainKt SEED` prints the decisions and violations of one seed, `WorldMainKt FIRST LAST`
 * the violations of a range of seeds.
 */
package io.corianderrock.jobs.world

internal fun main(args: Array<String>) {
    val first = args[0].toInt()
    val last = args.getOrNull(1)?.toInt()
    if (last == null) {
        val traces = ArrayList<String>()
        val checker = JobWorld(first, traces = traces).run()
        traces.forEach(::println)
        checker.violations.forEach(::println)
        return
    }
    val startNs = System.nanoTime()
    val found = (first..last).flatMap { seed -> JobWorld(seed).run().violations.map { "seed $seed: $it" } }
    found.forEach(::println)
    println("${last - first + 1} seeds, ${found.size} violations, ${(System.nanoTime() - startNs) / 1_000_000} ms")
}
