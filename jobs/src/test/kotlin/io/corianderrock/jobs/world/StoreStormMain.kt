/*
 * Runs store storms by hand: `StoreStormMainKt FIRST LAST [PART_WRITES_PER_S [JOBS]]` prints the worst histories of a range of seeds, with refused
 * calls counted and not counted against the store's rates, JOBS more jobs of callers and budgets if JOBS is given; for a single seed it prints the decisions as well.
 */
package io.corianderrock.jobs.world

internal fun main(args: Array<String>) {
    val jobCount = args.getOrNull(3)?.toInt()
    val seeds = args[0].toInt()..args[1].toInt()
    if (seeds.first == seeds.last) {
        val traces = ArrayList<String>()
        val rates = stormRates(countsRefused = true)
        val record = StoreStorm(seeds.first, rates, traces = traces, isBudgeted = jobCount != null, jobCount = jobCount ?: 0).run()
        traces.forEach(::println)
        println(record)
        return
    }
    for (countsRefused in listOf(true, false)) {
        val rates = stormRates(countsRefused).let { it.copy(partWritesPerS = args.getOrNull(2)?.toInt() ?: it.partWritesPerS) }
        val startNs = System.nanoTime()
        val records = seeds.map { StoreStorm(it, rates, isBudgeted = jobCount != null, jobCount = jobCount ?: 0).run() }
        val taken = records.mapNotNull { it.takenAfterMs }.sorted()
        val backlogs = records.map { it.backlogMs }.sorted()
        println("refused calls counted: $countsRefused, $rates")
        println("  free at the return: ${taken.size}; taken after ms: ${quantiles(taken)}; backlog ms: ${quantiles(backlogs)}")
        val behind = records.map { it.behindMs }.sorted()
        println("  behind while sound ms: ${quantiles(behind)}, sum ${behind.sum()}")
        println(
            "  around the owner: ${records.sumOf { it.callersCount }} transactions, ${records.sumOf { it.wastedCount }} without effect, " +
                "${records.sumOf { it.acceptedCount }} jobs accepted",
        )
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
