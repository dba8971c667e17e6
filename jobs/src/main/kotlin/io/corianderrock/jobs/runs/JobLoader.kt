/*
 * Loads the jobs of earlier owners, page by page: first the progress of all jobs, which tells those that have ended long ago, then the jobs,
 * of which those are left out. An owner holds the jobs that are live or may still be queried, and of each that is to be deleted an id and a
 * time.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.StoredRow
import io.corianderrock.jobs.state.JobProgress
import io.corianderrock.jobs.state.TaskPositions

/** Adds jobs to [registry]. Used on the event loop only. */
internal class JobLoader(
    private val registry: JobRegistry,
) {
    private val progressById = HashMap<String, StoredRow>()
    private val groups = ArrayList<StoredRow>()
    private val withUnreadableGroups = HashSet<String>()

    /** Number of jobs that have ended and were not loaded. */
    var notLoadedCount = 0
        private set

    /** Takes [rows] of the table of progress. */
    fun addProgress(rows: List<StoredRow>) = rows.forEach { addProgress(it) }

    private fun addProgress(row: StoredRow) {
        val group = TaskPositions.parseGroupKey(row.key)
        if (group != null) {
            groups.add(row)
            return
        }
        val progress = decodeStored(JobProgress.serializer(), row.value)
        if (progress != null && progress.state.isFinal && registry.retention.isExpired(progress.finishedWallMs)) {
            registry.retention.addNotLoaded(row.key.key, progress.finishedWallMs)
            notLoadedCount++
        } else {
            progressById[row.key.key] = row
        }
    }

    /** Called after the last page of progress. */
    fun onProgressRead() {
        withUnreadableGroups.addAll(jobsWithUnreadableGroups(groups))
    }

    /** Takes [rows] of the table of jobs. */
    fun addJobs(rows: List<StoredRow>) = rows.forEach { addJob(it) }

    private fun addJob(row: StoredRow) {
        val id = row.key.key
        if (registry.retention.isNotLoaded(id)) return
        val stored = readJob(row, progressById.remove(id))
        when {
            stored is StoredJob.Unreadable -> registry.addUnreadable(id, stored.reason)
            stored is StoredJob.Unrunnable -> registry.failUnrunnable(stored)
            id in withUnreadableGroups -> registry.addUnreadable(id, "not the failed runs of a group")
            stored is StoredJob.Readable -> registry.load(stored.submission, stored.progress, isInherited = true)
        }
    }

    /** Called after the last page of jobs. */
    fun onJobsRead() = registry.loadGroups(groups)
}
