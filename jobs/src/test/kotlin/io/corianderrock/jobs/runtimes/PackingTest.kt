/*
 * Placement by when the other runs of a worker are expected to end.
 */
package io.corianderrock.jobs.runtimes

import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.placement.Placer
import io.corianderrock.jobs.placement.RunTimeEstimator
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.HoldOrder
import io.corianderrock.jobs.ports.PaceOrder
import io.corianderrock.jobs.ports.StartOrder
import io.corianderrock.jobs.ports.StopOrder
import io.corianderrock.jobs.ports.WorkerAnswer
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.ports.WorkerLink
import io.corianderrock.jobs.runs.Committer
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.runs.WorkerDriver
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.StepRun
import io.corianderrock.jobs.state.WorkerView
import io.corianderrock.jobs.world.SilentTables
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe

private fun stepOf(medianMs: Double): StepRun = stepsOf(SyntheticRuns(1).also { it.medianMs = medianMs }.job().first).first()

private fun WorkerView.occupy(
    step: StepRun,
    index: Int,
    startedAtMs: Long,
) = addRun(step.tasks[index].also { it.startedAtMs = startedAtMs })

internal class PackingTest :
    DescribeSpec({
        val estimator = RunTimeEstimator(LearnedRunTimes(), predictsEnds = true)
        describe("a worker with a long run beside short ones") {
            // Guards against an end by the sum or by the last start, neither of which is when the instance can be returned.
            it("empties when the long run ends") {
                val worker = worker("rack-1")
                val long = stepOf(20_000.0)
                worker.occupy(long, 0, startedAtMs = 1_000)
                worker.occupy(stepOf(100.0), 1, startedAtMs = 5_000)
                estimator.lastEndMs(worker, 6_000) shouldBe (1_000 + estimator.durationMs(long) plusOrMinus 1.0)
            }
            // Guards against an end in the past for a run of the tail, which would make its worker look idle for longer.
            it("does not end before now when its run takes longer than expected") {
                val worker = worker("rack-1")
                worker.occupy(stepOf(100.0), 0, startedAtMs = 0)
                estimator.lastEndMs(worker, 900_000) shouldBe 900_000.0
            }
        }
        describe("a placement pass over a worker with a long run and a slightly fuller one with a short run") {
            // Guards against a term that is not used, or is used by models that know no single tasks.
            it("puts a short task beside the long run, and on the fuller worker without learned run times") {
                placedOn(RunTimeEstimator(LearnedRunTimes(), predictsEnds = true)) shouldBe "rack-1"
                placedOn(RunTimeEstimator(LearnedRunTimes())) shouldBe "rack-2"
            }
        }
        describe("the term of late ends") {
            val taskMs = estimator.durationMs(stepOf(1_000.0))

            // Guards against a term that outweighs another rack (4), a failure of the task there (3) or half a worker of free capacity.
            it("is at most a quarter, for a worker that is empty or ends first") {
                estimator.lateEndCost(taskMs, lastEndMs = 500.0, nowMs = 500) shouldBe 0.25
                estimator.lateEndCost(Double.POSITIVE_INFINITY, lastEndMs = 500.0, nowMs = 500) shouldBe 0.25
            }
            // Guards against short tasks that keep a worker busy which would empty before another.
            it("is less the later the other runs end, and nothing beside longer or long-running ones") {
                estimator.lateEndCost(taskMs, lastEndMs = taskMs / 2, nowMs = 0) shouldBe (0.125 plusOrMinus 0.001)
                estimator.lateEndCost(taskMs, lastEndMs = 2 * taskMs, nowMs = 0) shouldBe 0.0
                estimator.lateEndCost(taskMs, lastEndMs = Double.POSITIVE_INFINITY, nowMs = 0) shouldBe 0.0
                estimator.lateEndCost(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, nowMs = 0) shouldBe 0.0
            }
        }
        describe("the forecast of an estimator") {
            // Guards against the mean of a tail moving the deadline of jobs that have none.
            it("sets the objective by medians and the remaining work by means") {
                val model = LearnedRunTimes().also { SyntheticRuns(5).teach(it, 60) }
                val job = SyntheticRuns(6).job().first
                val learned = RunTimeEstimator(model).estimate(job, 0)
                val expected = stepsOf(job).sumOf { 8 * model.expectedMs(it) }
                learned.remainingCoreMs shouldBe (expected plusOrMinus 1.0)
                learned.objectiveDeadlineMs shouldBe (stepsOf(job).sumOf { model.quantileMs(it, 0.5) } plusOrMinus 1.0)
            }
        }
    })

/** The worker that a task of one second is placed on: `rack-1` has a run of 20 s, `rack-2` one of 0.1 s with a little more demand. */
private fun placedOn(estimator: RunTimeEstimator): String? {
    val time = SimTime()
    val loop = SimLoop(time)
    val log = DecisionLog { _, _ -> }
    val committer = Committer(loop, SilentTables, log, OwnerRow("e", "e", 1, 1), 1, { 0 }, {})
    val registry = JobRegistry(loop, committer, log)
    val driver = WorkerDriver(loop, AnsweringLink(loop), committer, registry, log, 1, 6_000, { true }, {}, {}, {})
    val placer = Placer(loop, registry, driver, estimator, { _, _, _ -> }, log, { true })
    driver.open()
    listOf("rack-1", "rack-2").forEach { driver.onListed(worker(it).entry) }
    time.runUntil(time.nowMs + 100)

    fun submit(
        id: String,
        step: Step,
    ) {
        registry.load(JobSubmission(id, Queue("q", "p"), "s", listOf(step)), progress = null, isInherited = false)
        placer.placeWaitingTasks(listOf("p"))
    }
    submit("long", Step(1, Demand(8_000), estimateMs = 20_000, requiredLabel = "rack-1"))
    submit("short", Step(1, Demand(10_000), estimateMs = 100, requiredLabel = "rack-2"))
    submit("next", Step(1, Demand(1_000), estimateMs = 1_000))
    return registry
        .find("next")
        ?.tasks
        ?.first()
        ?.worker
        ?.id
}

/** Workers that report no runs and never answer a start. */
internal class AnsweringLink(
    private val loop: SimLoop,
) : WorkerLink {
    override fun start(
        entry: WorkerEntry,
        order: StartOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    ) = Unit

    override fun stop(
        entry: WorkerEntry,
        order: StopOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    ) = Unit

    override fun pace(
        entry: WorkerEntry,
        order: PaceOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    ) = Unit

    override fun hold(
        entry: WorkerEntry,
        order: HoldOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    ) = loop.after(maxOf(1L, order.waitMs.toLong())) { onAnswer(WorkerAnswer.Listed(loop.nowMs, 0, emptyList(), emptyList())) }
}
