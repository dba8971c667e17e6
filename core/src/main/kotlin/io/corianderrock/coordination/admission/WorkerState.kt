/*
 * The entry's own state of one worker: slots in use and health. It outlives routing tables.
 */
package io.corianderrock.coordination.admission

import io.corianderrock.coordination.health.WorkerHealth
import io.corianderrock.state.WorkerRoute
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference

/** The slots of one worker that this entry may use, and how many it uses. Lock-free. */
public class WorkerState(
    route: WorkerRoute,
    public val health: WorkerHealth,
    private val slotLimit: (WorkerRoute) -> Int,
) {
    private val used = AtomicInteger()

    /** The worker as the newest routing table has it. */
    @Volatile
    public var route: WorkerRoute = route
        internal set

    /** The number of slots in use by this entry. */
    public val usedSlots: Int get() = used.get()

    /** The number of slots that this entry may use. */
    public val limit: Int get() = slotLimit(route)

    /** The load that routing compares: slots in use, with failures counted as load. */
    public val load: Int get() = used.get() + health.failurePenalty

    /** False once the routing table has no place for the worker; no slot is taken from then on. */
    @Volatile
    public var isOpen: Boolean = true
        internal set

    /**
     * Takes a slot if fewer than [cap] are in use and the worker is open. The count rises before the check, so that
     * whoever closes the worker and then reads the count sees every request that may still be sent.
     */
    public fun tryTake(cap: Int): Boolean {
        while (true) {
            val seen = used.get()
            if (seen >= cap) return false
            if (used.compareAndSet(seen, seen + 1)) break
        }
        if (isOpen) return true
        used.decrementAndGet()
        return false
    }

    /** Opens the worker under [next]. */
    internal fun open(next: WorkerRoute) {
        route = next
        isOpen = true
    }

    /** Returns a slot. */
    public fun give() {
        used.decrementAndGet()
    }
}

/** A slot that one request holds until [release]. */
public class Slot(
    public val worker: WorkerState,
    public val workClass: WorkClass,
    public val takenNs: Long,
    private val onRelease: (Slot) -> Unit,
) {
    private val state = AtomicReference(if (workClass == WorkClass.LONG) SlotState.LONG else SlotState.SHORT)

    /** Marks a short request as overdue, so that it counts as long. Returns true the first time. */
    internal fun markOverdue(): Boolean = state.compareAndSet(SlotState.SHORT, SlotState.LONG)

    /** Ends the hold. Returns the state that it ended, which is RELEASED when it had ended before. */
    internal fun end(): SlotState = state.getAndSet(SlotState.RELEASED)

    /** Returns the slot; later calls have no effect. */
    public fun release() {
        onRelease(this)
    }
}

/** How a held slot counts. */
internal enum class SlotState { SHORT, LONG, RELEASED }
