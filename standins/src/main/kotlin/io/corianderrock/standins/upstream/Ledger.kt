/*
 * Log of the executions on upstream workers. Invariant checks compare it with the responses that callers received.
 */
package io.corianderrock.standins.upstream

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentLinkedQueue

/** One execution of a request on [worker]. [workId] is chosen by the caller and is the same in every retry of the same work. */
@Serializable
public data class Execution(
    val requestId: String,
    @SerialName("work") val workId: String,
    val worker: String,
)

/**
 * Contents of the ledger, with [executions] in start order. [maxSlotsInUse] is the highest number of slots used at once
 * on any worker; [capacityRejections] counts the requests that workers rejected because all slots were in use.
 */
@Serializable
public data class LedgerPage(
    val executions: List<Execution>,
    val maxSlotsInUse: Int,
    @SerialName("refusals") val capacityRejections: Long,
)

/** Thread-safe log of executions. */
public class Ledger {
    private val executions = ConcurrentLinkedQueue<Execution>()

    /** Appends [execution]; called when the execution starts. */
    public fun record(execution: Execution) {
        executions.add(execution)
    }

    /** A snapshot of all executions since the start or the last [clear]. */
    public fun all(): List<Execution> = executions.toList()

    /** Discards all executions. */
    public fun clear() {
        executions.clear()
    }
}
