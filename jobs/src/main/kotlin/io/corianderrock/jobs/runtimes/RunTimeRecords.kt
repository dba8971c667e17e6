/*
 * Feeds ended runs to the run time model of an owner, judges its forecasts for operators and stores what it has learned, so
 * that the next owner continues from it.
 */
package io.corianderrock.jobs.runtimes

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.runs.decodeStored
import io.corianderrock.jobs.runs.storedJson

/** [store] writes a row in a later transaction, evaluating its value then. Used on the event loop only. */
internal class RunTimeRecords(
    private val loop: EventLoop,
    private val log: DecisionLog,
    private val model: RunTimeModel,
    private val store: (RowKey, () -> String) -> Unit,
) {
    /** Judged runs of one queue since the last report. */
    private class Accuracy(
        var reportedAtMs: Long,
    ) {
        val ratios = ArrayList<Double>(MAX_RATIOS)
        var runCount = 0
        var beyondUpperCount = 0
    }

    private val learned = model as? LearnedRunTimes
    private val lastEndByQueue = boundedMap<String, Long>(MAX_QUEUES)
    private val accuracyByQueue = LinkedHashMap<String, Accuracy>()
    private var storedAtMs = loop.nowMs
    private var loggedAtMs = Long.MIN_VALUE / 2

    /** Called with each run that has ended, before its worker's place is freed. */
    fun observe(run: EndedRun) {
        if (!run.stepRun.step.isLongRunning) {
            val forecast = run.stepRun.forecast ?: forecastOf(run).also { run.stepRun.forecast = it }
            if (run.kind == EndKind.DONE && run.isWhole) {
                forecast.add(run.tookMs)
                judge(run, forecast)
                lastEndByQueue[run.stepRun.job.queue.name] = loop.nowMs
            }
        }
        model.observe(run)
        storeIfDue()
    }

    private fun forecastOf(run: EndedRun): RunForecast {
        val sampleCount = model.sampleCount(run.stepRun)
        return RunForecast(
            medianMs = model.quantileMs(run.stepRun, MEDIAN),
            upperMs = model.quantileMs(run.stepRun, UPPER_QUANTILE),
            sampleCount = sampleCount,
            source =
                if (sampleCount == 0) {
                    "declared"
                } else if (learned != null) {
                    "learned"
                } else {
                    "mean"
                },
            meanMs = model.expectedMs(run.stepRun),
            sampleAgeMs = lastEndByQueue[run.stepRun.job.queue.name]?.let { loop.nowMs - it },
        )
    }

    private fun judge(
        run: EndedRun,
        forecast: RunForecast,
    ) {
        val ratio = run.tookMs / forecast.medianMs
        logRun(run, forecast, ratio)
        val queue = run.stepRun.job.queue.name
        val accuracy = accuracyByQueue.getOrPut(queue) { Accuracy(loop.nowMs) }
        accuracy.runCount++
        if (run.tookMs > forecast.upperMs) accuracy.beyondUpperCount++
        if (accuracy.ratios.size < MAX_RATIOS) accuracy.ratios.add(ratio)
        if (accuracy.runCount >= MIN_REPORTED_RUNS && loop.nowMs - accuracy.reportedAtMs >= REPORT_INTERVAL_MS) report(queue, accuracy)
        if (accuracyByQueue.size > MAX_QUEUES) accuracyByQueue.remove(accuracyByQueue.keys.first())
    }

    /** Logs one run at most every [RUN_LOG_INTERVAL_MS]. */
    private fun logRun(
        run: EndedRun,
        forecast: RunForecast,
        ratio: Double,
    ) {
        if (loop.nowMs - loggedAtMs < RUN_LOG_INTERVAL_MS) return
        loggedAtMs = loop.nowMs
        log.write(
            "run_time_judged",
            "job",
            run.stepRun.job.id,
            "step",
            run.stepRun.number,
            "queue",
            run.stepRun.job.queue.name,
            "worker",
            run.worker.id,
            "ranMs",
            run.tookMs,
            "estimateMs",
            forecast.medianMs.toLong(),
            "upperMs",
            forecast.upperMs.toLong(),
            "sampleCount",
            forecast.sampleCount,
            "ratio",
            rounded(ratio),
        )
    }

    private fun report(
        queue: String,
        accuracy: Accuracy,
    ) {
        log.write(
            "run_time_accuracy",
            "queue",
            queue,
            "runs",
            accuracy.runCount,
            "medianRatio",
            rounded(accuracy.ratios.sorted()[accuracy.ratios.size / 2]),
            "beyondUpperShare",
            rounded(accuracy.beyondUpperCount.toDouble() / accuracy.runCount),
        )
        accuracyByQueue[queue] = Accuracy(loop.nowMs)
    }

    private fun rounded(value: Double): Double = Math.round(value * ROUNDING) / ROUNDING

    /** The end of a run is stored as well, in the same transaction, so that the row causes no transaction of its own. */
    private fun storeIfDue() {
        if (learned == null || loop.nowMs - storedAtMs < STORE_INTERVAL_MS) return
        storedAtMs = loop.nowMs
        store(KEY) { storedJson.encodeToString(RunTimeRow.serializer(), learned.snapshot()) }
    }

    /** Continues from the stored row [text], or without it if it is corrupt or of another version. */
    fun load(text: String) {
        if (learned == null) return
        val row = decodeStored(RunTimeRow.serializer(), text)
        if (row == null || row.version != RunTimeRow.VERSION) {
            log.write("run_times_dropped", "reason", if (row == null) "unreadable" else "version ${row.version}", "chars", text.length)
            return
        }
        learned.load(row)
        log.write("run_times_loaded", "queues", row.runsByQueue.size, "chars", text.length)
    }

    internal companion object {
        val KEY = RowKey(Table.RUN_TIMES, "all")
        private const val MEDIAN = 0.5
        private const val UPPER_QUANTILE = 0.9

        /** Interval between writes of the row: a takeover loses at most this much, which a busy queue learns again in a second. */
        private const val STORE_INTERVAL_MS = 10_000L
        private const val RUN_LOG_INTERVAL_MS = 1_000L

        /** Interval between reports of one queue: at most a hundred lines in this time with all queues of the largest deployment. */
        private const val REPORT_INTERVAL_MS = 10_000L

        /** Fewer runs say nothing about the share beyond the 0.9 quantile. */
        private const val MIN_REPORTED_RUNS = 20
        private const val MAX_RATIOS = 256
        private const val MAX_QUEUES = 384
        private const val ROUNDING = 1_000.0
    }
}
