/*
 * Learning of run times: what is predicted before, while and after the work of a queue is known, and what must not spoil it.
 */
package io.corianderrock.jobs.runtimes

import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.state.JobRun
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.math.abs

/** Median run time that [model] predicts for steps of [runs]: over many jobs, so that single estimates do not matter. */
private fun typicalMs(
    model: RunTimeModel,
    runs: SyntheticRuns,
    quantile: Double = 0.5,
): Double = List(101) { model.quantileMs(stepsOf(runs.job().first).first(), quantile) }.sorted()[50]

internal class LearnedRunTimesTest :
    DescribeSpec({
        describe("a model without observations") {
            // Guards against a new owner that predicts nothing useful until the first jobs have ended.
            it("predicts the declared estimate with a wide spread") {
                val model = LearnedRunTimes()
                val step = stepsOf(SyntheticRuns(1).job().first).first()
                model.quantileMs(step, 0.5) shouldBe (step.step.estimateMs.toDouble() plusOrMinus 1.0)
                model.quantileMs(step, 0.9) shouldBeGreaterThan 2.0 * step.step.estimateMs
                model.sampleCount(step) shouldBe 0
            }
            // Guards against a bias that every queue has to learn for itself.
            it("applies the bias of the other queues to a new queue") {
                val model = LearnedRunTimes()
                SyntheticRuns(1, estimateError = 0.1).teach(model, 40)
                val step = stepsOf(SyntheticRuns(2, queue = "new").job().first).first()
                (model.quantileMs(step, 0.5) / step.step.estimateMs).shouldBeBetween(1.15, 1.7, 0.0)
            }
        }
        describe("predictions on the later half of a day") {
            for (error in listOf(0.2, 0.5, 0.9)) {
                // Guards against a change that makes the combination worse than one of its parts.
                it("are better than the other ways and calibrated with estimates off by $error") {
                    val errors = WAYS.mapValues { (_, model) -> compare(model(), SyntheticRuns(3, estimateError = error), jobCount = 300) }
                    val chosen = errors.getValue("regression and siblings")
                    for (other in listOf("declared estimate only", "present mean")) {
                        chosen.atStart shouldBeLessThan errors.getValue(other).atStart
                        chosen.upperLoss shouldBeLessThan errors.getValue(other).upperLoss
                    }
                    chosen.atHalf shouldBeLessThan 0.6 * errors.getValue("sketch per class").atHalf
                    chosen.beyondUpper.shouldBeBetween(0.07, 0.14, 0.0)
                    chosen.beyondUpperAtHalf.shouldBeBetween(0.07, 0.14, 0.0)
                }
            }
        }
        describe("a queue of two classes") {
            // Guards against one median between two classes that no task takes.
            it("tells them apart by estimates, and by siblings once some have ended") {
                val model = LearnedRunTimes()
                val runs = SyntheticRuns(4, estimateError = 0.9).also { it.secondClassFactor = 20.0 }
                runs.teach(model, 60)
                val slow = generateSequence { runs.job() }.first { (_, bases) -> bases[0] > 15_000 }
                val step = stepsOf(slow.first).first()
                start(step)
                repeat(3) { end(model, step, it, slow.second[0].toLong()) }
                abs(logRatio(model.quantileMs(step, 0.5), slow.second[0])) shouldBeLessThan 0.6
                val fast = generateSequence { runs.job() }.first { (_, bases) -> bases[0] < 1_000 }
                model.quantileMs(stepsOf(fast.first).first(), 0.5) shouldBeLessThan slow.second[0] / 2
            }
        }
        describe("a tail of runs that take seven times as long") {
            // Guards against a median that follows the tail and a mean that ignores it.
            it("moves the mean and the high quantiles, not the median") {
                val without = LearnedRunTimes().also { SyntheticRuns(5, tailShare = 0.0).teach(it, 60) }
                val with = LearnedRunTimes().also { SyntheticRuns(5, tailShare = 0.03).teach(it, 60) }
                abs(logRatio(typicalMs(with, SyntheticRuns(6)), typicalMs(without, SyntheticRuns(6)))) shouldBeLessThan 0.15
                typicalMs(with, SyntheticRuns(6), 0.99) shouldBeGreaterThan typicalMs(without, SyntheticRuns(6), 0.99)
                val step = stepsOf(SyntheticRuns(6).job().first).first()
                (with.expectedMs(step) / with.quantileMs(step, 0.5)).shouldBeBetween(1.1, 2.0, 0.0)
            }
        }
        describe("work that shifts") {
            // Guards against orders by run times that ended minutes ago.
            it("is learned within its first six steps, 48 runs") {
                val model = LearnedRunTimes()
                val runs = SyntheticRuns(7)
                runs.teach(model, 100)
                runs.medianMs = 4_000.0
                runs.teach(model, 3)
                abs(logRatio(typicalMs(model, runs), 4_000.0)) shouldBeLessThan 0.4
            }
        }
        describe("observations from few sources") {
            // Guards against a rack that is four times slower passing for longer work.
            it("a fifth of the workers being four times slower moves the median by less than a sixth") {
                val model = LearnedRunTimes()
                val undisturbed = LearnedRunTimes().also { SyntheticRuns(8).teach(it, 60) }
                val slow = worker("rack-2")
                SyntheticRuns(8).teach(model, 60, { if (it % 5 == 0) slow else WORKER }) { if (it % 5 == 0) 4.0 else 1.0 }
                abs(logRatio(typicalMs(model, SyntheticRuns(9)), typicalMs(undisturbed, SyntheticRuns(9)))) shouldBeLessThan 0.15
            }
            // Guards against pools that grow because of a rack whose workers were each found slow after two or three runs.
            it("runs on workers that were found slow do not count as longer work before their factor is known") {
                val undisturbed = LearnedRunTimes().also { SyntheticRuns(8).teach(it, 60) }
                val model = LearnedRunTimes()
                val rack = List(20) { worker("slow-$it").also { slow -> slow.record.isAvoidedAsSlow = true } }
                var next = 0
                val ofRack = { index: Int -> if (index % 2 == 0) rack[next++ % rack.size] else WORKER }
                SyntheticRuns(8).teach(model, 45)
                SyntheticRuns(18).teach(model, 15, ofRack) { if (it % 2 == 0) 4.0 else 1.0 }
                val expectedMs = { from: RunTimeModel ->
                    List(101) { from.expectedMs(stepsOf(SyntheticRuns(9L + it).job().first).first()) }.average()
                }
                logRatio(expectedMs(model), expectedMs(undisturbed)) shouldBeLessThan 0.25
            }
            // Guards against remote runs passing for longer work, and against their factor staying at its default.
            it("runs without their data at hand do not count as longer work") {
                val model = LearnedRunTimes()
                val near = SyntheticRuns(10, preferredRack = "rack-1")
                near.teach(model, 80, { if (it % 2 == 0) worker("rack-2") else WORKER }) { if (it % 2 == 0) 3.0 else 1.0 }
                logRatio(typicalMs(model, near), 1_000.0).shouldBeBetween(-0.3, 0.35, 0.0)
            }
            // Guards against an account at a peak, whose tasks take far longer, changing what is expected of the others.
            it("an account with outliers at seven times the rate of the others changes only its own predictions") {
                val model = LearnedRunTimes()
                val others = (1..6).map { SyntheticRuns(20L + it, account = "account$it") }
                val noisy = SyntheticRuns(30, account = "noisy").also { it.medianMs = 30_000.0 }
                repeat(25) {
                    others.forEach { it.teach(model, 1) }
                    noisy.teach(model, 7)
                }
                logRatio(typicalMs(model, others[0]), 1_000.0).shouldBeBetween(-0.5, 0.6, 0.0)
                typicalMs(model, noisy) shouldBeGreaterThan 6_000.0
            }
        }
        describe("runs cut short") {
            // Guards against a median of only the short runs where long ones are stopped before they end.
            it("count as at least that long") {
                fun learn(
                    seed: Long,
                    isObserved: Boolean,
                ): Double {
                    val model = LearnedRunTimes()
                    val runs = SyntheticRuns(seed, tailShare = 0.0)
                    repeat(60) {
                        val step = stepsOf(runs.job().first).first()
                        start(step)
                        for (index in step.tasks.indices) {
                            val tookMs = runs.taskMs(1_000.0)
                            if (tookMs < 1_100) end(model, step, index, tookMs)
                            if (tookMs >= 1_100 && isObserved) end(model, step, index, 1_100, kind = EndKind.LAPSED)
                        }
                    }
                    return typicalMs(model, SyntheticRuns(12))
                }
                val censoredMs = (1L..9L).map { learn(it, isObserved = true) }.sorted()
                val naiveMs = (1L..9L).map { learn(it, isObserved = false) }.sorted()
                censoredMs[4].shouldBeBetween(850.0, 1_150.0, 0.0)
                naiveMs[4] shouldBeLessThan 800.0
            }
            // Guards against a median of the longest runs that were cancelled, until some 30 others have ended.
            it("all at once leave the median where it was, also if other runs end meanwhile") {
                fun shift(
                    seed: Long,
                    endingShare: Double,
                ): Double {
                    val runs = SyntheticRuns(seed, tailShare = 0.0)
                    val model = LearnedRunTimes().also { runs.teach(it, 20) }
                    val beforeMs = typicalMs(model, SyntheticRuns(14))
                    val random = java.util.Random(seed)
                    repeat(25) {
                        val (job, bases) = runs.job()
                        val step = stepsOf(job).first()
                        start(step)
                        for (index in step.tasks.indices) {
                            val wholeMs = runs.taskMs(bases[0])
                            val isEnding = random.nextDouble() < endingShare
                            val ageMs = if (isEnding) wholeMs else (wholeMs * random.nextDouble()).toLong()
                            end(model, step, index, ageMs, kind = if (isEnding) EndKind.DONE else EndKind.STOPPED)
                        }
                    }
                    return logRatio(typicalMs(model, SyntheticRuns(14)), beforeMs)
                }
                for (endingShare in listOf(0.0, 0.25)) {
                    val shifts = (1L..9L).map { shift(it, endingShare) }.sorted()
                    withClue("share of runs that end: $endingShare, shifts: $shifts") { abs(shifts[4]) shouldBeLessThan 0.25 }
                }
            }
            // Guards against a worker that fails all it starts at once: its runs must not displace the ones that ended.
            it("at once tell nothing") {
                val model = LearnedRunTimes().also { SyntheticRuns(13).teach(it, 20) }
                val step = stepsOf(SyntheticRuns(14).job().first).first()
                val beforeMs = model.quantileMs(step, 0.5)
                repeat(1_000) { model.observe(EndedRun(step, WORKER, 3, EndKind.FAILED)) }
                model.observe(EndedRun(step, WORKER, 3, EndKind.DONE, isWhole = false))
                model.quantileMs(step, 0.5) shouldBe beforeMs
            }
        }
        describe("hostile durations") {
            // Guards against a clock that steps back, or a single absurd run, that makes predictions infinite or zero.
            it("keep predictions finite and about where they were") {
                val model = LearnedRunTimes().also { SyntheticRuns(15).teach(it, 40) }
                val beforeMs = typicalMs(model, SyntheticRuns(16))
                val step = stepsOf(SyntheticRuns(17).job().first).first()
                start(step)
                listOf(0L, -5L, Long.MIN_VALUE, Long.MAX_VALUE).forEachIndexed { index, ms -> end(model, step, index, ms) }
                abs(logRatio(typicalMs(model, SyntheticRuns(16)), beforeMs)) shouldBeLessThan 0.2
                model.quantileMs(step, 0.999).isFinite() shouldBe true
                model.quantileMs(step, 0.0) shouldBeGreaterThan 0.0
            }
        }
        describe("an absurd declared estimate") {
            // Guards against a caller whose declared estimate orders all instances, as work is estimated by it.
            it("in a queue that is known predicts at most a few times its usual run time") {
                val model = LearnedRunTimes().also { SyntheticRuns(21).teach(it, 40) }
                val usualMs = typicalMs(model, SyntheticRuns(22))
                val job = SyntheticRuns(23).job().first
                val absurd = job.submission.copy(steps = job.submission.steps.map { it.copy(estimateMs = Long.MAX_VALUE) })
                val run = JobRun(absurd, isInherited = false, acceptedAtMs = 0).also { it.addOccurrence(0, 0) }
                model.expectedMs(stepsOf(run).first()) shouldBeLessThan 30 * usualMs
            }
        }
        describe("memory and time") {
            // Guards against growth with queues and accounts, which callers and configurations name.
            it("are bounded for any number of queues and accounts") {
                val model = LearnedRunTimes()
                repeat(
                    20_000,
                ) { model.expectedMs(stepsOf(SyntheticRuns(1, queue = "q${it % 5_000}", account = "a$it").job().first).first()) }
                model.rememberedCount shouldBeLessThanOrEqual 384 + 2_048
            }
            // Guards against a prediction that sorts or allocates: one is made for every ready step in every placement pass.
            it("take less than 2 microseconds for each prediction") {
                val model = LearnedRunTimes().also { SyntheticRuns(18).teach(it, 40) }
                val steps = List(1_000) { SyntheticRuns(it.toLong()).job().first }.flatMap(::stepsOf)
                var sum = 0.0
                val fastestNs =
                    (1..20).minOf {
                        val startNs = System.nanoTime()
                        repeat(10) { for (step in steps) sum += model.expectedMs(step) }
                        (System.nanoTime() - startNs) / (10 * steps.size)
                    }
                sum shouldBeGreaterThan 0.0
                fastestNs shouldBeLessThan 2_000L
            }
        }
    })
