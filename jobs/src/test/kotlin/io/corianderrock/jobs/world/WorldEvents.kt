/*
 * What happens to jobs and owners in a simulation, for parts of it that act close to such events.
 */
package io.corianderrock.jobs.world

import io.corianderrock.jobs.ports.RunningRow
import io.corianderrock.jobs.state.TaskId

internal enum class EventKind {
    JOB_ACCEPTED,

    /** A worker begins a run. */
    RUN_STARTED,

    /** A list that shows a run for the first time reaches an entry. */
    RUN_LISTED,
    RUN_ENDED,
    CANCEL_ACKNOWLEDGED,

    /** An entry begins to schedule. */
    OWNER_CHANGED,
}

internal class WorldEvents {
    private val listeners = ArrayList<(EventKind, String?) -> Unit>()
    private val listedRuns = HashSet<Pair<TaskId, Long>>()

    /** Calls [listener] with each event and the job that it concerns, null for events of owners. */
    fun listen(listener: (EventKind, String?) -> Unit) {
        listeners.add(listener)
    }

    /** Called with the runs of a list that reaches an entry. */
    fun onListed(rows: List<RunningRow>) {
        for (row in rows) if (listedRuns.add(row.task to row.runNumber)) publish(EventKind.RUN_LISTED, row.task.jobId)
    }

    fun publish(
        kind: EventKind,
        jobId: String? = null,
    ) = listeners.forEach { it(kind, jobId) }
}
