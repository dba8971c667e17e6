/*
 * Compares ways of predicting run times on synthetic runs, or on those of the logs given as arguments: learns on the first half of
 * them and judges on the second. Prints the tables of docs/design/learned-run-times.md.
 */
package io.corianderrock.jobs.runtimes

import java.io.File
import kotlin.math.abs

/** Errors in logarithms: of the median against the true median of the step, before its tasks ran and when half of them had ended. */
internal class RunTimeErrors(
    val atStart: Double,
    val atHalf: Double,
    /** Loss of the 0.9 quantile against the runs: 0.9 for each unit too short, 0.1 for each too long. */
    val upperLoss: Double,
    /** Share of the runs beyond the 0.9 quantile; calibrated is 0.1. */
    val beyondUpper: Double,
    /** The same once half of the siblings had ended, of a new task of the step. */
    val beyondUpperAtHalf: Double,
    /** Expected work of the judged steps before they began, by means, as a share of the true work. */
    val workRatio: Double,
) {
    override fun toString(): String =
        listOf(atStart, atHalf, upperLoss, beyondUpper, beyondUpperAtHalf, workRatio).joinToString(" | ") { "%.3f".format(it) }
}

internal fun compare(
    model: RunTimeModel,
    runs: SyntheticRuns,
    jobCount: Int = 600,
): RunTimeErrors {
    runs.teach(model, jobCount)
    val atStart = ArrayList<Double>()
    val atHalf = ArrayList<Double>()
    var loss = 0.0
    var beyond = 0
    var beyondAtHalf = 0
    var count = 0
    var expectedMs = 0.0
    var ranMs = 0.0
    repeat(jobCount) {
        val (job, bases) = runs.job()
        for (step in stepsOf(job)) {
            val baseMs = bases[step.number]
            atStart.add(abs(logRatio(model.quantileMs(step, 0.5), baseMs)))
            val upperMs = model.quantileMs(step, 0.9)
            expectedMs += model.expectedMs(step) * step.step.count
            start(step)
            val durations =
                step.tasks.indices
                    .map { it to runs.taskMs(baseMs) }
                    .sortedBy { it.second }
            for ((rank, run) in durations.withIndex()) {
                if (rank == durations.size / 2) {
                    atHalf.add(abs(logRatio(model.quantileMs(step, 0.5), baseMs)))
                    val upperAtHalfMs = model.quantileMs(step, 0.9)
                    repeat(durations.size) { if (runs.taskMs(baseMs) > upperAtHalfMs) beyondAtHalf++ }
                }
                val tooShort = logRatio(run.second.toDouble(), upperMs)
                loss += if (tooShort > 0) 0.9 * tooShort else -0.1 * tooShort
                if (tooShort > 0) beyond++
                count++
                ranMs += run.second
                end(model, step, run.first, run.second)
            }
        }
    }
    return RunTimeErrors(
        atStart.average(),
        atHalf.average(),
        loss / count,
        beyond.toDouble() / count,
        beyondAtHalf.toDouble() / count,
        expectedMs / ranMs,
    )
}

internal val WAYS: Map<String, () -> RunTimeModel> =
    mapOf(
        "declared estimate only" to ::DeclaredRunTimes,
        "present mean" to ::MeanRunTimes,
        "sketch per class" to { LearnedRunTimes(LearningOptions(usesDeclared = false, usesSiblings = false)) },
        "regression on the logarithm" to { LearnedRunTimes(LearningOptions(usesSiblings = false)) },
        "sketch and siblings" to { LearnedRunTimes(LearningOptions(usesDeclared = false)) },
        "regression and siblings" to { LearnedRunTimes() },
    )

/** Arguments are logs to replay; without any, the synthetic runs are compared. */
public fun main(args: Array<String>) {
    println("| runs | way | median at start | median at half | loss of 0.9 | beyond 0.9 | beyond 0.9 at half | work |")
    println("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for (file in args.map(::File)) {
        val runs = file.useLines(block = ::RecordedRuns)
        println("${file.name}: ${runs.doneCount} runs")
        for ((way, model) in WAYS) println("| ${file.name} | $way | ${runs.compare(model())} |")
    }
    if (args.isNotEmpty()) return
    for (error in listOf(0.2, 0.5, 0.9)) {
        for ((way, model) in WAYS) println("| $error | $way | ${compare(model(), SyntheticRuns(seed = 1, estimateError = error))} |")
    }
}
