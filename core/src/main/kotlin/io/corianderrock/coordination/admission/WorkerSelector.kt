/*
 * Load balancing: the choice of a worker for a request.
 */
package io.corianderrock.coordination.admission

import io.corianderrock.coordination.Clock
import java.util.concurrent.ThreadLocalRandom

/** The workers of one service at one entry, as an immutable snapshot. */
public class WorkerSet(
    public val primary: List<WorkerState>,
    public val spare: List<WorkerState>,
) {
    /** The number of slots of the primary pool that this entry may use. */
    public val primarySlots: Int get() = primary.sumOf { it.limit }

    /** The number of those slots on workers that are not ejected. */
    public val healthySlots: Int get() = primary.sumOf { if (it.health.isEjected) 0 else it.limit }

    public companion object {
        public val EMPTY: WorkerSet = WorkerSet(emptyList(), emptyList())
    }
}

/** A load-balancing policy. Implementations are thread-safe and do not block. */
public interface WorkerSelector {
    /** Acquires a slot on one of [workers] whose id is not in [excluded]. Returns null if no slot is available. */
    public fun acquire(
        workers: WorkerSet,
        excluded: Set<String>,
    ): WorkerState?
}

/**
 * Power of two choices: prefers the less loaded of two random workers of the primary pool, then any primary worker with a
 * free slot, then a worker of the spare pool that uses less than [spareShare] of its slots.
 */
public class LeastLoadedOfTwo(
    private val clock: Clock,
    private val spareShare: Double = 0.5,
    private val randomIndex: (Int) -> Int = { ThreadLocalRandom.current().nextInt(it) },
) : WorkerSelector {
    override fun acquire(
        workers: WorkerSet,
        excluded: Set<String>,
    ): WorkerState? =
        acquireFrom(workers.primary, excluded) { it.limit }
            ?: acquireFrom(workers.spare, excluded) { (it.limit * spareShare).toInt() }

    private fun acquireFrom(
        candidates: List<WorkerState>,
        excluded: Set<String>,
        cap: (WorkerState) -> Int,
    ): WorkerState? {
        if (candidates.isEmpty()) return null
        val start = randomIndex(candidates.size)
        val preferred = lessLoaded(candidates[start], candidates[randomIndex(candidates.size)])
        if (tryAcquire(preferred, excluded, cap)) return preferred
        for (offset in candidates.indices) {
            val candidate = candidates[(start + offset) % candidates.size]
            if (tryAcquire(candidate, excluded, cap)) return candidate
        }
        return null
    }

    private fun lessLoaded(
        first: WorkerState,
        second: WorkerState,
    ): WorkerState = if (second.load < first.load) second else first

    private fun tryAcquire(
        worker: WorkerState,
        excluded: Set<String>,
        cap: (WorkerState) -> Int,
    ): Boolean {
        if (worker.route.id in excluded) return false
        if (!worker.tryAcquire(cap(worker))) return false
        if (worker.health.tryAdmit(clock.monotonicNs())) return true
        worker.releaseSlot()
        return false
    }
}

/** A baseline: one random worker of the primary pool, regardless of load, health and exclusions. */
public class RandomWorkerSelector(
    private val randomIndex: (Int) -> Int = { ThreadLocalRandom.current().nextInt(it) },
) : WorkerSelector {
    override fun acquire(
        workers: WorkerSet,
        excluded: Set<String>,
    ): WorkerState? {
        if (workers.primary.isEmpty()) return null
        val worker = workers.primary[randomIndex(workers.primary.size)]
        return worker.takeIf { it.tryAcquire(it.limit) }
    }
}
