/*
 * A pool whose workers are uneven: some are slow, fail what they run or do not answer starts, while their health looks good.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.runtimes.EndedRun
import io.corianderrock.jobs.runtimes.MeanRunTimes
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView
import io.corianderrock.jobs.workers.WorkerAvoidance
import io.corianderrock.jobs.workers.WorkerFailures
import io.corianderrock.jobs.workers.WorkerSpeeds
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import kotlin.random.Random

private const val RACK_SIZE = 6
private const val TASKS_AT_ONCE = 8
private const val TASK_MS = 1_000L
private const val STEP_MS = 100L
private const val WARM_UP_MS = 15_000L
private const val TAIL_RATIO = 0.03
private const val TAIL_FACTOR = 7
private const val FAILING_JOB_RATIO = 1.0 / 30
private const val JOB_TASKS = 8
private const val ATTEMPTS = 3

/** A pool under constant load, with the tail and the failing jobs that are usual at the customers. */
private class UnevenPool(
    seed: Int,
    workerCount: Int = 24,
    private val slowFactorOf: (Int) -> Int = { 1 },
    private val failureRatioOf: (Int) -> Double = { 0.0 },
    private val failingJobRatio: Double = FAILING_JOB_RATIO,
) {
    private class Run(
        val task: TaskRun,
        val durationMs: Long,
        val kind: EndKind,
    )

    private val random = Random(seed)
    private val time = SimTime()
    private val loop = SimLoop(time)
    val workers = List(workerCount, ::newWorker)
    val avoidedAtMs = LinkedHashMap<Int, Long>()
    private val startedAtMs = time.nowMs
    private val model = MeanRunTimes()
    private val avoidance = WorkerAvoidance(loop, { _, _ -> }) { workers }
    val failures = WorkerFailures(avoidance) { id -> workers.find { it.id == id } }
    private val speeds = WorkerSpeeds(avoidance, model)
    private val runs = workers.map { ArrayList<Run>() }
    private val retries = ArrayDeque<TaskRun>()
    private val failingJobs = HashSet<String>()
    private var job: JobRun = newJob(0)
    private var jobCount = 0
    private var nextTask = 0
    private var avoidedSteps = 0L
    private var steps = 0L
    var mostAvoided = 0
        private set

    /** Share of the workers' time in which they were avoided or on probation. */
    val avoidedRatio: Double get() = avoidedSteps.toDouble() / (steps * workers.size)

    private fun newWorker(index: Int): WorkerView {
        val labels = listOf("kind", "rack-${index / RACK_SIZE}")
        return WorkerView(WorkerEntry("w-$index", "w-$index", "pool", "dc", null, Demand(16_000, 32_000), labels, false, null, 0))
    }

    private fun newJob(number: Int): JobRun {
        val step = Step(JOB_TASKS, Demand(1_500, 100), TASK_MS)
        val id = "job$number"
        if (random.nextDouble() < failingJobRatio) failingJobs.add(id)
        val submission = JobSubmission(id, Queue("queue", "pool"), "spec", listOf(step))
        return JobRun(submission, isInherited = false, time.nowMs).also { it.addOccurrence(0, time.nowMs) }
    }

    /** Time from the warm-up, during which all workers are alike, until [index] was first avoided; null if it was not. */
    fun foundAfterMs(index: Int): Long? = avoidedAtMs[index]?.minus(startedAtMs + WARM_UP_MS)

    fun play(durationMs: Long): UnevenPool {
        val endMs = startedAtMs + WARM_UP_MS + durationMs
        while (time.nowMs < endMs) {
            time.runUntil(time.nowMs + STEP_MS)
            workers.indices.shuffled(random).forEach(::advance)
            val avoided = workers.count { time.nowMs < it.record.probationEndsAtMs }
            mostAvoided = maxOf(mostAvoided, avoided)
            avoidedSteps += avoided
            steps++
        }
        return this
    }

    private fun advance(index: Int) {
        val worker = workers[index]
        for (run in runs[index].toList()) {
            val elapsedMs = time.nowMs - run.task.startedAtMs
            if (elapsedMs < run.durationMs) {
                speeds.onProgress(worker, run.task, (elapsedMs * 100 / run.durationMs).toInt())
                continue
            }
            runs[index].remove(run)
            end(worker, run)
        }
        val record = worker.record
        if (record.isAvoided(time.nowMs)) avoidedAtMs.putIfAbsent(index, time.nowMs)
        val places =
            if (record.isAvoided(time.nowMs)) {
                0
            } else if (record.isOnProbation(time.nowMs)) {
                1
            } else {
                TASKS_AT_ONCE
            }
        while (runs[index].size < places) {
            val retried = retries.firstOrNull { it.lastFailedWorkerId != worker.id }?.also(retries::remove)
            start(index, retried ?: newTask())
        }
    }

    private fun newTask(): TaskRun {
        if (nextTask == JOB_TASKS) {
            job = newJob(++jobCount)
            nextTask = 0
        }
        return job.tasks.toList()[nextTask++]
    }

    private fun start(
        index: Int,
        task: TaskRun,
    ) {
        task.phase = TaskPhase.RUNNING
        task.startedAtMs = time.nowMs
        task.runNumber++
        val isUneven = time.nowMs >= startedAtMs + WARM_UP_MS
        val slowFactor = if (isUneven) slowFactorOf(index) else 1
        val tailFactor = if (random.nextDouble() < TAIL_RATIO) TAIL_FACTOR else 1
        val isFailing = isUneven && random.nextDouble() < failureRatioOf(index) || task.id.jobId in failingJobs
        val durationMs = (TASK_MS * random.nextDouble(0.5, 1.6) * slowFactor * tailFactor).toLong()
        runs[index].add(Run(task, durationMs, if (isFailing) EndKind.FAILED else EndKind.DONE))
    }

    private fun end(
        worker: WorkerView,
        run: Run,
    ) {
        val tookMs = time.nowMs - run.task.startedAtMs
        if (run.kind == EndKind.DONE) speeds.onDone(worker, run.task, tookMs)
        model.observe(EndedRun(run.task.stepRun, worker, tookMs, run.kind))
        failures.onEnded(worker, run.task, run.kind)
        if (run.kind == EndKind.DONE) return
        run.task.lastFailedWorkerId = worker.id
        if (run.task.addFailedRun(run.task.runNumber) && run.task.failedRuns.size < ATTEMPTS) retries.add(run.task)
    }
}

private val SEEDS = 1..20

internal class UnevenWorkersTest :
    DescribeSpec({
        describe("a worker that is slow") {
            // Guards against a worker that is slow for 6 to 8 s and is found only when its first runs end.
            it("four times is found before its first runs end") {
                for (seed in SEEDS) {
                    val pool = UnevenPool(seed, slowFactorOf = { if (it == 0) 4 else 1 }).play(8_000)
                    pool.foundAfterMs(0).shouldNotBeNull() shouldBeLessThan 4 * TASK_MS
                }
            }
        }
        describe("a worker that fails with good health") {
            for ((ratio, boundMs) in listOf(1.0 to 5_000L, 0.5 to 8_000L, 0.3 to 15_000L)) {
                // Guards against a worker that is not found because any success clears its failures.
                it("$ratio of what it starts is found within $boundMs ms") {
                    for (seed in SEEDS) {
                        val pool = UnevenPool(seed, failureRatioOf = { if (it == 0) ratio else 0.0 }).play(20_000)
                        pool.foundAfterMs(0).shouldNotBeNull() shouldBeLessThan boundMs
                    }
                }
            }
            // Guards against a worker that answers holds and no start, and gets one start after the other.
            it("is found by three starts without an answer") {
                val pool = UnevenPool(1)
                repeat(3) { pool.failures.onStartUnanswered(pool.workers[0]) }
                (pool.workers[0].record.avoidedUntilMs > 0).shouldBeTrue()
            }
        }
        describe("an honest pool") {
            // Guards against capacity that is lost to workers avoided by chance.
            it("with a tail and failing jobs keeps its workers in use") {
                SEEDS.map { UnevenPool(it).play(60_000).avoidedRatio }.average() shouldBeLessThan 0.01
            }
            it("in which all jobs fail avoids no more than a third") {
                for (seed in SEEDS) UnevenPool(seed, failingJobRatio = 0.95).play(20_000).mostAvoided shouldBeLessThanOrEqual 8
            }
            it("in which all workers turn slow avoids no more than a third") {
                for (seed in SEEDS) UnevenPool(seed, slowFactorOf = { 5 }).play(20_000).mostAvoided shouldBeLessThanOrEqual 8
            }
        }
        describe("a rack that is slow") {
            // Guards against the workers of a rack that are found one by one, each by several slow runs.
            it("is found with all its workers") {
                for (seed in SEEDS) {
                    val pool = UnevenPool(seed, slowFactorOf = { if (it < RACK_SIZE) 5 else 1 }).play(6_000)
                    (0 until RACK_SIZE).filter { (pool.foundAfterMs(it) ?: Long.MAX_VALUE) > 4 * TASK_MS }.shouldBeEmpty()
                }
            }
        }
        describe("a new incarnation") {
            it("has no record of the last one") {
                val pool = UnevenPool(1, failureRatioOf = { if (it == 0) 1.0 else 0.0 }).play(6_000)
                pool.avoidedAtMs.keys shouldContain 0
                pool.workers[0].beginIncarnation(bornWallMs = 1, nowMs = 1, fence = 1)
                pool.workers[0].record.probationEndsAtMs shouldBeLessThan 1L
            }
        }
    })
