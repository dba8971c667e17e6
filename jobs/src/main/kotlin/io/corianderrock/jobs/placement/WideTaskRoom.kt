/*
 * Keeps room for tasks that fit on no single worker while narrower ones, which are served after them, take each piece of capacity
 * that becomes free. The workers that are expected to have room soonest are kept for them; until then these take only tasks that end
 * before, or that fit beside the wide one.
 */
package io.corianderrock.jobs.placement

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.StepRun
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView

/** Capacity of one worker that is kept for tasks of [stepRun], expected to be free from loop time [freeFromMs] on. */
internal class WorkerRoom(
    val stepRun: StepRun,
    val worker: WorkerView,
    val freeFromMs: Double,
    /** What other tasks may occupy beyond [freeFromMs]. */
    private var spare: Demand,
) {
    /** True if a task of [other] that ends at loop time [endMs] leaves the room as it is. */
    fun permits(
        other: StepRun,
        endMs: Double,
    ): Boolean = other === stepRun || endMs <= freeFromMs || other.step.occupied.fitsIn(spare)

    /** Called when a task of [other] that ends at loop time [endMs] has been assigned to the worker. */
    fun onAssigned(
        other: StepRun,
        endMs: Double,
    ) {
        if (other !== stepRun && endMs > freeFromMs) spare -= other.step.occupied
    }
}

/** Chooses the rooms of all pools and makes them count in each pass. */
internal class WideTaskRoom(
    private val loop: EventLoop,
    private val choice: WorkerChoice,
    private val log: DecisionLog,
) {
    private class PoolRooms {
        val byStep = HashMap<StepRun, List<WorkerRoom>>()
        var chosenAtMs = Long.MIN_VALUE / 2
        var loggedAtMs = Long.MIN_VALUE / 2
    }

    private val pools = HashMap<String, PoolRooms>()

    /**
     * Called when a pass over [capacity] has left tasks of [stepRun] without a worker. The candidates that follow are kept out of
     * its room; those that were served before are not, so that the order of candidates remains.
     */
    fun onUnplaced(
        stepRun: StepRun,
        capacity: PoolCapacity,
    ) {
        if (stepRun.step.isGang || stepRun.needsAdvice) return
        val sinceMs = stepRun.withoutRoomSinceMs ?: loop.nowMs.also { stepRun.withoutRoomSinceMs = it }
        if (loop.nowMs - sinceMs < MIN_WAIT_MS) return
        val rooms = pools.getOrPut(stepRun.job.queue.pool) { PoolRooms() }
        val kept = if (isDue(rooms, capacity)) choose(stepRun, capacity, rooms) else rooms.byStep[stepRun].orEmpty()
        for (room in kept) capacity.of(room.worker)?.let { if (it.room == null) it.room = room }
    }

    /** Called when all tasks of [stepRun] that may start have a worker. */
    fun onPlaced(stepRun: StepRun) {
        if (stepRun.withoutRoomSinceMs == null) return
        stepRun.withoutRoomSinceMs = null
        pools[stepRun.job.queue.pool]?.byStep?.remove(stepRun)
    }

    /** True in the passes that choose all rooms anew. Between them a room stays where it is, which also saves the search. */
    private fun isDue(
        rooms: PoolRooms,
        capacity: PoolCapacity,
    ): Boolean {
        if (capacity.choosesRooms) return true
        if (loop.nowMs - rooms.chosenAtMs < CHOICE_INTERVAL_MS) return false
        rooms.chosenAtMs = loop.nowMs
        rooms.byStep.clear()
        capacity.choosesRooms = true
        return true
    }

    private fun choose(
        stepRun: StepRun,
        capacity: PoolCapacity,
        rooms: PoolRooms,
    ): List<WorkerRoom> {
        val demand = stepRun.step.occupied
        val roomsLeft = capacity.workers.size / WORKERS_PER_ROOM + 1 - rooms.byStep.values.sumOf { it.size }
        if (roomsLeft <= 0) return emptyList()
        val waiting = stepRun.waiting.take(roomsLeft)
        val taken =
            rooms.byStep.values
                .flatten()
                .mapTo(HashSet()) { it.worker }
        val chosen = ArrayList<WorkerRoom>()
        for (task in waiting) {
            val best = soonest(task, capacity, taken) ?: break
            val freeFromMs = capacity.outlookOf(best).freeFromMs(demand)
            taken.add(best.worker)
            chosen.add(WorkerRoom(stepRun, best.worker, freeFromMs, capacity.outlookOf(best).freeAt(freeFromMs) - demand))
        }
        rooms.byStep[stepRun] = chosen
        if (chosen.isNotEmpty()) logRooms(stepRun, capacity, rooms, chosen)
        return chosen
    }

    private fun soonest(
        task: TaskRun,
        capacity: PoolCapacity,
        taken: Set<WorkerView>,
    ): WorkerCapacity? {
        var best: WorkerCapacity? = null
        var bestMs = loop.nowMs + MAX_AHEAD_MS
        for (worker in capacity.workers) {
            if (worker.worker in taken) continue
            val freeFromMs = capacity.outlookOf(worker).freeFromMs(task.stepRun.step.occupied)
            if (freeFromMs > bestMs || best != null && freeFromMs == bestMs || !choice.mayRunOn(task, worker, 0)) continue
            best = worker
            bestMs = freeFromMs
        }
        return best
    }

    /** Logs at most every [LOG_INTERVAL_MS] how much of the pool is free while the first such task of the pass fits nowhere. */
    private fun logRooms(
        stepRun: StepRun,
        capacity: PoolCapacity,
        rooms: PoolRooms,
        chosen: List<WorkerRoom>,
    ) {
        if (loop.nowMs - rooms.loggedAtMs < LOG_INTERVAL_MS) return
        rooms.loggedAtMs = loop.nowMs
        log.write(
            "room_kept",
            "pool",
            stepRun.job.queue.pool,
            "step",
            "${stepRun.job.id}.${stepRun.occurrence}.${stepRun.number}",
            "cpu",
            stepRun.step.occupied.cpuMilli,
            "memoryMb",
            stepRun.step.occupied.memoryMb,
            "waitedMs",
            loop.nowMs - (stepRun.withoutRoomSinceMs ?: loop.nowMs),
            "freeCpuMilli",
            capacity.workers.sumOf { it.free.cpuMilli },
            "freeMemoryMb",
            capacity.workers.sumOf { it.free.memoryMb },
            "workers",
            capacity.workers.size,
            "kept",
            chosen.joinToString(",") { it.worker.id },
            "freeInMs",
            chosen.first().freeFromMs - loop.nowMs,
        )
    }

    private companion object {
        /** Shorter waits mostly end with the next runs, so that room kept for them would only idle capacity. */
        const val MIN_WAIT_MS = 50L

        /** At most one worker in this many is kept, so that wrong forecasts of ends idle little capacity. */
        const val WORKERS_PER_ROOM = 8

        /** Rooms that are further ahead than the run time of a short task would mostly be chosen anew before. */
        const val MAX_AHEAD_MS = 1_500.0

        /** Time between two choices of rooms, each of which looks at the runs of all workers. */
        const val CHOICE_INTERVAL_MS = 100L
        const val LOG_INTERVAL_MS = 1_000L
    }
}
