/*
 * Keeps the views of all instances up to date with the platform's lists, requested more often while instances are in transit.
 */
package io.corianderrock.jobs.fleet

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.Instance
import io.corianderrock.jobs.ports.InstanceService
import io.corianderrock.jobs.ports.InstanceState
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.runs.WorkerDriver

internal class InstanceListing(
    private val loop: EventLoop,
    private val service: InstanceService,
    private val driver: WorkerDriver,
    private val log: DecisionLog,
) {
    private val views = LinkedHashMap<String, InstanceView>()
    private var isListing = false
    private var listedAtMs = Long.MIN_VALUE / 2

    /** True once a list has been received. */
    val hasList: Boolean get() = requestedAtMs != null

    /** Loop time at which the last list that was received had been requested, null if there is none. */
    var requestedAtMs: Long? = null
        private set

    val byId: Map<String, InstanceView> get() = views

    /** Requests a new list when one is due. */
    fun refresh() {
        val isAnyInTransit = views.values.any { it.instance.state != InstanceState.UP }
        val intervalMs = if (isAnyInTransit || driver.hasSilentWorkers) LIST_INTERVAL_TRANSIT_MS else LIST_INTERVAL_MS
        if (isListing || loop.nowMs - listedAtMs < intervalMs) return
        isListing = true
        val sentAtMs = loop.nowMs
        service.list { instances ->
            isListing = false
            listedAtMs = loop.nowMs
            if (instances == null) {
                log.write("machine_list_lost", "tookMs", loop.nowMs - sentAtMs)
                listedAtMs += LIST_RETRY_MS - LIST_INTERVAL_MS
            } else {
                onList(instances, sentAtMs)
            }
        }
    }

    private fun onList(
        instances: List<Instance>,
        sentAtMs: Long,
    ) {
        requestedAtMs = sentAtMs
        driver.onInstancesListed(instances, sentAtMs)
        for (instance in instances) {
            val view = views.getOrPut(instance.id) { InstanceView(instance) }
            if (view.isOrdered || view.changedAtMs >= sentAtMs) continue
            if (view.isOutcomeOpen) settleOutcome(view, instance)
            view.endingWorker?.let { settleEnd(view, instance, it, sentAtMs) }
            if (view.instance.state != instance.state || view.instance.workerId != instance.workerId) logListed(view.instance, instance)
            if (view.instance.state != InstanceState.UP && instance.state == InstanceState.UP) view.joinedAtMs = loop.nowMs
            view.instance = instance
            if (instance.state == InstanceState.UP) driver.onInstanceListed(instance.id, instance.workerId)
        }
        val listed = instances.mapTo(HashSet()) { it.id }
        val unlisted = views.values.filter { it.instance.id !in listed && it.changedAtMs < sentAtMs }
        for (view in unlisted) {
            log.write("instance_unlisted", "instance", view.instance.id, "pool", view.instance.pool, "worker", view.instance.workerId)
            views.remove(view.instance.id)
        }
    }

    /** An unanswered move that [listed] shows to be carried out ends the cordon, as an accepted one does. */
    private fun settleOutcome(
        view: InstanceView,
        listed: Instance,
    ) {
        view.isOutcomeOpen = false
        val isMoved = listed.state == InstanceState.MOVING || listed.pool != view.instance.pool
        if (isMoved && view.cordonReason == CordonReason.SURPLUS) view.cordonReason = null
    }

    /**
     * Removes the worker of [entry], on which an accepted order found the instance, if [listed], requested at [sentAtMs], shows that it
     * has ended. If it shows the worker still, the order was carried out before that joined: it runs on, and may be used.
     */
    private fun settleEnd(
        view: InstanceView,
        listed: Instance,
        entry: WorkerEntry,
        sentAtMs: Long,
    ) {
        val isUp = listed.state == InstanceState.UP
        // It may have started again under its id after the moment of the list.
        if (driver.find(entry.id)?.let { it.lastAnsweredAtMs >= sentAtMs } == true) return
        if (listed.state == InstanceState.UNKNOWN || isUp && listed.workerId == null) return
        view.endingWorker = null
        if (isUp && listed.workerId == entry.id) {
            log.write("order_was_done", "instance", listed.id, "worker", entry.id)
            if (driver.find(entry.id) == null) driver.onListed(entry)
            driver.find(entry.id)?.isCordoned = view.cordonReason != null
        } else {
            driver.onWorkerTerminated(entry.id)
        }
    }

    private fun logListed(
        before: Instance,
        listed: Instance,
    ) = log.write(
        "instance_listed",
        "instance",
        listed.id,
        "pool",
        listed.pool,
        "state",
        listed.state,
        "worker",
        listed.workerId,
        "stateBefore",
        before.state,
        "workerBefore",
        before.workerId,
    )

    private companion object {
        /** Delay before retrying a failed list call. */
        const val LIST_RETRY_MS = 300L

        /** Interval between list calls. */
        const val LIST_INTERVAL_MS = 3_000L

        /** Interval between list calls while some instance is not up or some worker with runs does not answer. */
        const val LIST_INTERVAL_TRANSIT_MS = 500L
    }
}
