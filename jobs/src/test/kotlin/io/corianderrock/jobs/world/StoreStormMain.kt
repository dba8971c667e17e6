/*
 * Runs store storms by hand: `StoreStormMainKt FIRST LAST [PART_WRITES_PER_S]` prints the worst histories of a range of seeds, with refused
 * calls counted and not counted against the store's rates; for a single seed it prints the decisions as well.
 */
package io.corianderrock.jobs.world

internal fun main(args: Array<String>) {
    val seeds = args[0].toInt()..args[1].toInt()
    if (seeds.first == seeds.last) {
        val traces = ArrayList<String>()
        val record = StoreStorm(seeds.first, stormRates(countsRefused = true), traces = traces).run()
        traces.forEach(::println)
        println(record)
        return
    }
    for (countsRefused in listOf(true, false)) {
        val rates = stormRates(countsRefused).let { it.copy(partWritesPerS = args.getOrNull(2)?.toInt() ?: it.partWritesPerS) }
        val startNs = System.nanoTime()
        val records = seeds.map { StoreStorm(it, rates).run() }
        val taken = records.mapNotNull { it.takenAfterMs }.sorted()
        val backlogs = records.map { it.backlogMs }.sorted()
        println("refused calls counted: $countsRefused, $rates")
        println("  free at the return: ${taken.size}; taken after ms: ${quantiles(taken)}; backlog ms: ${quantiles(backlogs)}")
        println("  claims: ${records.sumOf { it.claimCount }}, most in a second: ${records.maxOf { it.mostClaimsPerS }}")
        records
            .sortedByDescending {
                it.longestSoundWithoutOwnerMs
            }.take(3)
            .forEach { println("  without owner: ${it.copy(violations = it.violations.take(1))}") }
        records
            .sortedByDescending { it.mostClaimsPerS }
            .take(
                3,
            ).forEach { println("  claims: ${it.copy(violations = it.violations.take(1))}") }
        val failed = records.filter { it.violations.isNotEmpty() }
        println("  violations in ${failed.size}: ${failed.take(10).map { "${it.seed}: ${it.violations.first()}" }}")
        println("  over 3 s without owner: ${records.count { it.longestSoundWithoutOwnerMs > 3_000 }} of ${records.size}")
        println("  ${(System.nanoTime() - startNs) / 1_000_000} ms")
    }
}

private fun quantiles(sorted: List<Long>): String =
    if (sorted.isEmpty()) "none" else "p50 ${sorted[sorted.size / 2]}, p95 ${sorted[sorted.size * 95 / 100]}, most ${sorted.last()}"
