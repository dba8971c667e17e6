/*
 * Synthetic jobs of the form that deployments see: tasks share the base work of their step with a log-normal spread, three in a
 * hundred take seven times as long, and the declared estimate is off by a factor that the job's steps share.
 */
package io.corianderrock.jobs.runtimes

import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.OccurrenceRun
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.StepRun
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.WorkerView
import java.util.Random
import kotlin.math.exp
import kotlin.math.ln

internal val WORKER = worker("rack-1")

internal fun worker(rack: String): WorkerView =
    WorkerView(WorkerEntry(rack, "a", "p", "d", null, Demand(64_000, 128_000), listOf("kind", rack), false, null, 0))

internal class SyntheticRuns(
    seed: Long,
    private val estimateError: Double = 0.5,
    private val queue: String = "q",
    private val account: String? = null,
    private val tailShare: Double = 0.03,
    private val preferredRack: String? = null,
) {
    private val random = Random(seed)
    private var jobCount = 0
    var medianMs = 1_000.0

    /** Of two classes of equal share, the second takes this many times as long. */
    var secondClassFactor = 1.0

    /** A job of two steps of eight tasks, with the true median run times of its steps. */
    fun job(): Pair<JobRun, List<Double>> {
        val error = random.nextGaussian() * estimateError + QUEUE_BIAS
        val factor = if (random.nextBoolean()) secondClassFactor else 1.0
        val bases = List(2) { medianMs * factor * exp(random.nextGaussian() * STEP_SPREAD) }
        val steps =
            bases.mapIndexed { index, base ->
                Step(8, Demand(1_000), (base * exp(error)).toLong(), if (index == 0) listOf() else listOf(0), preferredRack = preferredRack)
            }
        val job = JobRun(JobSubmission("j${jobCount++}", Queue(queue, "p"), "s", steps, account = account), false, 0)
        job.addOccurrence(0, 0)
        return job to bases
    }

    fun taskMs(baseMs: Double): Long {
        val tail = if (random.nextDouble() < tailShare) TAIL_FACTOR else 1.0
        return (baseMs * tail * exp(random.nextGaussian() * TASK_SPREAD)).toLong()
    }

    /** Lets [model] observe all runs of [jobCount] jobs; [factor] lengthens the run at an index within its step. */
    fun teach(
        model: RunTimeModel,
        jobCount: Int,
        worker: (Int) -> WorkerView = { WORKER },
        factor: (Int) -> Double = { 1.0 },
    ) = repeat(jobCount) {
        val (job, bases) = job()
        for (step in stepsOf(job)) {
            start(step)
            step.tasks
                .mapIndexed { index, _ -> index to (taskMs(bases[step.number]) * factor(index)).toLong() }
                .sortedBy { it.second }
                .forEach { (index, ms) -> end(model, step, index, ms, worker(index)) }
        }
    }

    private companion object {
        const val QUEUE_BIAS = -0.3
        const val STEP_SPREAD = 0.5
        const val TASK_SPREAD = 0.5
        const val TAIL_FACTOR = 7.0
    }
}

internal fun stepsOf(job: JobRun): List<StepRun> = job.occurrences.values.flatMap(OccurrenceRun::steps)

internal fun start(step: StepRun) = step.tasks.forEach { it.phase = TaskPhase.RUNNING }

internal fun end(
    model: RunTimeModel,
    step: StepRun,
    index: Int,
    tookMs: Long,
    worker: WorkerView = WORKER,
    kind: EndKind = EndKind.DONE,
) {
    model.observe(EndedRun(step, worker, tookMs, kind))
    step.tasks[index].phase = if (kind == EndKind.DONE) TaskPhase.DONE else TaskPhase.WAITING
}

internal fun logRatio(
    predictedMs: Double,
    actualMs: Double,
): Double = ln(predictedMs / actualMs)
