/*
 * The heartbeat of an owner of key ranges, and the mode in which it grants claims.
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
 * Beats for the process [self]. A beat that may be in the table asserts that every claim granted up to
 * [ClaimLimits.memoryModeAfterMs] after it is in the log. So a beat is sent only while nothing granted from memory is
 * missing from the log, and the mode is reckoned from the newest beat that may have been written, answered or not.
 */
internal class ClaimHeartbeat(
    private val table: TableService,
    private val clock: Clock,
    private val self: String,
    private val limits: ClaimLimits,
    private val newId: () -> String,
) {
    private class SentBeat(
        val transaction: Transaction,
        val startedMs: Long,
    )

    private var unresolved: SentBeat? = null

    @Volatile
    private var newestPossibleMs = Long.MIN_VALUE

    @Volatile
    private var isLeavingMemoryMode = false

    /** True once a beat may have been written. */
    val hasBeaten: Boolean get() = newestPossibleMs != Long.MIN_VALUE

    /** True while claims may be granted before they are logged. */
    val isMemoryMode: Boolean get() = hasBeaten && !isLeavingMemoryMode && isSilent()

    /** Sends a beat, unless claims granted from memory are [hasUnlogged]. Called by one thread. */
    fun beat(hasUnlogged: () -> Boolean) {
        if (!hasBeaten || !isSilent()) return send()
        if (table.read(beatKey(self)) !is PlatformResult.Ok) return
        isLeavingMemoryMode = true
        try {
            if (!hasUnlogged()) send()
        } finally {
            isLeavingMemoryMode = false
        }
    }

    private fun isSilent(): Boolean = clock.monotonicMs() - newestPossibleMs >= limits.memoryModeAfterMs

    private fun send() {
        val before = newestPossibleMs
        val beat = unresolved ?: newBeat()
        newestPossibleMs = beat.startedMs
        val result = table.transactExactlyOnce(beat.transaction, attempts = 1)
        val mayApply = result is PlatformResult.Failed && result.mayHaveApplied
        if (result is PlatformResult.Failed && !mayApply && unresolved == null) newestPossibleMs = before
        unresolved = beat.takeIf { mayApply }
    }

    private fun newBeat(): SentBeat {
        val content = Json.encodeToString(ClaimBeat.serializer(), ClaimBeat(self, clock.wallMs()))
        return SentBeat(Transaction(newId(), emptyList(), listOf(Write(beatKey(self), content))), clock.monotonicMs())
    }
}
