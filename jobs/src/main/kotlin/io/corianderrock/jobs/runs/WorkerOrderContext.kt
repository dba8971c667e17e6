/*
 * What all orders of one ownership term to workers share.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.WorkerLink
import io.corianderrock.jobs.state.WorkerView

/** The link to the workers and the right to order them. */
internal class WorkerOrderContext(
    val loop: EventLoop,
    val link: WorkerLink,
    val log: DecisionLog,
    /** Epoch of the ownership, from which the fences of all orders are derived. */
    val epoch: Long,
    val mayOrder: () -> Boolean,
    /** True if starts may be ordered now; other orders need [mayOrder] alone. */
    val mayStart: () -> Boolean,
    /** Called with a pool in which capacity or waiting tasks have changed, null for all pools. */
    val onChange: (String?) -> Unit,
    /** Called when a worker has rejected the highest fence that it was sent: there may be a later owner. */
    private val onFenced: () -> Unit,
) {
    /** True once the term has ended, so that [mayOrder] does not become true again. */
    var isOver: Boolean = false
    private var fenceCount = 0L

    /** A fence above all that this owner and earlier ones have used. */
    fun nextFence(): Long = epoch * FENCES_PER_EPOCH + fenceCount++

    /** Called when [worker] has rejected an order under [fence]. Orders to its last incarnation are rejected by design. */
    fun onFenceRejected(
        worker: WorkerView,
        fence: Long,
    ) {
        if (fence >= worker.fence) onFenced()
    }

    private companion object {
        /** Fences of one epoch: each worker and each incarnation of it takes one. */
        const val FENCES_PER_EPOCH = 1_000_000L
    }
}
