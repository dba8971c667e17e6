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
    JOB_SENT,
    CANCEL_SENT,
    STATE_ASKED,
    START_ANSWERED,
    RUN_STOPPED,
    ENTRY_RESTARTED,
    ENTRY_REMOVED,
    ENTRY_FROZEN,
    ENTRY_ISOLATED,
    WORKER_CUT_OFF,
    WORKER_CRASHED,
    WORKER_RESTARTED,
    WORKER_DRAINED,
    WORKER_JOINED,
    ORDERS_LATE,

    /** A connection between an entry and a worker goes silent. */
    CONNECTION_SILENT,

    /** An order to an instance is answered as done that was carried out before the present worker joined. */
    ORDER_WAS_DONE,

    /** A start is sent that its worker will carry out late. */
    START_DELAYED,
    STORE_DISRUPTED,
    CONFIGURED,
}

/** What happens now, and the job and the worker that it concerns, if any. */
internal class WorldEvent(
    val kind: EventKind,
    val jobId: String? = null,
    val worker: SimWorker? = null,
)

internal class WorldEvents {
    private val listeners = ArrayList<(WorldEvent) -> Unit>()
    private val listedRuns = HashSet<Pair<TaskId, Long>>()

    /** Calls [listener] with each event. */
    fun listen(listener: (WorldEvent) -> Unit) {
        listeners.add(listener)
    }

    /** Called with the runs of a list of [worker] that reaches an entry. */
    fun onListed(
        worker: SimWorker,
        rows: List<RunningRow>,
    ) {
        for (row in rows) if (listedRuns.add(row.task to row.runNumber)) publish(EventKind.RUN_LISTED, row.task.jobId, worker)
    }

    fun publish(
        kind: EventKind,
        jobId: String? = null,
        worker: SimWorker? = null,
    ) {
        if (listeners.isEmpty()) return
        val event = WorldEvent(kind, jobId, worker)
        listeners.forEach { it(event) }
    }
}

/** Counts ordered pairs of events within [WITHIN_MS] that can concern each other: of one job, of one worker, or one of them of all. */
internal class EventPairs(
    private val time: SimTime,
) {
    private val recent = ArrayDeque<Pair<Long, WorldEvent>>()
    private val counts = HashMap<Pair<EventKind, EventKind>, Int>()

    fun onEvent(event: WorldEvent) {
        while (recent.isNotEmpty() && recent.first().first < time.nowMs - WITHIN_MS) recent.removeFirst()
        recent
            .filter { (_, earlier) -> mayConcern(earlier, event) }
            .mapTo(HashSet()) { (_, earlier) -> earlier.kind to event.kind }
            .forEach { counts.merge(it, 1, Int::plus) }
        recent.addLast(time.nowMs to event)
    }

    private fun mayConcern(
        earlier: WorldEvent,
        later: WorldEvent,
    ): Boolean {
        val isGeneral = listOf(earlier, later).any { it.jobId == null && it.worker == null }
        val isSameJob = earlier.jobId != null && earlier.jobId == later.jobId
        val isSameWorker = earlier.worker != null && earlier.worker === later.worker && (earlier.jobId == null || later.jobId == null)
        return isGeneral || isSameJob || isSameWorker
    }

    /** Adds the counts of this history to [totals]. */
    fun addTo(totals: MutableMap<Pair<EventKind, EventKind>, Int>) =
        counts.forEach { (pair, count) -> totals.merge(pair, count, Int::plus) }

    companion object {
        const val WITHIN_MS = 50L
    }
}
