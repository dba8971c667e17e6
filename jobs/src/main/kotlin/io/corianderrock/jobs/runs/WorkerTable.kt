/*
 * The workers that an owner knows.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.state.UnsettledStarts
import io.corianderrock.jobs.state.WorkerView

/** Workers by id and by instance. */
internal class WorkerTable(
    private val longestLeaseMs: Long,
) {
    private val byId = LinkedHashMap<String, WorkerView>()

    /** Workers in discovery, by the id of their instance. */
    private val listedByInstance = HashMap<String, WorkerView>()

    /** What was sent to workers that were removed and may be listed again under their ids. */
    private val unsettledStartsOfRemoved = HashMap<String, UnsettledStarts>()

    val all: Collection<WorkerView> get() = byId.values

    fun find(id: String): WorkerView? = byId[id]

    /** The worker that discovery lists on the instance [instanceId], or null. */
    fun listedOn(instanceId: String): WorkerView? = listedByInstance[instanceId]

    operator fun contains(worker: WorkerView): Boolean = byId[worker.id] === worker

    /** Adds the worker of [entry], which is not known, with the starts that may still arrive there; none of them counts as stopped. */
    fun add(
        entry: WorkerEntry,
        fence: Long,
    ): WorkerView {
        val starts = unsettledStartsOfRemoved.remove(entry.id) ?: UnsettledStarts(longestLeaseMs)
        starts.beginIncarnation()
        val worker = WorkerView(entry, fence, starts)
        byId[worker.id] = worker
        return worker
    }

    /** Removes [worker] at [nowMs]. */
    fun remove(
        worker: WorkerView,
        nowMs: Long,
    ) {
        byId.remove(worker.id)
        worker.retire()
        unsettledStartsOfRemoved.values.removeAll { it.isEmpty(nowMs) }
        if (!worker.unsettledStarts.isEmpty(nowMs)) unsettledStartsOfRemoved[worker.id] = worker.unsettledStarts
        unlinkInstance(worker)
    }

    /**
     * Records that discovery lists [worker] on its instance, unless one is listed there that was started later, or that has answered
     * by its row while [worker] has not.
     */
    fun linkInstance(worker: WorkerView) {
        val instanceId = worker.entry.instanceId ?: return
        val listed = listedByInstance[instanceId]
        if (listed == null || CURRENT_LAST.compare(listed, worker) <= 0) listedByInstance[instanceId] = worker
    }

    fun unlinkInstance(worker: WorkerView) {
        worker.entry.instanceId?.let { listedByInstance.remove(it, worker) }
    }

    private companion object {
        val CURRENT_LAST: Comparator<WorkerView> = compareBy({ it.isReconciled && it.isEntryAnswered }, { it.entry.bornWallMs })
    }
}
