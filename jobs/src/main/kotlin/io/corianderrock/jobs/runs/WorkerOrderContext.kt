/*
 * What all orders of one ownership term to workers share.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.WorkerLink

/** The link to the workers and the right to order them. */
internal class WorkerOrderContext(
    val loop: EventLoop,
    val link: WorkerLink,
    val log: DecisionLog,
    /** Fence of all orders. */
    val epoch: Long,
    val mayOrder: () -> Boolean,
    /** True if starts may be ordered now; other orders need [mayOrder] alone. */
    val mayStart: () -> Boolean,
    /** Called with a pool in which capacity or waiting tasks have changed, null for all pools. */
    val onChange: (String?) -> Unit,
    /** Called when a worker has rejected the fence. */
    val onFenced: () -> Unit,
) {
    /** True once the term has ended, so that [mayOrder] does not become true again. */
    var isOver: Boolean = false
}
