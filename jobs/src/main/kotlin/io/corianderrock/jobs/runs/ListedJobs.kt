/*
 * The jobs of listed runs. A job that another entry stored just after this owner had loaded all jobs may have been started by the owner
 * before, whose inbox it reached first. Its runs and ends say nothing to an owner that does not know it, and an end that is acknowledged
 * unread is lost; so the job is looked up before its runs are taken note of.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.WorkerAnswer
import io.corianderrock.jobs.state.TaskId
import io.corianderrock.jobs.state.WorkerView

/** Reads a job of the store into the registry; [find]'s callback gets false if the store did not tell whether there is one. */
internal fun interface JobFinder {
    fun find(
        id: String,
        onResult: (Boolean) -> Unit,
    )
}

/** Looks up jobs that [registry] does not hold. Used on the event loop only. */
internal class ListedJobs(
    private val registry: JobRegistry,
    private val finder: JobFinder,
) {
    /** Jobs that are not in the store: a job is stored before its first start, so these were deleted. */
    private val deleted = HashSet<String>()

    /** Callbacks by job whose read has no answer yet. */
    private val reads = HashMap<String, ArrayList<(Boolean) -> Unit>>()

    /** The jobs of the runs and new ends in [lists] of [worker] that have to be looked up first. */
    fun unknownIn(
        worker: WorkerView,
        lists: WorkerAnswer.Listed,
    ): Set<String> {
        val ended = lists.ended.filter { it.number > worker.processedEnd }.map { it.task.jobId }
        return (lists.running.map { it.task.jobId } + ended).filterNotTo(HashSet()) { registry.find(it)?.isStored == true || it in deleted }
    }

    /** Looks up [ids]; [onFound] is called once all are known or known to be deleted, and not if a read fails. */
    fun find(
        ids: Set<String>,
        onFound: () -> Unit,
    ) {
        var openCount = ids.size
        for (id in ids) {
            read(id) { isAnswered ->
                if (isAnswered) openCount--
                if (isAnswered && openCount == 0) onFound()
            }
        }
    }

    /** Why no task of a live job is known under [id], for the log; with the time until the task's occurrence is due by this entry's clock. */
    fun explainUnknown(
        id: TaskId,
        wallMs: Long,
    ): String {
        val job = registry.find(id.jobId)
        return when {
            job == null -> if (id.jobId in deleted) "job not found" else "job not read"
            !job.isLive -> "job ${job.state}"
            id.occurrence in job.occurrences -> "no such task"
            else -> "occurrence not added, due in ${job.submission.dueWallMs(id.occurrence) - wallMs} ms"
        }
    }

    private fun read(
        id: String,
        onResult: (Boolean) -> Unit,
    ) {
        reads[id]?.let {
            it.add(onResult)
            return
        }
        reads[id] = arrayListOf(onResult)
        finder.find(id) { isAnswered ->
            if (isAnswered && registry.find(id)?.isStored != true) deleted.add(id)
            reads.remove(id)?.forEach { it(isAnswered) }
        }
    }
}
