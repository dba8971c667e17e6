/*
 * Decides which waiting task starts where. A pass orders all ready steps and gives each task the fullest worker that
 * still has room for it, so that other workers become empty and can be given back.
 */
package io.corianderrock.jobs.placement

import io.corianderrock.jobs.ports.AdviceService
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.runs.JobBook
import io.corianderrock.jobs.runs.WorkerDriver
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.StepRun
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView

internal class Placer(
    private val loop: EventLoop,
    private val book: JobBook,
    private val driver: WorkerDriver,
    private val runTimes: RunTimes,
    private val advice: AdviceService,
    private val log: DecisionLog,
    private val mayOrder: () -> Boolean,
) {
    private class Room(
        val worker: WorkerView,
        var free: Demand,
        var hasServing: Boolean,
        var hasFilling: Boolean,
    )

    private var explainedAtMs = 0L

    /** Since when a task has found no room, by pool. */
    private val stuckSinceMs = HashMap<String, Long>()

    private class Candidate(
        val stepRun: StepRun,
        val isLate: Boolean,
        val work: Double,
    )

    /** How long some task of [pool] has found no worker with room. */
    fun stuckForMs(pool: String): Long = stuckSinceMs[pool]?.let { loop.nowMs - it } ?: 0

    /** Starts what can start now. */
    fun pass() {
        if (!mayOrder()) return
        val ready = readySteps()
        if (ready.isEmpty()) {
            stuckSinceMs.clear()
            return
        }
        val rooms = HashMap<String, List<Room>>()
        val stuck = HashSet<String>()
        for (candidate in ready) {
            val stepRun = candidate.stepRun
            val pool = stepRun.job.queue.pool
            if (!place(stepRun, rooms.getOrPut(pool) { roomsOf(pool) })) stuck.add(pool)
        }
        stuckSinceMs.keys.retainAll(stuck)
        for (pool in stuck) stuckSinceMs.putIfAbsent(pool, loop.nowMs)
        explainWaiting(ready, rooms)
    }

    /** Logs now and then why the oldest waiting tasks do not run. */
    private fun explainWaiting(
        ready: List<Candidate>,
        rooms: Map<String, List<Room>>,
    ) {
        if (loop.nowMs - explainedAtMs < EXPLAIN_INTERVAL_MS) return
        explainedAtMs = loop.nowMs
        val waiting = ready.mapNotNull { candidate -> candidate.stepRun.tasks.firstOrNull { it.phase == TaskPhase.WAITING } }
        val longest = waiting.filter { loop.nowMs - it.waitingSinceMs > EXPLAIN_AFTER_MS }.sortedBy { it.waitingSinceMs }
        for (task in longest.take(MAX_EXPLAINED)) explain(task, rooms[task.stepRun.job.queue.pool].orEmpty(), waiting.size)
    }

    private fun explain(
        task: TaskRun,
        rooms: List<Room>,
        waitingCount: Int,
    ) {
        val pool = task.stepRun.job.queue.pool
        val inPool = driver.workers.filter { it.entry.pool == pool && it.isListed }
        log.write(
            "task_waits",
            "task",
            task.id,
            "waitedMs",
            loop.nowMs - task.waitingSinceMs,
            "steps",
            waitingCount,
            "pool",
            pool,
            "workers",
            inPool.size,
            "usable",
            rooms.size,
            "withRoom",
            rooms.count {
                task.stepRun.step.occupied
                    .fitsIn(it.free)
            },
            "allowed",
            rooms.count { fits(task, it, 0) },
            "setAside",
            inPool.count { it.isSetAside },
            "avoided",
            inPool.count { loop.nowMs < it.avoidUntilMs },
            "silent",
            inPool.count { it.consecutiveLostHolds > 0 },
            "strangers",
            inPool.count { it.strangers.isNotEmpty() },
            "cpu",
            task.stepRun.step.occupied.cpuMilli,
            "memoryMb",
            task.stepRun.step.occupied.memoryMb,
            "maxPerWorker",
            task.stepRun.step.maxPerWorker,
        )
    }

    private fun readySteps(): List<Candidate> {
        val ready = ArrayList<Candidate>()
        for (job in book.live) {
            if (job.isInherited && driver.isSettling(job.queue.pool)) continue
            for (occurrence in job.occurrences.values) {
                for (run in occurrence.steps) {
                    if (run.isDone || !occurrence.isReady(run)) continue
                    if (run.waitingCount == 0) continue
                    val isLate = !job.isLongRunning && loop.nowMs > runTimes.objectiveAtMs(job)
                    ready.add(Candidate(run, isLate, runTimes.remainingWork(job)))
                }
            }
        }
        return ready.sortedWith(ORDER)
    }

    private fun roomsOf(pool: String): List<Room> =
        driver.workers
            .filter { it.entry.pool == pool && isUsable(it) }
            .map { worker ->
                val steps = worker.runs.values.map { it.stepRun.step }
                Room(worker, worker.free, steps.any { it.responseTargetMs != null }, steps.any { it.isFilling })
            }

    private fun isUsable(worker: WorkerView): Boolean =
        worker.isListed &&
            worker.isContacted &&
            worker.drainingSinceMs == null &&
            !worker.isSetAside &&
            worker.strangers.isEmpty() &&
            worker.consecutiveLostHolds == 0 &&
            loop.nowMs >= worker.avoidUntilMs

    /** Places the waiting tasks of [stepRun]; false when one of them found no room. */
    private fun place(
        stepRun: StepRun,
        rooms: List<Room>,
    ): Boolean {
        if (!mayFit(stepRun.step, rooms)) return false
        if (stepRun.job.queue.needsAdvice && !hasTickets(stepRun, rooms)) return true
        if (stepRun.step.isGang) return placeGang(stepRun, rooms)
        for (task in stepRun.tasks.filter { it.phase == TaskPhase.WAITING }) {
            val room = best(task, rooms) ?: return false
            take(task, room)
        }
        return true
    }

    /** A cheap look, since in a backlog most steps fit nowhere. */
    private fun mayFit(
        step: Step,
        rooms: List<Room>,
    ): Boolean = rooms.any { step.occupied.fitsIn(it.free) }

    /** A gang starts as a whole, under one run number, or not at all. */
    private fun placeGang(
        stepRun: StepRun,
        rooms: List<Room>,
    ): Boolean {
        if (stepRun.waitingCount < stepRun.step.count) return true
        val before = rooms.associateWith { it.free }
        val chosen = ArrayList<Room>()
        for (task in stepRun.tasks) {
            val room = best(task, rooms, chosen.groupingBy { it }.eachCount()) ?: break
            room.free -= stepRun.step.occupied
            chosen.add(room)
        }
        before.forEach { (room, free) -> room.free = free }
        if (chosen.size < stepRun.tasks.size) return false
        val runNumber = stepRun.tasks.maxOf { it.lastRunNumber }
        val checkpoint = stepRun.tasks.firstNotNullOfOrNull { it.checkpoint }
        for ((task, room) in stepRun.tasks.zip(chosen)) {
            task.lastRunNumber = runNumber
            task.checkpoint = checkpoint
            take(task, room)
        }
        return true
    }

    private fun take(
        task: TaskRun,
        room: Room,
    ) {
        val step = task.stepRun.step
        room.free -= step.occupied
        room.hasServing = room.hasServing || step.responseTargetMs != null
        room.hasFilling = room.hasFilling || step.isFilling
        driver.start(task, room.worker)
    }

    private fun best(
        task: TaskRun,
        rooms: List<Room>,
        planned: Map<Room, Int> = emptyMap(),
    ): Room? {
        val step = task.stepRun.step
        val racks = if (step.isRackSensitive) racksOf(task.stepRun) else emptySet()
        return rooms
            .filter { fits(task, it, planned[it] ?: 0) }
            .minByOrNull { cost(task, step, it, racks) }
    }

    private fun fits(
        task: TaskRun,
        room: Room,
        plannedCount: Int,
    ): Boolean {
        val step = task.stepRun.step
        if (!step.occupied.fitsIn(room.free)) return false
        if (step.requiredLabel != null && step.requiredLabel !in room.worker.entry.labels) return false
        // A filling task would disturb a serving one on the same worker.
        if (step.isFilling && room.hasServing || step.responseTargetMs != null && room.hasFilling) return false
        if (task.stepRun.job.queue.needsAdvice && room.worker.id !in task.stepRun.tickets) return false
        val max = step.maxPerWorker ?: return true
        return task.stepRun.taskCountOn(room.worker) + plannedCount < max
    }

    private fun cost(
        task: TaskRun,
        step: Step,
        room: Room,
        racks: Set<String>,
    ): Double {
        val left = room.free - step.occupied
        val capacity = room.worker.entry.capacity
        var cost = left.cpuMilli.toDouble() / maxOf(1, capacity.cpuMilli) + left.memoryMb.toDouble() / maxOf(1, capacity.memoryMb)
        if (step.preferredRack != null && step.preferredRack !in room.worker.entry.labels) cost += REMOTE_COST
        if (racks.isNotEmpty() &&
            room.worker.entry.labels
                .none { it in racks }
        ) {
            cost += REMOTE_COST
        }
        if (task.lastFailedWorkerId == room.worker.id) cost += FAILED_THERE_COST
        return cost
    }

    private fun racksOf(stepRun: StepRun): Set<String> =
        stepRun.tasks
            .mapNotNull { it.worker }
            .flatMap { it.entry.labels.drop(1) }
            .toSet()

    private fun hasTickets(
        stepRun: StepRun,
        rooms: List<Room>,
    ): Boolean {
        if (loop.nowMs < stepRun.ticketsExpireAtMs) return true
        if (stepRun.isAskingAdvice || rooms.isEmpty()) return false
        stepRun.isAskingAdvice = true
        val name = "${stepRun.job.id}.${stepRun.occurrence}.${stepRun.number}"
        val sentAtMs = loop.nowMs
        advice.ask(name, rooms.take(MAX_ADVISED_WORKERS).map { it.worker.id }) { answer ->
            stepRun.isAskingAdvice = false
            val granted = answer.granted
            log.write("advice", "step", name, "asked", rooms.size, "granted", granted?.size, "tookMs", loop.nowMs - sentAtMs)
            if (granted != null) {
                stepRun.tickets = granted.associate { it.workerId to it.ticket }
                stepRun.ticketsExpireAtMs = sentAtMs + answer.validForMs - TICKET_SLACK_MS
            }
        }
        return false
    }

    private companion object {
        /** How often waiting tasks are explained, after how long, and how many at once. */
        const val EXPLAIN_INTERVAL_MS = 1_000L
        const val EXPLAIN_AFTER_MS = 1_000L
        const val MAX_EXPLAINED = 3

        /** Tasks that last first, then by priority; late jobs after those that can meet their objective; then the smallest. */
        val ORDER: Comparator<Candidate> =
            compareBy<Candidate> { !it.stepRun.job.isLongRunning }
                .thenBy { it.isLate }
                .thenBy { it.stepRun.job.queue.priority }
                .thenBy { it.work }

        /** Above any difference in room: a remote run takes 1.5 to 2 times as long. */
        const val REMOTE_COST = 4.0

        /** Above any difference in room: the worker may have been the cause of the failure. */
        const val FAILED_THERE_COST = 3.0

        /** Workers named in one call for advice; each costs a period of the policy service. */
        const val MAX_ADVISED_WORKERS = 30

        /** Tickets are not used in the last part of their validity. */
        const val TICKET_SLACK_MS = 300L
    }
}
