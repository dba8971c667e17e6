/*
 * Stores this entry's error budget counters in the platform and merges the counters of all entries into a report.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.burn.BurnCounters
import io.corianderrock.coordination.burn.BurnReport
import io.corianderrock.coordination.burn.BurnStore
import io.corianderrock.coordination.burn.burnReport
import io.corianderrock.state.Configuration

/** Reports error budget burn rates. While the platform is unreachable, reports cover only this entry's requests. */
public class BurnReporter(
    private val counters: BurnCounters,
    private val store: BurnStore,
    private val clock: Clock,
    private val configuration: () -> Configuration,
) {
    /** Writes this entry's counters to the platform; called on the daemon's timer. */
    public fun save() {
        val buckets = counters.buckets()
        if (buckets.isNotEmpty()) store.save(buckets, clock.wallMs())
    }

    /** Deletes the expired counter rows of stopped processes; called only on the controller. */
    public fun deleteExpired() {
        store.deleteExpired(clock.wallMs())
    }

    /** Burn rates of all services, summed over all entries. */
    public fun report(): BurnReport {
        val nowMs = clock.wallMs()
        val others = (store.loadOthers(nowMs) as? PlatformResult.Ok)?.value.orEmpty()
        val buckets = counters.buckets() + others.flatMap { it.buckets }
        return burnReport(configuration().declarations.services, buckets, entries = others.size + 1, nowMs)
    }

    /** Burn rates of the requests of this entry alone, for its metrics. */
    public fun ownReport(): BurnReport = burnReport(configuration().declarations.services, counters.buckets(), entries = 1, clock.wallMs())
}
