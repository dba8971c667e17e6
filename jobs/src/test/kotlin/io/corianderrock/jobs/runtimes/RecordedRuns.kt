/*
 * Replays the runs of a recorded log: the lines task_started and task_ended of all owners, in the order of their times, with one
 * model for the whole day. Logs without the declared estimates can be replayed too, with estimates of zero.
 */
package io.corianderrock.jobs.runtimes

import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.StepRun
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.WorkerView
import kotlin.math.abs

private const val NEAR = "near"

/** A line of the log: the time in seconds, the entry that wrote it, and its fields. */
private class LogLine(
    val atMs: Double,
    val entry: String,
    private val fields: Map<String, String>,
) {
    val event = fields["event"]

    fun text(key: String): String? = fields[key]

    fun number(key: String): Long? = fields[key]?.toLongOrNull()

    /** Job, occurrence, step and index of the task. */
    val task: List<String> = fields["task"].orEmpty().split('.')
    val run: Pair<String, String> = fields["task"].orEmpty() to fields["run"].orEmpty()
    val isOfTask: Boolean get() = task.size == TASK_PARTS

    companion object {
        private const val TASK_PARTS = 4
        private const val MS_PER_S = 1_000.0
        private val FIELD = Regex("(\\w+)=(\\S*)")

        fun parse(text: String): LogLine? {
            val parts = text.trim().split(' ', limit = 3)
            val atS = parts[0].toDoubleOrNull() ?: return null
            return LogLine(atS * MS_PER_S, parts[1], FIELD.findAll(parts[2]).associate { it.groupValues[1] to it.groupValues[2] })
        }
    }
}

/** The start of a run on a worker, or its end. */
private sealed interface Recorded {
    val step: String
    val index: Int

    class Started(
        override val step: String,
        override val index: Int,
    ) : Recorded

    class Ended(
        override val step: String,
        override val index: Int,
        val worker: String,
        val isRemote: Boolean,
        val tookMs: Long,
        val kind: EndKind,
        val isWhole: Boolean,
    ) : Recorded
}

/** The recorded runs of one log. */
internal class RecordedRuns(
    lines: Sequence<String>,
) {
    private class StepFacts(
        val job: String,
        val number: Int,
    ) {
        var count = 0
        var estimateMs = 0L
        var queue: String? = null
        var account: String? = null

        /** Run times of the tasks that ended by themselves on workers near the step's data. */
        val nearMs = ArrayList<Long>()
    }

    private val factsByStep = HashMap<String, StepFacts>()
    private val events = ArrayList<Recorded>()

    /** Number of runs that ended by themselves; their whole length is known. */
    val doneCount: Int get() = events.count { it is Recorded.Ended && it.kind == EndKind.DONE && it.isWhole }

    init {
        val starts = HashMap<Pair<String, String>, LogLine>()
        val queueByJob = HashMap<String, String>()
        for (line in lines.mapNotNull(LogLine::parse).toList().sortedBy { it.atMs }) {
            when (line.event) {
                "task_started" -> if (line.isOfTask) onStarted(line).also { starts[line.run] = line }
                "task_ended" -> starts.remove(line.run)?.let { onEnded(it, line) }
                "job_ended", "run_time_judged" -> queueByJob[line.text("job").orEmpty()] = line.text("queue").orEmpty()
            }
        }
        for (facts in factsByStep.values) if (facts.queue == null) facts.queue = queueByJob[facts.job]
        events.removeAll { factsByStep.getValue(it.step).queue == null }
    }

    private fun stepKey(line: LogLine): String = line.task.dropLast(1).joinToString(".")

    private fun onStarted(line: LogLine) {
        val index = line.task[3].toInt()
        val facts = factsByStep.getOrPut(stepKey(line)) { StepFacts(line.task[0], line.task[2].toInt()) }
        facts.count = maxOf(facts.count, line.number("tasks")?.toInt() ?: 0, index + 1)
        facts.estimateMs = line.number("estimateMs") ?: 0
        line.text("queue")?.let { facts.queue = it }
        facts.account = line.text("account")?.ifEmpty { null }
        events.add(Recorded.Started(stepKey(line), index))
    }

    private fun onEnded(
        start: LogLine,
        end: LogLine,
    ) {
        val seenMs = if (start.entry == end.entry) (end.atMs - start.atMs).toLong() else null
        val tookMs = end.number("ranMs") ?: end.number("ranAtLeastMs") ?: seenMs ?: return
        val isWhole = end.number("ranMs") != null || end.number("ranAtLeastMs") == null
        val kind = EndKind.valueOf(end.text("outcome").orEmpty())
        val isRemote = start.text("isRemote") == "true"
        if (kind == EndKind.DONE && isWhole && !isRemote) factsByStep.getValue(stepKey(start)).nearMs.add(tookMs)
        val worker = end.text("worker").orEmpty()
        events.add(Recorded.Ended(stepKey(start), start.task[3].toInt(), worker, isRemote, tookMs, kind, isWhole))
    }

    /** Replays the runs with [model], which learns from all of them; judges the steps that begin after [learnedShare] of the events. */
    fun compare(
        model: RunTimeModel,
        learnedShare: Double = 0.5,
    ): RunTimeErrors {
        val replay = Replay(model)
        for ((position, event) in events.withIndex()) {
            val step = replay.stepOf(event.step)
            when (event) {
                is Recorded.Started -> replay.onStarted(step, event, isJudged = position >= learnedShare * events.size)
                is Recorded.Ended -> replay.onEnded(step, event)
            }
        }
        return replay.judgement.errors()
    }

    private inner class Replay(
        private val model: RunTimeModel,
    ) {
        val judgement = Judgement()
        private val steps = HashMap<String, StepRun>()
        private val jobs = HashMap<String, JobRun>()
        private val workers = HashMap<Pair<String, Boolean>, WorkerView>()
        private val begun = HashSet<String>()
        private val judged = HashSet<String>()

        fun stepOf(key: String): StepRun =
            steps.getOrPut(key) {
                val facts = factsByStep.getValue(key)
                val occurrence = key.substringBeforeLast('.')
                jobs
                    .getOrPut(occurrence) { jobOf(occurrence) }
                    .occurrences
                    .getValue(0)
                    .steps[facts.number]
            }

        private fun jobOf(occurrence: String): JobRun {
            val ofJob = factsByStep.filterKeys { it.substringBeforeLast('.') == occurrence }.values.associateBy { it.number }
            val any = ofJob.values.first()
            val steps =
                List(ofJob.keys.max() + 1) { number ->
                    val facts = ofJob[number]
                    Step(facts?.count ?: 1, Demand(1_000), facts?.estimateMs ?: 0, preferredRack = NEAR)
                }
            val submission = JobSubmission(occurrence, Queue(any.queue.orEmpty(), "p"), "s", steps, account = any.account)
            return JobRun(submission, isInherited = false, acceptedAtMs = 0).also { it.addOccurrence(0, 0) }
        }

        fun onStarted(
            step: StepRun,
            event: Recorded.Started,
            isJudged: Boolean,
        ) {
            val nearMs = factsByStep.getValue(event.step).nearMs
            if (begun.add(event.step) && isJudged && nearMs.size >= MIN_JUDGED_RUNS) {
                judged.add(event.step)
                judgement.atStart(model, step, nearMs)
            }
            step.tasks[event.index].phase = TaskPhase.RUNNING
        }

        fun onEnded(
            step: StepRun,
            event: Recorded.Ended,
        ) {
            val labels = if (event.isRemote) listOf() else listOf(NEAR)
            val worker =
                workers.getOrPut(event.worker to event.isRemote) {
                    WorkerView(WorkerEntry(event.worker, "a", "p", "d", null, Demand(), labels, false, null, 0))
                }
            model.observe(EndedRun(step, worker, event.tookMs, event.kind, event.isWhole))
            step.tasks[event.index].phase = if (event.kind == EndKind.DONE) TaskPhase.DONE else TaskPhase.WAITING
            val nearMs = factsByStep.getValue(event.step).nearMs
            if (event.step in judged && step.doneCount >= (nearMs.size + 1) / 2) {
                judged.remove(event.step)
                judgement.atHalf(model, step, nearMs)
            }
        }
    }

    private companion object {
        /** The median of fewer runs is no true median of their step. */
        const val MIN_JUDGED_RUNS = 4
    }
}

/** Sums up the errors of the judged steps. The runs at half include those that the model has seen. */
private class Judgement {
    private val atStart = ArrayList<Double>()
    private val atHalf = ArrayList<Double>()
    private var loss = 0.0
    private var beyond = 0
    private var beyondAtHalf = 0
    private var runCount = 0
    private var halfRunCount = 0
    private var expectedMs = 0.0
    private var ranMs = 0.0

    private fun medianOf(runsMs: List<Long>): Double = runsMs.sorted().let { (it[it.size / 2] + it[(it.size - 1) / 2]) / 2.0 }

    fun atStart(
        model: RunTimeModel,
        step: StepRun,
        runsMs: List<Long>,
    ) {
        atStart.add(abs(logRatio(model.quantileMs(step, 0.5), medianOf(runsMs))))
        val upperMs = model.quantileMs(step, 0.9)
        for (runMs in runsMs) {
            val tooShort = logRatio(maxOf(1, runMs).toDouble(), upperMs)
            loss += if (tooShort > 0) 0.9 * tooShort else -0.1 * tooShort
            if (tooShort > 0) beyond++
        }
        runCount += runsMs.size
        expectedMs += model.expectedMs(step) * runsMs.size
        ranMs += runsMs.sum()
    }

    fun atHalf(
        model: RunTimeModel,
        step: StepRun,
        runsMs: List<Long>,
    ) {
        atHalf.add(abs(logRatio(model.quantileMs(step, 0.5), medianOf(runsMs))))
        val upperMs = model.quantileMs(step, 0.9)
        beyondAtHalf += runsMs.count { it > upperMs }
        halfRunCount += runsMs.size
    }

    fun errors(): RunTimeErrors =
        RunTimeErrors(
            atStart.average(),
            atHalf.average(),
            loss / runCount,
            beyond.toDouble() / runCount,
            beyondAtHalf.toDouble() / halfRunCount,
            expectedMs / ranMs,
        )
}
