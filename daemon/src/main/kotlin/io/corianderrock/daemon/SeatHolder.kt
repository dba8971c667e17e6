/*
 * Holds this entry's seat: its exclusive number among the entries of a data centre, which sets its share of worker slots.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.fleet.EntryRow
import io.corianderrock.coordination.fleet.SeatRegistry
import io.corianderrock.coordination.fleet.SeatResult
import io.corianderrock.coordination.fleet.seatShare
import io.corianderrock.state.WorkerRoute
import io.corianderrock.transport.EventLog
import io.corianderrock.transport.eq

/** Acquires a seat once and derives this entry's share of worker slots from it. Without a seat the share is 0. */
public class SeatHolder(
    private val registry: SeatRegistry,
    private val seatCount: Int,
) {
    private val log = EventLog("seat")

    @Volatile
    private var heldSeat: SeatResult.Seated? = null

    /** True while this entry holds a seat. */
    public val isSeated: Boolean get() = heldSeat != null

    /** The number of slots of [worker] that this entry may use. */
    public fun shareOf(worker: WorkerRoute): Int {
        val held = heldSeat ?: return 0
        return seatShare(worker.slots, held.seat, seatCount)
    }

    /**
     * Acquires a seat unless one is held. The seat takes effect once [readFleet] has read the fleet after the
     * acquisition: before an entry is registered, an instance moves without its confirmation, so the entry must not
     * dispatch by a fleet view that it read earlier. Returns true if this call acquired the seat.
     */
    public fun acquireIfNeeded(
        entry: () -> EntryRow,
        readFleet: () -> Boolean,
    ): Boolean {
        if (isSeated) return false
        when (val result = registry.acquire(entry())) {
            is SeatResult.Seated -> return readFleet() && onSeated(result)
            is SeatResult.Full -> log.warn("seat-refused", "reason" eq "every seat is held by a live instance")
            is SeatResult.Disagreement ->
                log.warn(
                    "seat-refused",
                    "reason" eq
                        "other entries are configured for ${result.seats} seats; use the same limits.entriesPerDataCentre on all entries",
                )
            is SeatResult.Failed -> log.warn("seat-failed", "step" eq result.failure.step, "peer" eq result.failure.peer)
        }
        return false
    }

    /** Releases the seat; called after the last request has finished. */
    public fun release(entry: () -> EntryRow) {
        val held = heldSeat ?: return
        heldSeat = null
        registry.release(entry().copy(seat = held.seat), held)
    }

    private fun onSeated(acquired: SeatResult.Seated): Boolean {
        heldSeat = acquired
        log.info("seated", "seat" eq acquired.seat, "seatCount" eq seatCount)
        return true
    }
}
