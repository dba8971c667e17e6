/*
 * The workers that an owner knows.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.state.WorkerView

/** Workers by id and by instance. */
internal class WorkerTable {
    private val byId = LinkedHashMap<String, WorkerView>()

    /** Workers in discovery, by the id of their instance. */
    private val listedByInstance = HashMap<String, WorkerView>()

    val all: Collection<WorkerView> get() = byId.values

    fun find(id: String): WorkerView? = byId[id]

    /** The worker that discovery lists on the instance [instanceId], or null. */
    fun listedOn(instanceId: String): WorkerView? = listedByInstance[instanceId]

    operator fun contains(worker: WorkerView): Boolean = byId[worker.id] === worker

    fun add(worker: WorkerView) {
        byId[worker.id] = worker
    }

    fun remove(worker: WorkerView) {
        byId.remove(worker.id)
        unlinkInstance(worker)
    }

    /** Records that discovery lists [worker] on its instance, unless a worker is listed there that was started later. */
    fun linkInstance(worker: WorkerView) {
        val instanceId = worker.entry.instanceId ?: return
        val listed = listedByInstance[instanceId]
        if (listed == null || listed.entry.bornWallMs <= worker.entry.bornWallMs) listedByInstance[instanceId] = worker
    }

    fun unlinkInstance(worker: WorkerView) {
        worker.entry.instanceId?.let { listedByInstance.remove(it, worker) }
    }
}
