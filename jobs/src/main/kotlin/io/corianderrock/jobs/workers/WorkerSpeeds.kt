/*
 * Workers on which runs take much longer than on their peers. A run counts as slow when it takes, or by the progress that its worker
 * reports will take, several times as long as runs of its class of work do. One run in 30 is that long on any worker, so it takes
 * several such runs, weighed against the share of them on the peers in the pool.
 */
package io.corianderrock.jobs.workers

import io.corianderrock.jobs.runtimes.RunTimeModel
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView
import kotlin.math.exp
import kotlin.math.ln

/** Judges workers by the speed of their runs, in their [WorkerView.record]. Used on the event loop only. */
internal class WorkerSpeeds(
    private val avoidance: WorkerAvoidance,
    private val model: RunTimeModel,
) {
    /** Runs of one step of a queue's jobs, near their data or away from it. */
    private data class WorkClass(
        val queue: String,
        val step: Int,
        val isRemote: Boolean,
    )

    /** The typical logarithm of the ratio of the run times of a class to the expected ones. */
    private class ClassRatio(
        val sinceMs: Long,
    ) {
        var logRatio = 0.0
        var runCount = 0

        /** Loop time from which runs are judged that start then: those that the class began with would be found slow all at once. */
        var knownSinceMs: Long? = null
    }

    private val ratios =
        object : LinkedHashMap<WorkClass, ClassRatio>(16, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<WorkClass, ClassRatio>): Boolean = size > MAX_CLASSES
        }

    /** Called when [worker] reports that its run of [task] has done [percent] of its work. */
    fun onProgress(
        worker: WorkerView,
        task: TaskRun,
        percent: Int,
    ) {
        // A run that resumes from a checkpoint has done part of its work before.
        if (!isComparable(task) || task.checkpoint != null || task.slowRunNumber == task.runNumber) return
        val elapsedMs = avoidance.nowMs - task.startedAtMs
        val ratio = ratioOf(worker, task)
        val usualMs = model.expectedMs(task.stepRun) * exp(ratio.logRatio)
        if (elapsedMs < maxOf(usualMs * JUDGED_FROM_SHARE, MIN_ELAPSED_MS)) return
        if (isSlow(ratio, task, elapsedMs * FULL_PERCENT / percent.coerceIn(1, FULL_PERCENT.toInt()), usualMs)) onSlowRun(worker, task)
    }

    /** Called when a run of [task] on [worker] is done after [tookMs]. */
    fun onDone(
        worker: WorkerView,
        task: TaskRun,
        tookMs: Long,
    ) {
        if (!isComparable(task)) return
        val expectedMs = model.expectedMs(task.stepRun)
        val ratio = ratioOf(worker, task)
        val isSlow = isSlow(ratio, task, tookMs.toDouble(), expectedMs * exp(ratio.logRatio))
        if (expectedMs > 0) learn(ratio, tookMs, expectedMs)
        if (task.slowRunNumber == task.runNumber) return
        if (isSlow) onSlowRun(worker, task) else onUsualRun(worker)
    }

    /** Members of a gang wait for each other, and rack-sensitive tasks depend on where the others run. */
    private fun isComparable(task: TaskRun): Boolean {
        val step = task.stepRun.step
        return !step.isLongRunning && !step.isGang && !step.isRackSensitive && !step.isBestEffort
    }

    private fun ratioOf(
        worker: WorkerView,
        task: TaskRun,
    ): ClassRatio {
        val rack = task.stepRun.step.preferredRack
        val workClass = WorkClass(task.stepRun.job.queue.name, task.stepRun.number, rack != null && rack !in worker.entry.labels)
        return ratios.getOrPut(workClass) { ClassRatio(avoidance.nowMs) }
    }

    private fun isSlow(
        ratio: ClassRatio,
        task: TaskRun,
        ms: Double,
        usualMs: Double,
    ): Boolean = task.startedAtMs >= (ratio.knownSinceMs ?: Long.MAX_VALUE) && ms > usualMs * SLOW_FACTOR

    /** Bounded steps keep the ratio near the median, whatever single runs take. */
    private fun learn(
        ratio: ClassRatio,
        tookMs: Long,
        expectedMs: Double,
    ) {
        ratio.runCount++
        val step = (ln(maxOf(tookMs, 1) / expectedMs) - ratio.logRatio).coerceIn(-MAX_STEP, MAX_STEP)
        ratio.logRatio += step / minOf(ratio.runCount, RATIO_WINDOW_RUNS)
        val isKnown = ratio.runCount >= MIN_CLASS_RUNS && avoidance.nowMs - ratio.sinceMs > tookMs * KNOWN_AFTER_RUN_TIMES
        if (isKnown && ratio.knownSinceMs == null) ratio.knownSinceMs = avoidance.nowMs
    }

    private fun onUsualRun(worker: WorkerView) {
        val record = worker.record
        record.slowRuns.add(isHit = false, avoidance.nowMs)
        if (record.slownessEvidence == 0.0) return
        record.slownessEvidence = maxOf(0.0, record.slownessEvidence - ln((1 - peerRatio(worker)) / (1 - SLOW_WORKER_RATIO)))
    }

    private fun onSlowRun(
        worker: WorkerView,
        task: TaskRun,
    ) {
        val record = worker.record
        task.slowRunNumber = task.runNumber
        record.slowRuns.add(isHit = true, avoidance.nowMs)
        if (record.isAvoided(avoidance.nowMs)) return
        val peerRatio = peerRatio(worker)
        record.slownessEvidence += ln(SLOW_WORKER_RATIO / peerRatio)
        val score = record.slownessEvidence
        val isRackSlow = isRackSlow(worker)
        val threshold =
            if (record.isOnProbation(avoidance.nowMs)) {
                PROBATION_THRESHOLD
            } else if (isRackSlow) {
                RACK_THRESHOLD
            } else {
                THRESHOLD
            }
        if (score < threshold) return
        record.isAvoidedAsSlow = true
        avoidance.avoid(worker, "worker_slow", "score", score, "peerSlowRatio", peerRatio, "rackSlow", isRackSlow)
    }

    private fun peerRatio(worker: WorkerView): Double =
        avoidance.peerRatio(worker, USUAL_SLOW_RATIO) { it.slowRuns }.coerceIn(USUAL_SLOW_RATIO, MAX_PEER_SLOW_RATIO)

    /** True if other workers of the rack are slow, so that fewer slow runs are enough. */
    private fun isRackSlow(worker: WorkerView): Boolean {
        val rack = avoidance.rackOf(worker)
        val slow = rack.count { it !== worker && it.record.isAvoidedAsSlow && it.record.isAvoided(avoidance.nowMs) }
        return slow >= MIN_SLOW_IN_RACK && slow >= rack.size * SLOW_RACK_SHARE
    }

    private companion object {
        /** A run this many times as long as usual is slow: slow workers take four times as long or more. */
        const val SLOW_FACTOR = 3.0

        /** A running run is judged once it has taken this share of its usual time, when its percentage says enough. */
        const val JUDGED_FROM_SHARE = 0.5

        /** Shorter runs are judged only at their end: the order and the report take tens of milliseconds. */
        const val MIN_ELAPSED_MS = 250.0
        const val FULL_PERCENT = 100.0

        /** Three runs in 100 take seven times as long as the others. */
        const val USUAL_SLOW_RATIO = 0.04
        const val MAX_PEER_SLOW_RATIO = 0.8

        /** Share of slow runs on a slow worker. */
        const val SLOW_WORKER_RATIO = 0.9

        /** Evidence at which a worker is slow: three slow runs without a usual one between. Two are chance once in 1,000 runs. */
        const val THRESHOLD = 7.0

        /** The same in a rack with slow workers: two slow runs. */
        const val RACK_THRESHOLD = 5.0

        /** The same on probation: one slow run. */
        const val PROBATION_THRESHOLD = 2.5

        /** Slow workers that make a rack suspect: two happen by chance. */
        const val MIN_SLOW_IN_RACK = 3
        const val SLOW_RACK_SHARE = 0.2

        /** Ended runs before which a class is not known: until then only the expectation may be wrong. */
        const val MIN_CLASS_RUNS = 20

        /** Age in run times before which a class is not known: its shortest runs end first. */
        const val KNOWN_AFTER_RUN_TIMES = 4
        const val RATIO_WINDOW_RUNS = 50
        const val MAX_STEP = 1.0

        /** Bounds the memory: steps of some hundred queues. */
        const val MAX_CLASSES = 1_024
        const val LOAD_FACTOR = 0.75f
    }
}
