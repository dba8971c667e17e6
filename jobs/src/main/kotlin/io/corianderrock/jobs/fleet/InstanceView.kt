/*
 * The scheduler's view of one instance. Owned by the event loop.
 */
package io.corianderrock.jobs.fleet

import io.corianderrock.jobs.ports.Instance
import io.corianderrock.jobs.ports.WorkerEntry

/** Why an instance is cordoned and drained. */
internal enum class CordonReason { SURPLUS, MAINTENANCE }

internal class InstanceView(
    var instance: Instance,
) {
    /** When this view was last changed by an order; lists that were requested earlier do not replace it. */
    var changedAtMs: Long = Long.MIN_VALUE

    /** True while an order is stored, sent or waits for its answer. */
    var isOrdered: Boolean = false

    /** True from an order without an answer, which may still be carried out, until a list shows the instance. */
    var isOutcomeOpen: Boolean = false

    /** The pool to which the unanswered order moves the instance. */
    var movingTo: String? = null

    /**
     * The worker on which an accepted order found the instance, until a list tells whether it has ended: an order that was carried out
     * before is accepted once more and ends nothing.
     */
    var endingWorker: WorkerEntry? = null
    var retryAtMs: Long = 0
    var cordonReason: CordonReason? = null
    var joinedAtMs: Long = 0

    /** The pool that the instance serves, or will serve when its order has been carried out. */
    val pool: String get() = movingTo ?: instance.pool
}
