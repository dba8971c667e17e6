/*
 * The seat of this entry.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.fleet.EntryRow
import io.corianderrock.coordination.fleet.SeatRegistry
import io.corianderrock.coordination.fleet.SeatResult
import io.corianderrock.coordination.fleet.seatShare
import io.corianderrock.state.WorkerRoute
import io.corianderrock.transport.EventLog
import io.corianderrock.transport.eq

/** Takes a seat once and derives this entry's share of slots from it. Without a seat the share is 0. */
public class SeatHolder(
    private val registry: SeatRegistry,
    private val seats: Int,
) {
    private val log = EventLog("seat")

    @Volatile
    private var seated: SeatResult.Seated? = null

    /** True once the entry holds a seat. */
    public val isSeated: Boolean get() = seated != null

    /** Returns the number of slots of [worker] that this entry may use. */
    public fun shareOf(worker: WorkerRoute): Int {
        val held = seated ?: return 0
        return seatShare(worker.slots, held.seat, seats)
    }

    /**
     * Asks for a seat unless one is held. The seat counts once [readFleet] has read the fleet after it was taken: until an
     * entry is known, nobody waits for its confirmation before an instance moves, so it may not use an older view.
     * Returns true when the entry is seated by this call.
     */
    public fun takeIfNeeded(
        entry: () -> EntryRow,
        readFleet: () -> Boolean,
    ): Boolean {
        if (isSeated) return false
        when (val result = registry.acquire(entry())) {
            is SeatResult.Seated -> return readFleet() && onSeated(result)
            is SeatResult.Full -> log.warn("seat-refused", "reason" eq "every seat belongs to a live instance")
            is SeatResult.Disagreement -> log.warn("seat-refused", "reason" eq "other entries are set up for ${result.seats} seats")
            is SeatResult.Failed -> log.warn("seat-failed", "step" eq result.failure.step, "peer" eq result.failure.peer)
        }
        return false
    }

    /** Gives the seat back after the last request has finished. */
    public fun leave(entry: () -> EntryRow) {
        val held = seated ?: return
        seated = null
        registry.release(entry().copy(seat = held.seat), held)
    }

    private fun onSeated(taken: SeatResult.Seated): Boolean {
        seated = taken
        log.info("seated", "seat" eq taken.seat, "of" eq seats)
        return true
    }
}
