/*
 * Gangs and checkpoints of simulated runs, by the platform's contract: the members of a gang work only while all of them run, each of
 * them ends if another one does, and one that waits too long for the others ends alone.
 */
package io.corianderrock.jobs.world

import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.state.TaskId

/** The runs of a gang of [size] members under one number. If it [fails], its first member does so halfway. */
internal class SimGang(
    private val size: Int,
    val fails: Boolean,
) {
    private val startedAtMs = HashMap<TaskId, Long>()
    private val ticks = HashMap<TaskId, () -> Unit>()
    private val ended = HashSet<TaskId>()
    private var brokenAtMs: Long? = null

    /** Since when all members have run; null if some have not begun. */
    var worksSinceMs: Long? = null
        private set

    /** Called when the run of [member] has begun; [tick] has its worker end what is due there. */
    fun onStart(
        member: TaskId,
        nowMs: Long,
        tick: () -> Unit,
    ) {
        startedAtMs[member] = nowMs
        ticks[member] = tick
        if (startedAtMs.size == size && brokenAtMs == null) worksSinceMs = nowMs
    }

    fun onEnd(
        member: TaskId,
        kind: EndKind,
        nowMs: Long,
    ) {
        ended.add(member)
        if (kind == EndKind.DONE) ticks.filterKeys { it !in ended }.values.forEach { it() } else brokenAtMs = brokenAtMs ?: nowMs
    }

    /** How the run of [member] ends at [nowMs] because of the other members; null if it goes on. */
    fun endOf(
        member: TaskId,
        nowMs: Long,
    ): EndKind? =
        when {
            member in ended -> null
            brokenAtMs != null -> EndKind.BROKEN
            worksSinceMs == null && nowMs - startedAtMs.getValue(member) >= ALONE_AFTER_MS -> EndKind.ALONE
            else -> null
        }

    private companion object {
        const val ALONE_AFTER_MS = 3_000L
    }
}

/** A checkpoint of [task], or of its gang, with [savedMs] of its work. */
internal class SimCheckpoint(
    private val task: TaskId,
    private val isOfGang: Boolean,
    private val savedMs: Long,
) {
    val text: String get() = "${ownerOf(task, isOfGang)}:$savedMs"

    companion object {
        fun savedMs(text: String): Long = text.substringAfter(':').toLong()

        /** True if the checkpoint [text] is one of [task], or of its gang. */
        fun isOf(
            text: String,
            task: TaskId,
            isOfGang: Boolean,
        ): Boolean = text.substringBefore(':') == ownerOf(task, isOfGang)

        private fun ownerOf(
            task: TaskId,
            isOfGang: Boolean,
        ): String = if (isOfGang) "${task.jobId}.${task.occurrence}.${task.step}" else task.toString()
    }
}
