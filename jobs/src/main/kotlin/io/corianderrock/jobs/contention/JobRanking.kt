/*
 * Orders waiting work by what its caller can still gain: under contention, capacity that goes to a job that ends too late is lost to
 * one that would have ended in time.
 */
package io.corianderrock.jobs.contention

import io.corianderrock.jobs.placement.Candidate
import io.corianderrock.jobs.placement.RankedOrder
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.state.JobRun

/**
 * Long-running jobs, then jobs that can meet their objective, late ones, and those that end too late to be worth anything; within
 * each by priority. Among equals, jobs that have begun come first, since an overload otherwise starts more jobs than it ends in time,
 * then those with the least work that has not started, in the order of their arrival. The last class gives way to all others, so its
 * oldest job is put first once it has waited for [AGEING_MS], one job per [AGEING_INTERVAL_MS] and pool.
 */
internal class JobRanking(
    private val loop: EventLoop,
    private val gain: RemainingGain,
    private val log: DecisionLog,
) : RankedOrder {
    private class Aged(
        val job: JobRun,
        val sinceMs: Long,
    )

    private val agedByPool = HashMap<String, Aged>()

    /** As of the last [order], so that the order is consistent while the time advances. */
    private val gains = HashMap<JobRun, JobGain>()
    private val byRank =
        compareBy<Candidate>(
            { gainOf(it).gainClass != GainClass.LONG_RUNNING },
            { !isAged(it) },
            { gainOf(it).gainClass },
            { it.stepRun.job.queue.priority },
        )
    private val byRankAndWork = byRank.thenBy { if (gainOf(it).hasBegun) 0.0 else 1 + gainOf(it).waitingCoreMs }

    override fun compareRank(
        a: Candidate,
        b: Candidate,
    ): Int = byRank.compare(a, b)

    override fun order(
        pool: String,
        candidates: List<Candidate>,
    ): List<Candidate> {
        gains.clear()
        promoteOldest(pool, candidates)
        return candidates.sortedWith(byRankAndWork)
    }

    private fun gainOf(candidate: Candidate): JobGain = gains.getOrPut(candidate.stepRun.job) { gain.of(candidate.stepRun.job) }

    private fun isAged(candidate: Candidate): Boolean = agedByPool[candidate.stepRun.job.queue.pool]?.job === candidate.stepRun.job

    private fun promoteOldest(
        pool: String,
        candidates: List<Candidate>,
    ) {
        val aged = agedByPool[pool]
        if (aged != null && (candidates.any { it.stepRun.job === aged.job } || loop.nowMs - aged.sinceMs < AGEING_INTERVAL_MS)) return
        val oldest = candidates.filter { gainOf(it).gainClass == GainClass.NONE }.minByOrNull { it.stepRun.job.acceptedAtMs }
        val waitedMs = oldest?.let { loop.nowMs - it.stepRun.job.acceptedAtMs } ?: 0
        if (oldest == null || waitedMs < AGEING_MS) {
            agedByPool.remove(pool)
            return
        }
        agedByPool[pool] = Aged(oldest.stepRun.job, loop.nowMs)
        log.write("job_aged", "job", oldest.stepRun.job.id, "pool", pool, "waitedMs", waitedMs)
    }

    private companion object {
        /** Twice the time within which most jobs are worth anything; demand peaks are over by then. */
        const val AGEING_MS = 20_000L

        /** At 30 jobs per second in a pool, one job per 500 ms takes less than a tenth of the capacity from the others. */
        const val AGEING_INTERVAL_MS = 500L
    }
}
