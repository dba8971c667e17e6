/*
 * Placement by when the other runs of a worker are expected to end.
 */
package io.corianderrock.jobs.runtimes

import io.corianderrock.jobs.placement.RunTimeEstimator
import io.corianderrock.jobs.state.StepRun
import io.corianderrock.jobs.state.WorkerView
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
