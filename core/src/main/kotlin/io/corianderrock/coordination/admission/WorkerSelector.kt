/*
 * Chooses the worker for a request.
 */
package io.corianderrock.coordination.admission

import io.corianderrock.coordination.Clock
import java.util.concurrent.ThreadLocalRandom

/** The workers of one service at one entry, as an immutable snapshot. */
public class WorkerSet(
    public val primary: List<WorkerState>,
    public val spare: List<WorkerState>,
) {
    /** The slots of the primary pool that this entry may use. */
    public val primarySlots: Int get() = primary.sumOf { it.limit }

    /** The slots of those workers of the primary pool that are not ejected. */
    public val healthySlots: Int get() = primary.sumOf { if (it.health.isEjected) 0 else it.limit }

    public companion object {
        /** A set without workers. */
        public val EMPTY: WorkerSet = WorkerSet(emptyList(), emptyList())
    }
}

/** A way to choose a worker and take one of its slots. */
public interface WorkerSelector {
    /** Takes a slot on one of [workers], none of which may be in [excluded]. Returns null when no slot is free. */
    public fun take(
        workers: WorkerSet,
        excluded: Set<String>,
    ): WorkerState?
}

/**
 * Chooses the less loaded of two random workers of the primary pool, then any with a free slot, then a worker of the
 * spare pool that is below [spareShare] of its slots.
 */
public class LeastLoadedOfTwo(
    private val clock: Clock,
    private val spareShare: Double = 0.5,
    private val randomIndex: (Int) -> Int = { ThreadLocalRandom.current().nextInt(it) },
) : WorkerSelector {
    override fun take(
        workers: WorkerSet,
        excluded: Set<String>,
    ): WorkerState? =
        takeFrom(workers.primary, excluded) { it.limit }
            ?: takeFrom(workers.spare, excluded) { (it.limit * spareShare).toInt() }

    private fun takeFrom(
        candidates: List<WorkerState>,
        excluded: Set<String>,
        cap: (WorkerState) -> Int,
    ): WorkerState? {
        if (candidates.isEmpty()) return null
        val start = randomIndex(candidates.size)
        val preferred = lessLoaded(candidates[start], candidates[randomIndex(candidates.size)])
        if (tryTake(preferred, excluded, cap)) return preferred
        for (offset in candidates.indices) {
            val candidate = candidates[(start + offset) % candidates.size]
            if (tryTake(candidate, excluded, cap)) return candidate
        }
        return null
    }

    private fun lessLoaded(
        first: WorkerState,
        second: WorkerState,
    ): WorkerState = if (second.load < first.load) second else first

    private fun tryTake(
        worker: WorkerState,
        excluded: Set<String>,
        cap: (WorkerState) -> Int,
    ): Boolean {
        if (worker.route.id in excluded) return false
        if (!worker.tryTake(cap(worker))) return false
        if (worker.health.tryAdmit(clock.monotonicNs())) return true
        worker.give()
        return false
    }
}

/** The baseline: one random worker of the primary pool, whatever its load and health. */
public class RandomWorker(
    private val randomIndex: (Int) -> Int = { ThreadLocalRandom.current().nextInt(it) },
) : WorkerSelector {
    override fun take(
        workers: WorkerSet,
        excluded: Set<String>,
    ): WorkerState? {
        if (workers.primary.isEmpty()) return null
        val worker = workers.primary[randomIndex(workers.primary.size)]
        return worker.takeIf { it.tryTake(it.limit) }
    }
}
