/*
 * Keeps this entry's burn counters in the platform and merges those of all entries into a report.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.burn.BurnCounters
import io.corianderrock.coordination.burn.BurnReport
import io.corianderrock.coordination.burn.BurnStore
import io.corianderrock.coordination.burn.burnReport
import io.corianderrock.state.Configuration

/** Saves on the daemon's timer; reports fall back to this entry's counters while the platform is down. */
public class BurnWork(
    private val counters: BurnCounters,
    private val store: BurnStore,
    private val clock: Clock,
    private val configuration: () -> Configuration,
) {
    /** Saves this entry's counters. */
    public fun save() {
        val buckets = counters.buckets()
        if (buckets.isNotEmpty()) store.save(buckets, clock.wallMs())
    }

    /** Deletes rows of processes that are long gone. Done by the controller. */
    public fun deleteExpired() {
        store.deleteExpired(clock.wallMs())
    }

    /** The burn of all services over all entries. */
    public fun report(): BurnReport {
        val nowMs = clock.wallMs()
        val others = (store.loadOthers(nowMs) as? PlatformResult.Ok)?.value.orEmpty()
        val buckets = counters.buckets() + others.flatMap { it.buckets }
        return burnReport(configuration().declarations.services, buckets, entries = others.size + 1, nowMs)
    }

    /** The burn of this entry alone, for its metrics. */
    public fun ownReport(): BurnReport = burnReport(configuration().declarations.services, counters.buckets(), entries = 1, clock.wallMs())
}
