/*
 * The record of executions that invariant checks compare with the callers' view.
 */
package io.corianderrock.standins.upstream

import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentLinkedQueue

/** One execution of a request by a worker. [work] is the caller's own id of the piece of work. */
@Serializable
public data class Execution(
    val requestId: String,
    val work: String,
    val worker: String,
)

/** Executions, in the order in which they started. */
@Serializable
public data class LedgerPage(
    val executions: List<Execution>,
    val maxSlotsInUse: Int,
    val refusals: Long,
)

/** Collects executions from many threads. */
public class Ledger {
    private val executions = ConcurrentLinkedQueue<Execution>()

    /** Records that [execution] started. */
    public fun record(execution: Execution) {
        executions.add(execution)
    }

    /** All executions so far. */
    public fun all(): List<Execution> = executions.toList()

    /** Forgets all executions. */
    public fun clear() {
        executions.clear()
    }
}
