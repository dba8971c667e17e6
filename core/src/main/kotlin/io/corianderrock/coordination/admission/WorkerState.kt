/*
 * The state of one worker at this entry: slots in use and health. It survives changes of the routing table.
 */
package io.corianderrock.coordination.admission

import io.corianderrock.coordination.health.WorkerHealth
import io.corianderrock.state.WorkerRoute
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference

/** The slots of one worker that this entry may use and the number in use. Lock-free. */
public class WorkerState(
    route: WorkerRoute,
    public val health: WorkerHealth,
    private val slotLimit: (WorkerRoute) -> Int,
) {
    private val used = AtomicInteger()

    /** The worker's route in the newest routing table that contains it. */
    @Volatile
    public var route: WorkerRoute = route
        internal set

    /** The number of slots in use by this entry. */
    public val usedSlots: Int get() = used.get()

    /** The number of slots that this entry may use. */
    public val limit: Int get() = slotLimit(route)

    /** The load for load balancing: the slots in use plus [WorkerHealth.failurePenalty]. */
    public val load: Int get() = used.get() + health.failurePenalty

    /** False while the routing table does not contain the worker; no slot is acquired then. */
    @Volatile
    public var isOpen: Boolean = true
        internal set

    /**
     * Acquires a slot if fewer than [cap] are in use and [isOpen] is true. The count is incremented before [isOpen] is
     * checked, so that a thread that clears [isOpen] and then reads [usedSlots] sees every request that may still be sent.
     */
    public fun tryAcquire(cap: Int): Boolean {
        while (true) {
            val current = used.get()
            if (current >= cap) return false
            if (used.compareAndSet(current, current + 1)) break
        }
        if (isOpen) return true
        used.decrementAndGet()
        return false
    }

    /** Sets the route to [next] and allows slots to be acquired. */
    internal fun open(next: WorkerRoute) {
        route = next
        isOpen = true
    }

    public fun releaseSlot() {
        used.decrementAndGet()
    }
}

/** A slot on [worker] that one request holds until [release]. [acquiredNs] is in monotonic time. */
public class Slot(
    public val worker: WorkerState,
    public val workClass: WorkClass,
    public val acquiredNs: Long,
    private val onRelease: (Slot) -> Unit,
) {
    private val state = AtomicReference(if (workClass == WorkClass.LONG) SlotState.LONG else SlotState.SHORT)

    /** Reclassifies a short request as long. Returns true on the first call, false for long or released slots. */
    internal fun markOverdue(): Boolean = state.compareAndSet(SlotState.SHORT, SlotState.LONG)

    /** Marks the slot as released and returns its previous state, which is RELEASED if it was released before. */
    internal fun markReleased(): SlotState = state.getAndSet(SlotState.RELEASED)

    /** Releases the slot; further calls have no effect. */
    public fun release() {
        onRelease(this)
    }
}

/** The state of a slot: held by short or long work, or released. */
internal enum class SlotState { SHORT, LONG, RELEASED }
