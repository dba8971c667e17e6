/*
 * The scheduler's view of one instance. Owned by the event loop.
 */
package io.corianderrock.jobs.fleet

import io.corianderrock.jobs.ports.Machine

/** Why an instance is being emptied. */
internal enum class SetAsideReason { SURPLUS, MAINTENANCE }

internal class MachineView(
    var machine: Machine,
) {
    /** When this view was last changed by an order; lists that were asked for earlier do not replace it. */
    var changedAtMs: Long = Long.MIN_VALUE

    /** True while an order is unanswered or its answer was lost. */
    var isOrdered: Boolean = false
    var retryAtMs: Long = 0
    var setAside: SetAsideReason? = null
    var joinedAtMs: Long = 0
}
