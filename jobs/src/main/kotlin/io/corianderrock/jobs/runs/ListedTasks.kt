/*
 * The tasks of listed runs and ends. What a worker lists was started by an owner that may have known more than this one: a job that another
 * entry stored just after this owner had loaded all jobs, an occurrence that is not due yet by this entry's clock, or a job that a later
 * version has stored in a form that this one cannot read. An end that is acknowledged without being recorded is lost, so that its task runs
 * again; a run that is stopped as unknown runs again beside the first.
 *
 * So not knowing a task proves nothing. An owner acknowledges an end without recording it, and stops a run without a place for it, only if
 * no task can be missing: the job has ended; the store does not hold it, so that it was deleted after its end, as it is stored before its
 * first start; or it has no such task by its submission, which never changes. Of a job that it cannot read, it keeps both for a later owner.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.WorkerAnswer
import io.corianderrock.jobs.state.TaskId
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView

/** Reads a job of the store into the registry; [find]'s callback gets false if the store did not tell whether there is one. */
internal fun interface JobFinder {
    fun find(
        id: String,
        onResult: (Boolean) -> Unit,
    )
}

/** What an owner knows of a task that a worker lists. */
internal sealed interface ListedTask {
    /** The [task] of a live job. */
    data class Known(
        val task: TaskRun,
    ) : ListedTask

    /** The store holds the job of the task, and this version cannot read it. */
    data object Unreadable : ListedTask

    /** No end of the task changes anything, and no run of it is to go on, as [reason] tells. */
    data class Over(
        val reason: String,
    ) : ListedTask
}

/** Finds the tasks of listed runs, and looks up the jobs that [registry] does not hold. Used on the event loop only. */
internal class ListedTasks(
    private val loop: EventLoop,
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
        return (lists.running.map { it.task.jobId } + ended).filterNotTo(HashSet()) { isLookedUp(it) || it in deleted }
    }

    /** True if the store is known to hold the job [id], whether or not it can be read. */
    private fun isLookedUp(id: String): Boolean = registry.find(id)?.isStored == true || registry.isUnreadable(id)

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

    /** True if the store holds the job of the task [id] in a form that this version cannot read. */
    fun isUnreadable(id: TaskId): Boolean = registry.isUnreadable(id.jobId)

    /** The task [id], whose job has been looked up. */
    fun resolve(id: TaskId): ListedTask {
        if (isUnreadable(id)) return ListedTask.Unreadable
        val job = registry.find(id.jobId) ?: return ListedTask.Over("the store does not hold the job")
        if (!job.isLive) return ListedTask.Over("the job is ${job.state}")
        return job.listedTask(id, loop.nowMs)?.let(ListedTask::Known) ?: ListedTask.Over("the job has no such task")
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
            if (isAnswered && !isLookedUp(id)) deleted.add(id)
            reads.remove(id)?.forEach { it(isAnswered) }
        }
    }
}
