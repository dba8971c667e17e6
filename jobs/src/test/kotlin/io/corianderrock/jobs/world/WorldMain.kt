/*
 * Runs the simulation by hand: `WorldMainKt FIRST LAST [WORKLOAD [LEASE_MS [POOL_DECISIONS]]]` prints the violations of a range of
 * seeds, and the decisions as well if the range has a single seed. POOL_DECISIONS true switches on the optional decisions on pools.
 *
 * WORKLOAD is one of [Workload], where EARLY_CANCELS includes the cancellations of [EarlyCancels] and messages that overtake each other, and
 * TIMED_JOBS the faults of [TimedJobFaults], or one of
 * - COINCIDENCES: [Coincidences] beside the above; COINCIDENCES_SAME_IDS for workers that restart under their id
 * - FLEET_CHANGES: [FleetChanges]
 * - LATE_ORDERS: [LateOrderFaults]; LATE_ORDERS_NEW_IDS for workers that restart under new ids
 * - SILENT_FAULTS: [SilentFaults]
 * - UNANSWERED_CANCELS: [UnansweredCancels]
 */
package io.corianderrock.jobs.world

import io.corianderrock.jobs.runs.SchedulingSettings
import java.util.TreeMap

/** All decisions on pool sizes and moves that are off by default. */
internal val POOL_SETTINGS =
    SchedulingSettings(
        drainsSurplusEarly = true,
        estimatesInheritedDemand = true,
        toleratesUnevenIntervals = true,
        keepsUsableInstances = true,
    )

private const val COINCIDENCES = "COINCIDENCES"
private const val COINCIDENCES_SAME_IDS = "COINCIDENCES_SAME_IDS"
private const val FLEET_CHANGES = "FLEET_CHANGES"
private const val LATE_ORDERS = "LATE_ORDERS"
private const val LATE_ORDERS_NEW_IDS = "LATE_ORDERS_NEW_IDS"
private const val SILENT_FAULTS = "SILENT_FAULTS"
private const val UNANSWERED_CANCELS = "UNANSWERED_CANCELS"

/** The code of a violation with the part of its rule, if it tells one. */
private val KIND = Regex("^\\d+: (\\w+(?: \\(\\w+\\))?)")

internal fun main(args: Array<String>) {
    val first = args[0].toInt()
    val last = args.getOrNull(1)?.toInt() ?: first
    val workload = args.getOrNull(2) ?: Workload.SHORT_JOBS.name
    val longestLeaseMs = args.getOrNull(3)?.toLong() ?: SimWorker.MAX_LEASE_MS
    val settings = if (args.getOrNull(4).toBoolean()) POOL_SETTINGS else SchedulingSettings()

    fun world(
        seed: Int,
        traces: MutableList<String>? = null,
    ): JobWorld =
        if (workload == Workload.EARLY_CANCELS.name) {
            earlyCancelWorld(seed, settings, traces)
        } else if (workload == COINCIDENCES || workload == COINCIDENCES_SAME_IDS) {
            coincidenceWorld(seed, keepsIds = workload == COINCIDENCES_SAME_IDS, settings, traces)
        } else if (workload == FLEET_CHANGES) {
            fleetChangeWorld(seed, settings, traces)
        } else if (workload == LATE_ORDERS || workload == LATE_ORDERS_NEW_IDS) {
            lateOrderWorld(seed, keepsIds = workload == LATE_ORDERS, longestLeaseMs, settings, traces)
        } else if (workload == SILENT_FAULTS) {
            silentFaultWorld(seed, longestLeaseMs, settings, traces)
        } else if (workload == UNANSWERED_CANCELS) {
            unansweredCancelWorld(seed, settings, traces)
        } else if (workload == Workload.TIMED_JOBS.name) {
            timedJobWorld(seed, settings, traces)
        } else {
            JobWorld(seed, workload = Workload.valueOf(workload), longestLeaseMs = longestLeaseMs, settings = settings, traces = traces)
        }
    if (first == last) {
        val traces = ArrayList<String>()
        val checker = world(first, traces).run()
        traces.forEach(::println)
        checker.violations.forEach(::println)
        return
    }
    val startNs = System.nanoTime()
    val pairCounts = HashMap<Pair<EventKind, EventKind>, Int>()
    var waitingCountChecks = 0
    val lateStarts = LateStartCounts()
    val startsAfterDone = StartsAfterDone()
    val found = TreeMap<Int, List<String>>()
    for (seed in first..last) {
        val world = world(seed)
        val pairs = EventPairs(world.time).also { world.events.listen(it::onEvent) }
        val checker = world.run()
        if (checker.violations.isNotEmpty()) found[seed] = checker.violations
        pairs.addTo(pairCounts)
        waitingCountChecks += checker.waitingCountChecks
        startsAfterDone.add(checker.startsAfterDone)
        lateStarts.all += checker.lateStarts.all
        lateStarts.ofCancelledJobs += checker.lateStarts.ofCancelledJobs
        lateStarts.ofRemovedSenders += checker.lateStarts.ofRemovedSenders
    }
    found.forEach { (seed, violations) -> violations.forEach { println("seed $seed: $it") } }
    println(
        "${last - first + 1} seeds, ${found.size} fail, ${found.values.sumOf {
            it.size
        }} violations, ${(System.nanoTime() - startNs) / 1_000_000} ms",
    )
    println("$waitingCountChecks counts of waiting jobs checked")
    println(
        "${lateStarts.all} late starts, ${lateStarts.ofCancelledJobs} of cancelled jobs, ${lateStarts.ofRemovedSenders} of removed senders",
    )
    printStartsAfterDone(startsAfterDone)
    printKinds(found.values)
    printPairs(pairCounts)
}

private fun printStartsAfterDone(counts: StartsAfterDone) {
    println(
        "starts after an acknowledged end that (c) does not hold for: ${counts.lateAfterAcknowledgement} carried out late, " +
            "${counts.soonAfterAcknowledgement} within a second, ${counts.outOfTouchAfterAcknowledgement} by an entry out of touch; " +
            "${counts.exemptAfterComplete} after a job was shown as complete; ${counts.endsAcknowledgedAfterLapse} ends acknowledged after a lapse",
    )
}

/** Prints the number of violations and of histories by the code of the rule and its part, those of orders carried out late apart. */
private fun printKinds(histories: Collection<List<String>>) {
    val byKind = TreeMap<String, Pair<Int, Int>>()
    for (violations in histories) {
        val kinds = violations.groupingBy { kindOf(it) }.eachCount()
        kinds.forEach { (kind, count) -> byKind.merge(kind, count to 1) { a, b -> a.first + b.first to a.second + b.second } }
    }
    byKind.forEach { (kind, counts) -> println("$kind: ${counts.first} violations in ${counts.second} histories") }
}

private fun kindOf(violation: String): String {
    val code = KIND.find(violation)?.groupValues?.get(1) ?: "OTHER"
    return if ("carried out late" in violation) "$code, late" else code
}

private fun printPairs(counts: Map<Pair<EventKind, EventKind>, Int>) {
    val possible = EventKind.entries.size * EventKind.entries.size
    val often = counts.values.count { it >= OFTEN }
    println("pairs of events within ${EventPairs.WITHIN_MS} ms: ${counts.size} of $possible kinds, $often of them $OFTEN times or more")
    println(counts.entries.sortedBy { it.value }.joinToString(", ") { "${it.key.first}-${it.key.second} ${it.value}" })
}

private const val OFTEN = 10
