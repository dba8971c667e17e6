/*
 * Divides the capacity of a pool between client accounts while they want more than there is.
 */
package io.corianderrock.jobs.accounts

import io.corianderrock.jobs.placement.Candidate
import io.corianderrock.jobs.placement.CandidateOrder
import io.corianderrock.jobs.placement.RankedOrder
import java.util.PriorityQueue
import kotlin.math.max
import kotlin.math.min

/**
 * Interleaves candidates that rank equally by [ranking]: the next is always of the account with the lowest dominant share of the
 * pool over its weight, counting the candidates before it as started. Candidates of one account keep their order. No share is
 * reserved: what an account leaves unused goes to others, and returns to it as their runs end.
 */
internal class FairShareOrder(
    private val ranking: RankedOrder,
    private val accounts: ActiveAccounts,
    private val usage: AccountUsage,
) : CandidateOrder {
    private class Line(
        val priority: Int,
        val weight: Double,
        val firstPosition: Int,
        val used: ResourceSum,
        val candidates: ArrayDeque<Candidate> = ArrayDeque(),
    ) {
        var weightedShare = 0.0
    }

    override fun order(
        pool: String,
        candidates: List<Candidate>,
    ): List<Candidate> {
        val ranked = ranking.order(pool, candidates)
        if (!accounts.areInForce || ranked.size < 2) return ranked
        val capacity = usage.capacityOf(pool)
        // What earlier ranks will occupy counts for later ones.
        val used = HashMap<String?, ResourceSum>()
        val result = ArrayList<Candidate>(ranked.size)
        var from = 0
        while (from < ranked.size) {
            var to = from + 1
            while (to < ranked.size && ranking.compareRank(ranked[from], ranked[to]) == 0) to++
            interleave(pool, ranked.subList(from, to), capacity, used, result)
            from = to
        }
        return result
    }

    private fun interleave(
        pool: String,
        equal: List<Candidate>,
        capacity: ResourceSum,
        used: HashMap<String?, ResourceSum>,
        result: MutableList<Candidate>,
    ) {
        val lines = LinkedHashMap<String?, Line>()
        for (candidate in equal) {
            val account = candidate.stepRun.job.submission.account
            lines
                .getOrPut(account) {
                    val sum = used.getOrPut(account) { ResourceSum().apply { add(usage.inPool(pool, account)) } }
                    val priority = account?.let(accounts::find)?.priority ?: 0
                    Line(priority, accounts.weightOf(account), lines.size, sum)
                }.candidates
                .addLast(candidate)
        }
        val next = PriorityQueue(compareBy<Line>({ it.weightedShare }, { it.priority }, { it.firstPosition }))
        for (line in lines.values) {
            line.weightedShare = dominantShare(line.used, capacity) / line.weight
            next.add(line)
        }
        while (true) {
            val line = next.poll() ?: return
            val candidate = line.candidates.removeFirst()
            result.add(candidate)
            line.used.add(candidate.stepRun.step.demand, min(candidate.tasks.size, candidate.stepRun.waitingCount))
            line.weightedShare = dominantShare(line.used, capacity) / line.weight
            if (line.candidates.isNotEmpty()) next.add(line)
        }
    }
}

/** The largest share of [capacity] in any dimension. */
internal fun dominantShare(
    used: ResourceSum,
    capacity: ResourceSum,
): Double =
    max(
        used.cpuMilli.toDouble() / max(1, capacity.cpuMilli),
        max(used.memoryMb.toDouble() / max(1, capacity.memoryMb), used.gpuCount.toDouble() / max(1, capacity.gpuCount)),
    )
