/*
 * The heartbeat of a claim owner, and the switch between granting claims write-through and write-behind.
 */
package io.corianderrock.coordination.claim

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.TableService
import io.corianderrock.coordination.Transaction
import io.corianderrock.coordination.Write
import io.corianderrock.coordination.monotonicMs
import io.corianderrock.coordination.transactExactlyOnce
import kotlinx.serialization.json.Json

/**
 * Writes the heartbeat of the process [processId]. A heartbeat in the table asserts that every claim granted up to
 * [ClaimLimits.writeBehindAfterMs] after it is in the log. A heartbeat is therefore sent only while every write-behind
 * claim is logged, and write-behind starts [ClaimLimits.writeBehindAfterMs] after the newest heartbeat that may have
 * been written, whether or not its write was acknowledged.
 */
internal class ClaimHeartbeat(
    private val table: TableService,
    private val clock: Clock,
    private val processId: String,
    private val limits: ClaimLimits,
    private val newId: () -> String,
) {
    private class SentHeartbeat(
        val transaction: Transaction,
        val startedMs: Long,
    )

    private var unresolved: SentHeartbeat? = null

    @Volatile
    private var newestPossibleHeartbeatMs = Long.MIN_VALUE

    @Volatile
    private var isLeavingWriteBehind = false

    /** True once a heartbeat may have been written. */
    val hasSentHeartbeat: Boolean get() = newestPossibleHeartbeatMs != Long.MIN_VALUE

    /** True while claims may be granted before they are logged. Readable from any thread. */
    val isWriteBehind: Boolean get() = hasSentHeartbeat && !isLeavingWriteBehind && isHeartbeatOverdue()

    /**
     * Sends a heartbeat. In write-behind mode it is sent only if the platform answers a read and [hasUnlogged] returns
     * false. Called by one thread.
     */
    fun sendHeartbeat(hasUnlogged: () -> Boolean) {
        if (!hasSentHeartbeat || !isHeartbeatOverdue()) return writeHeartbeat()
        if (table.read(heartbeatKey(processId)) !is PlatformResult.Ok) return
        isLeavingWriteBehind = true
        try {
            if (!hasUnlogged()) writeHeartbeat()
        } finally {
            isLeavingWriteBehind = false
        }
    }

    private fun isHeartbeatOverdue(): Boolean = clock.monotonicMs() - newestPossibleHeartbeatMs >= limits.writeBehindAfterMs

    private fun writeHeartbeat() {
        val previousMs = newestPossibleHeartbeatMs
        val heartbeat = unresolved ?: newHeartbeat()
        newestPossibleHeartbeatMs = heartbeat.startedMs
        val result = table.transactExactlyOnce(heartbeat.transaction, attempts = 1)
        val mayApply = result is PlatformResult.Failed && result.mayHaveApplied
        if (result is PlatformResult.Failed && !mayApply && unresolved == null) newestPossibleHeartbeatMs = previousMs
        unresolved = heartbeat.takeIf { mayApply }
    }

    private fun newHeartbeat(): SentHeartbeat {
        val content = Json.encodeToString(ClaimHeartbeatRow.serializer(), ClaimHeartbeatRow(processId, clock.wallMs()))
        return SentHeartbeat(Transaction(newId(), emptyList(), listOf(Write(heartbeatKey(processId), content))), clock.monotonicMs())
    }
}
