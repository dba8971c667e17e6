/*
 * Deletion of jobs whose state callers may not query any more, in memory and in the store, oldest first. Ended jobs go as fast as new ones
 * come: what is due goes every few seconds, in transactions of its own or with other writes, and a backlog, as after an outage of the store
 * or a takeover from an older version, in one transaction after the other while no other write waits.
 *
 * Deletions are idempotent. Both rows of a job go in one transaction, or the row of the job goes first: then the next owner finds an ended
 * job and deletes it. A job without its progress would begin anew. The order does not hold where a write of the progress waits already,
 * which keeps its place in the queue, and the transaction has no room for both.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.Table
import java.util.PriorityQueue

/** Deletes jobs through [committer]. Used on the event loop only. */
internal class Retention(
    private val loop: EventLoop,
    private val committer: Committer,
    private val log: DecisionLog,
) {
    private class EndedJob(
        val id: String,
        /** When it is to be deleted, by the loop's clock: the time of day may jump. */
        val expiresAtMs: Long,
        /** Removes the job from memory; false if it is to stay. */
        val forget: () -> Boolean,
    )

    private val ended = PriorityQueue<EndedJob>(compareBy { it.expiresAtMs })

    /** Ended jobs that the store may hold and the memory does not: expired when the owner loaded the store, or being deleted. */
    private val notLoaded = HashSet<String>()
    private var nextPassAtMs = Long.MIN_VALUE
    private var deletedInSeries = 0

    /** Number of ended jobs that are not deleted yet. */
    val keptCount: Int get() = ended.size

    /** True if a job that ended at [endedWallMs] by the time of day is to be deleted. */
    fun isExpired(endedWallMs: Long): Boolean = loop.wallMs - endedWallMs > RETENTION_MS

    /** True if the store may hold the job [id], which has ended, and which is not held in memory. */
    fun isNotLoaded(id: String): Boolean = id in notLoaded

    /** Schedules the deletion of the job [id], whose end is stored; [forget] removes it from memory and returns whether it did. */
    fun add(
        id: String,
        endedWallMs: Long,
        forget: () -> Boolean,
    ) {
        ended.add(EndedJob(id, expiresAtMs(endedWallMs), forget))
        notLoaded.remove(id)
    }

    /** Schedules the deletion of the expired job [id], which is not loaded. */
    fun addNotLoaded(
        id: String,
        endedWallMs: Long,
    ) {
        notLoaded.add(id)
        ended.add(EndedJob(id, expiresAtMs(endedWallMs)) { id in notLoaded })
    }

    /** An end in the future, by a clock that has been set back, counts as one of now. */
    private fun expiresAtMs(endedWallMs: Long): Long = loop.nowMs + RETENTION_MS - maxOf(0, loop.wallMs - endedWallMs)

    /** Called at each tick. */
    fun deleteIfDue() {
        if (loop.nowMs < nextPassAtMs) return
        val hasRoom = committer.pendingCount <= MAX_PENDING
        if (hasRoom) deleteSome()
        val isBacklog = isFirstDue
        nextPassAtMs = loop.nowMs + if (isBacklog) BACKLOG_INTERVAL_MS else INTERVAL_MS
        if (!isBacklog) logSeries()
    }

    private val isFirstDue: Boolean get() = ended.peek()?.let { it.expiresAtMs < loop.nowMs } == true

    private fun deleteSome() {
        repeat(MAX_DELETED) {
            val job = ended.takeIf { isFirstDue }?.poll() ?: return
            if (job.forget()) delete(job.id)
        }
    }

    private fun delete(id: String) {
        notLoaded.add(id)
        deletedInSeries++
        committer.put(RowKey(Table.JOBS, id), onStored = { notLoaded.remove(id) }) { null }
        committer.put(RowKey(Table.PROGRESS, id)) { null }
    }

    private fun logSeries() {
        if (deletedInSeries > 0) log.write("jobs_deleted", "count", deletedInSeries, "kept", keptCount)
        deletedInSeries = 0
    }

    companion object {
        /** Callers may query a job for 120 s after it became final; a quarter more allows for slow clocks. */
        const val RETENTION_MS = 150_000L

        /** Jobs deleted in one pass: their two rows each fit into one transaction. */
        const val MAX_DELETED = 45

        /** Writes that may wait before a pass, so that deletions do not delay them. */
        const val MAX_PENDING = 8

        /** Time between two passes. */
        private const val INTERVAL_MS = 5_000L

        /** Time between two passes while there is a backlog: 450 jobs a second, by ten transactions. */
        private const val BACKLOG_INTERVAL_MS = 100L
    }
}
