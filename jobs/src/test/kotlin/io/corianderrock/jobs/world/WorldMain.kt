/*
 * Plays one seed and prints its decisions and violations: `WorldMainKt SEED`.
 */
package io.corianderrock.jobs.world

/** Prints the trace of the history of the seed in [args], or the violations of a range of seeds. */
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
