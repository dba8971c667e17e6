/*
 * Releases claims of an entry that is stopping. Other entries would otherwise wait until the row has been silent for long.
 */
package io.corianderrock.jobs.ownership

import io.corianderrock.jobs.ports.ChangeResult
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.ReadResult
import io.corianderrock.jobs.ports.RowChange
import io.corianderrock.jobs.storerate.RetryBackoff
import kotlin.random.Random

/** Confined to [loop]. [lastRow] is the owner row as this entry last knew it. */
internal class ClaimRelease(
    private val loop: EventLoop,
    private val tables: JobTables,
    private val log: DecisionLog,
    random: Random,
    private val lastRow: () -> OwnerRow?,
) {
    private val backoff = RetryBackoff(firstWindowMs = 100, longestWindowMs = 800, minimumMs = 100, random = random)

    /** Releases [claimed] if it was applied or still is, which shows once the row has changed. */
    fun releaseIfApplied(claimed: OwnerRow) {
        tables.read(OwnerRow.KEY) { result ->
            val stored = (result as? ReadResult.Rows)?.rows?.firstOrNull()
            val row = stored?.let { OwnerRow.decode(it.value) }
            when {
                result is ReadResult.Failed -> retry(claimed)
                stored != null && row == claimed -> release(claimed, stored.version)
                // The claim may still be in flight; once the row has changed, its precondition fails.
                stored != null && row == lastRow() -> retry(claimed)
            }
        }
    }

    /** Releases [row], stored as [version]. */
    fun release(
        row: OwnerRow,
        version: Long,
    ) {
        val change = RowChange(expected = mapOf(OwnerRow.KEY to version), puts = mapOf(OwnerRow.KEY to row.released().encode()))
        tables.commit(change) { result ->
            log.write("owner_claim_given_back", "epoch", row.epoch, "result", result)
            if (result is ChangeResult.Failed) retry(row)
        }
    }

    private fun retry(claimed: OwnerRow) = loop.after(backoff.nextDelayMs()) { releaseIfApplied(claimed) }
}
