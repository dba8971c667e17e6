/*
 * A stand-in worker on which best-effort tasks raise the tails of tasks that serve, by amounts that differ by image and change within
 * seconds. Pace orders take effect after 100 ms; its lists give the mean of the tails over the last half second, within 5 %.
 */
package io.corianderrock.jobs.sharing

import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.ports.EndRow
import io.corianderrock.jobs.ports.PaceOrder
import io.corianderrock.jobs.ports.RunningRow
import io.corianderrock.jobs.ports.StartOrder
import io.corianderrock.jobs.ports.WorkerAnswer
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.TaskId
import io.corianderrock.jobs.world.SimTime
import kotlin.random.Random

/** How much a task raises the tail of another, as a part of its target at full pace, by the images of both. */
internal class Disturbance(
    private val time: SimTime,
    private val random: Random,
    private val parts: List<Double>,
) {
    private class Level(
        val part: Double,
        val untilMs: Long,
    )

    private val levels = HashMap<Pair<String?, String?>, Level>()

    fun part(
        serving: String?,
        filling: String?,
    ): Double {
        val current = levels[serving to filling]
        if (current != null && time.nowMs < current.untilMs) return current.part
        val next = Level(parts[random.nextInt(parts.size)], time.nowMs + random.nextLong(2_000, 6_000))
        levels[serving to filling] = next
        return next.part
    }

    companion object {
        /** From hardly noticeable to well over the target. */
        val DEFAULT_PARTS = listOf(0.05, 0.2, 0.5, 0.9, 1.6)
    }
}

internal class DisturbedWorker(
    val entry: WorkerEntry,
    private val time: SimTime,
    private val random: Random,
    private val disturbance: Disturbance,
) {
    private class Run(
        val number: Long,
        val step: Step,
        val startedAtMs: Long,
        var leftMs: Double,
    ) {
        var percent = 100
        val tails = ArrayDeque<Double>()
        var overSinceMs: Long? = null
    }

    private val runs = LinkedHashMap<TaskId, Run>()
    val ended = ArrayList<EndRow>()

    /** Own load of the tasks that serve, as a part of their target, until the loop time after it. */
    private var ownLoad = 0.3
    private var ownLoadUntilMs = 0L

    /** The longest time for which a tail was above its target without a break. */
    var longestOverMs = 0L
        private set
    val clockMs: Long get() = time.nowMs
    val tasks: Set<TaskId> get() = runs.keys

    fun percentOf(task: TaskId): Int? = runs[task]?.percent

    fun hasServing(): Boolean = runs.values.any { it.step.isServing }

    fun start(
        order: StartOrder,
        step: Step,
    ) {
        runs[order.task] = Run(order.runNumber, step, time.nowMs, step.estimateMs.toDouble())
    }

    fun pace(order: PaceOrder) {
        time.after(PACE_MS) { runs[order.task]?.takeIf { it.number == order.runNumber }?.percent = order.percent }
    }

    fun end(
        task: TaskId,
        kind: EndKind,
    ) {
        val run = runs.remove(task) ?: return
        ended.add(EndRow(ended.size + 1L, task, run.number, kind, ""))
    }

    /** Lets [STEP_MS] pass. */
    fun step() {
        if (time.nowMs >= ownLoadUntilMs) {
            ownLoad = random.nextDouble(0.15, 0.45)
            ownLoadUntilMs = time.nowMs + random.nextLong(2_000, 6_000)
        }
        val filling = runs.values.filter { !it.step.isServing }
        for (run in runs.values) {
            val targetMs = run.step.responseTargetMs ?: continue
            val part = ownLoad + filling.sumOf { it.percent / 100.0 * disturbance.part(run.step.image, it.step.image) }
            run.tails.addLast(part * targetMs)
            if (run.tails.size > WINDOW_STEPS) run.tails.removeFirst()
            if (part <= 1) {
                run.overSinceMs = null
            } else {
                val sinceMs = run.overSinceMs ?: time.nowMs.also { run.overSinceMs = it }
                longestOverMs = maxOf(longestOverMs, time.nowMs + STEP_MS - sinceMs)
            }
        }
        for ((task, run) in runs.entries.toList()) {
            if (run.step.isLongRunning) continue
            run.leftMs -= STEP_MS * run.percent / 100.0
            if (run.leftMs <= 0) end(task, EndKind.DONE)
        }
    }

    fun lists(acknowledgedEnd: Long): WorkerAnswer.Listed {
        val rows =
            runs.map { (task, run) ->
                val isStarting = run.step.isLongRunning && time.nowMs - run.startedAtMs < STARTUP_MS
                val load = if (run.step.isServing) run.tails.average() * random.nextDouble(0.95, 1.05) else run.percent * 10.0
                RunningRow(task, run.number, "", if (isStarting) 10 else 100, load.toLong())
            }
        return WorkerAnswer.Listed(clockMs, entry.bornWallMs, rows, ended.filter { it.number > acknowledgedEnd })
    }

    companion object {
        const val STEP_MS = 10L
        private const val PACE_MS = 100L
        private const val WINDOW_STEPS = 50
        private const val STARTUP_MS = 300L
    }
}
