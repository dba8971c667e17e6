/*
 * Learns run times from ended runs. A prediction combines, in logarithms and each weighted by its reliability: the declared
 * estimate corrected by the bias of all queues, the queue's median with its regression on the declared estimate, the deviation
 * of the account and image, the deviation of the job's earlier steps, and the ended tasks of the same step. See
 * docs/design/learned-run-times.md.
 */
package io.corianderrock.jobs.runtimes

import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.state.StepRun
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/** The window of one queue, and the deviation between tasks of one step. */
internal class QueueRunTimes(
    val name: String,
    val window: RunTimeWindow,
) {
    private var cutCredit = MAX_CUT_CREDIT

    /** Called for each run that has ended by itself. */
    fun addCutCredit() {
        cutCredit = minOf(cutCredit + CUTS_PER_ENDED_RUN, MAX_CUT_CREDIT)
    }

    /** True if another run that was cut short may enter the window. */
    fun takeCutCredit(): Boolean {
        if (cutCredit < 1) return false
        cutCredit--
        return true
    }

    /** Standard deviation between the tasks of a step, in logarithms. */
    var taskSpread: Double = DEFAULT_TASK_SPREAD
        private set
    private var spreadCount = 0

    fun addTaskSpread(spread: Double) {
        spreadCount = minOf(spreadCount + 1, SPREAD_MEMORY_STEPS)
        taskSpread += (spread.coerceIn(MIN_TASK_SPREAD, MAX_TASK_SPREAD) - taskSpread) / (spreadCount + 2)
    }

    /**
     * How far the deviation of a job's earlier steps carries over to a later one. If only the error of the estimates is common to
     * a job, this is the slope; if its steps resemble one another as well, it is more.
     */
    val jobCorrelation: Double
        get() {
            val prior = window.slope * CORRELATION_RIDGE
            return ((jobProducts + prior) / (jobSquares + CORRELATION_RIDGE)).coerceIn(0.0, 1.0)
        }
    private var jobProducts = 0.0
    private var jobSquares = 0.0

    /** Records that a step deviated by [residual] after earlier steps of its job had deviated by [jobOffset]. */
    fun addJobStep(
        jobOffset: Double,
        residual: Double,
    ) {
        val offset = jobOffset.coerceIn(-CORRELATION_CLIP, CORRELATION_CLIP)
        jobProducts = jobProducts * CORRELATION_DECAY + offset * residual.coerceIn(-CORRELATION_CLIP, CORRELATION_CLIP)
        jobSquares = jobSquares * CORRELATION_DECAY + offset * offset
    }

    private companion object {
        /**
         * Runs cut short that may follow one another. Those of work that is often cut short come among runs that end; a mass cancellation
         * ends all at once, and the runs that would tell how long they would have taken are never seen.
         */
        const val MAX_CUT_CREDIT = 6

        /** Up to half of the window may be runs that were cut short. */
        const val CUTS_PER_ENDED_RUN = 1

        /** Pull of the slope, as a sum of squares: about eight jobs that deviate by half a unit. */
        const val CORRELATION_RIDGE = 2.0
        const val CORRELATION_CLIP = 1.5

        /** Forty jobs are remembered. */
        const val CORRELATION_DECAY = 0.975
        const val DEFAULT_TASK_SPREAD = 0.5
        const val MIN_TASK_SPREAD = 0.05
        const val MAX_TASK_SPREAD = 1.2
        const val SPREAD_MEMORY_STEPS = 30
    }
}

/** What a model learns from, for the comparison of models. */
internal data class LearningOptions(
    val windowRuns: Int = 128,
    val usesDeclared: Boolean = true,
    val usesSiblings: Boolean = true,
    val halfLifeRuns: Double = RunTimeWindow.HALF_LIFE_RUNS,
)

/** Used on the event loop only. Predictions take constant time: all sums are kept with the step, the queue and the account. */
internal class LearnedRunTimes(
    private val options: LearningOptions = LearningOptions(),
) : RunTimeModel {
    private data class GroupKey(
        val queue: String,
        val account: String?,
        val image: String?,
    )

    private val queues = boundedMap<String, QueueRunTimes>(MAX_QUEUES)
    private val groups = boundedMap<GroupKey, GroupOffset>(MAX_GROUPS)

    /** Ratios of run time to declared estimate in all queues, for queues of which little is known. */
    private val all = RunTimeWindow(options.windowRuns, usesDeclared = false, halfLifeRuns = options.halfLifeRuns)

    /** How much longer runs take on a worker without the step's data, in logarithms. */
    private var remoteOffset = DEFAULT_REMOTE_OFFSET

    private val slowWorkers = SlowWorkerOffsets()

    /** Number of queues and of groups that are remembered. */
    val rememberedCount: Int get() = queues.size + groups.size

    override fun expectedMs(stepRun: StepRun): Double {
        val state = stateOf(stepRun)
        refreshPrediction(stepRun, state)
        return state.predictedMeanMs
    }

    /**
     * Predictions are kept until a run of the step has ended, a step of its job, or the window of its queue is summarized anew:
     * placement passes ask for those of all waiting steps, far more often than runs end.
     */
    private fun refreshPrediction(
        stepRun: StepRun,
        state: StepRunTimes,
    ) {
        val window = state.queue.window
        val jobSteps = stepRun.job.runTimes?.endedCount ?: 0
        val from = (window.refreshCount.toLong() shl REFRESH_SHIFT) + (state.endedCount.toLong() shl STEPS_SHIFT) + jobSteps
        if (window.size > 0 && state.predictedFrom == from) return
        state.predictedFrom = from
        state.predictedLog = predictLog(stepRun, state)
        // What is known of the step narrows the spread, and with it how far the mean lies above the median.
        val narrowing = spreadFactor(state) * spreadFactor(state)
        state.predictedMeanMs = exp(state.predictedLog) * (1 + (window.meanFactor - 1) * narrowing)
    }

    override fun quantileMs(
        stepRun: StepRun,
        quantile: Double,
    ): Double {
        val state = stateOf(stepRun)
        refreshPrediction(stepRun, state)
        val median = state.predictedLog
        if (quantile == MEDIAN) return exp(median)
        return exp(median + spreadFactor(state) * state.queue.window.offset(quantile))
    }

    override fun sampleCount(stepRun: StepRun): Int = stateOf(stepRun).queue.window.size

    override fun observe(run: EndedRun) {
        val stepRun = run.stepRun
        // Long-running tasks end when they are told to, which says nothing about a run time.
        if (stepRun.step.isLongRunning || run.tookMs < 0) return
        val state = stateOf(stepRun)
        val prior = priorLog(stepRun, state)
        val isCut = run.kind != EndKind.DONE || !run.isWhole
        var tookLog = logOf(run.tookMs)
        val isRemote = stepRun.step.preferredRack != null && stepRun.step.preferredRack !in run.worker.entry.labels
        if (isRemote) {
            if (!isCut) learnRemoteOffset(tookLog - predictLog(stepRun, state))
            tookLog -= remoteOffset
        }
        // A run cut short early tells nothing, and a worker that fails all it starts would fill the window with such runs.
        if (isCut && tookLog < prior + state.queue.window.offset(EARLY_QUANTILE)) return
        if (isCut && !state.queue.takeCutCredit()) {
            state.addCut()
            return
        }
        // The factor of a worker that was found slow is known only after some runs; until then its runs tell nothing of the work.
        if (run.worker.record.isAvoidedAsSlow && !slowWorkers.isKnown(run.worker)) {
            if (!isCut) slowWorkers.add(run.worker, tookLog - predictLog(stepRun, state))
            return
        }
        if (!isCut) state.queue.addCutCredit()
        if (!isCut) slowWorkers.add(run.worker, tookLog - predictLog(stepRun, state))
        tookLog = maxOf(0.0, tookLog - slowWorkers.offset(run.worker))
        state.queue.window.add(
            state.declaredLog,
            tookLog,
            isCut,
            stepRun.job.submission.account
                .hashCode(),
        )
        all.add(0.0, tookLog - state.declaredLog, isCut, state.queue.name.hashCode())
        if (isCut) {
            state.addCut()
            // The group would otherwise learn from its short runs alone.
            state.group.add(tookLog - queueLog(state) + CUT_REMAINDER * state.queue.taskSpread)
            return
        }
        state.group.add(tookLog - queueLog(state))
        if (options.usesSiblings) observeSibling(stepRun, state, prior, tookLog)
    }

    private fun observeSibling(
        stepRun: StepRun,
        state: StepRunTimes,
        prior: Double,
        tookLog: Double,
    ) {
        val job = stepRun.job.runTimes ?: JobRunTimes().also { stepRun.job.runTimes = it }
        // The ended run itself still occupies its worker.
        state.add(tookLog, maxOf(0, stepRun.occupyingCount - 1), prior, state.queue.taskSpread)
        if (state.endedCount != stepRun.step.count) return
        if (state.endedCount >= MIN_TASKS_FOR_SPREAD) state.queue.addTaskSpread(state.taskSpread)
        val residual = state.baseLog - queueLog(state) - state.group.log
        if (job.endedCount > 0) state.queue.addJobStep(job.offset, residual)
        job.add(residual)
    }

    private fun learnRemoteOffset(residual: Double) {
        val step = (residual - remoteOffset).coerceIn(-1.0, 1.0) * REMOTE_LEARNING_RATE
        remoteOffset = (remoteOffset + step).coerceIn(0.0, MAX_REMOTE_OFFSET)
    }

    private fun predictLog(
        stepRun: StepRun,
        state: StepRunTimes,
    ): Double {
        val prior = priorLog(stepRun, state)
        if (state.endedCount == 0) return prior
        val weight = state.endedCount / (state.endedCount + siblingsEqualToPrior(state))
        return prior + weight * (state.baseLog - prior)
    }

    /** The prediction without the ended tasks of the step. */
    private fun priorLog(
        stepRun: StepRun,
        state: StepRunTimes,
    ): Double {
        val base = queueLog(state) + state.group.log
        val job = stepRun.job.runTimes ?: return base
        if (state.endedCount > 0 && state.endedCount >= stepRun.step.count) return base
        return base + job.offset * state.queue.jobCorrelation
    }

    private fun queueLog(state: StepRunTimes): Double {
        val window = state.queue.window
        val declaredLog = if (window.size == 0) state.declaredLog else window.plausible(state.declaredLog)
        val bias = all.medianLog.coerceIn(-MAX_BIAS, MAX_BIAS)
        val general = declaredLog + bias * all.size / (all.size + RUNS_EQUAL_TO_GENERAL)
        if (window.size == 0) return general
        val weight = window.size / (window.size + RUNS_EQUAL_TO_GENERAL)
        return general + weight * (window.predictLog(state.declaredLog) - general)
    }

    /** Ratio of the variance between tasks to that between steps: as many ended siblings tell as much as all else. */
    private fun siblingsEqualToPrior(state: StepRunTimes): Double {
        val tasks = state.queue.taskSpread * state.queue.taskSpread
        return tasks / stepVariance(state)
    }

    private fun stepVariance(state: StepRunTimes): Double {
        val total = state.queue.window.spread
        return maxOf(total * total - state.queue.taskSpread * state.queue.taskSpread, MIN_STEP_VARIANCE)
    }

    /** Share of the spread of a queue's runs that is left for a step of which some tasks have ended. */
    private fun spreadFactor(state: StepRunTimes): Double {
        if (state.endedCount == 0) return 1.0
        val tasks = state.queue.taskSpread * state.queue.taskSpread
        val steps = stepVariance(state)
        val left = 1 / (1 / steps + state.endedCount / tasks)
        return sqrt((left + tasks) / (steps + tasks))
    }

    private fun stateOf(stepRun: StepRun): StepRunTimes =
        stepRun.runTimes ?: StepRunTimes(
            queue = queueOf(stepRun.job.queue.name),
            group = groups.getOrPut(GroupKey(stepRun.job.queue.name, stepRun.job.submission.account, stepRun.step.image), ::GroupOffset),
            declaredLog = logOf(maxOf(stepRun.step.estimateMs, MIN_ESTIMATE_MS)),
        ).also { stepRun.runTimes = it }

    private fun queueOf(name: String): QueueRunTimes =
        queues.getOrPut(name) { QueueRunTimes(name, RunTimeWindow(options.windowRuns, options.usesDeclared, options.halfLifeRuns)) }

    /** What a new owner continues from: a sample of the runs of the queues used last. */
    fun snapshot(): RunTimeRow =
        RunTimeRow(
            RunTimeRow.VERSION,
            queues.entries.toList().takeLast(RunTimeRow.MAX_QUEUES).associate { (name, queue) ->
                name to queue.window.sample(RunTimeRow.RUNS_PER_QUEUE).flatMap { (declared, took) -> listOf(centi(declared), centi(took)) }
            },
        )

    /** Continues from what an earlier owner has stored. */
    fun load(row: RunTimeRow) {
        for ((name, values) in row.runsByQueue) {
            val queue = queueOf(name)
            for (i in 0 until minOf(values.size, 2 * RunTimeRow.RUNS_PER_QUEUE) - 1 step 2) {
                val declaredLog = (values[i] / CENTI).coerceIn(0.0, MAX_LOG)
                val tookLog = (values[i + 1] / CENTI).coerceIn(0.0, MAX_LOG)
                // Each from a source of its own: which account the run belonged to is not stored.
                queue.window.add(declaredLog, tookLog, isCut = false, source = i / 2)
                all.add(0.0, tookLog - declaredLog, isCut = false, source = name.hashCode())
            }
        }
    }

    private fun centi(log: Double): Int = Math.round(log * CENTI).toInt()

    private fun logOf(ms: Long): Double = ln(ms.coerceIn(1L, MAX_MS).toDouble())

    private companion object {
        /** A factor of three: the bias of one dominating queue is not that of all others. */
        const val MAX_BIAS = 1.1

        /** Bounds of memory, above 88 pools with four queues and 660 accounts with one class each; least recently used ones are dropped. */
        const val MAX_QUEUES = 384
        const val MAX_GROUPS = 2_048

        /** Runs of a queue that tell as much as the declared estimate with the bias of all queues. */
        const val RUNS_EQUAL_TO_GENERAL = 8.0

        const val MIN_STEP_VARIANCE = 0.02
        const val MIN_TASKS_FOR_SPREAD = 4

        /** The least remote rack factor of the deployments, 1.5. */
        val DEFAULT_REMOTE_OFFSET = ln(1.5)
        val MAX_REMOTE_OFFSET = ln(4.0)
        const val REMOTE_LEARNING_RATE = 0.03
        const val MEDIAN = 0.5

        /** Room for the 20,000 tasks of a step and for 65,536 steps of a job in the origin of a prediction. */
        const val STEPS_SHIFT = 16
        const val REFRESH_SHIFT = 32

        /** Few runs end before this quantile, so that leaving out what was cut short before it biases nothing. */
        const val EARLY_QUANTILE = 0.2

        /** Expected rest of a run that was cut short, in standard deviations: 0.8 for one cut at the median, 0.5 a deviation later. */
        const val CUT_REMAINDER = 0.7

        /** Lower bound on declared estimates, since callers may declare zero. */
        const val MIN_ESTIMATE_MS = 100L

        /** Longest run time that is told apart from longer ones: a day. */
        const val MAX_MS = 86_400_000L
        val MAX_LOG = ln(MAX_MS.toDouble())
        const val CENTI = 100.0
    }
}

/** A map that drops the least recently used entry beyond [maxSize]. */
internal fun <K, V> boundedMap(maxSize: Int): LinkedHashMap<K, V> =
    object : LinkedHashMap<K, V>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<K, V>): Boolean = size > maxSize
    }
