/*
 * A request that waits for a slot. It is either granted a slot or abandoned, never both.
 */
package io.corianderrock.coordination.admission

import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference
import java.util.concurrent.locks.LockSupport

/** A waiting request of [team] in class [workClass]; the thread [waiter] parks until the grant. */
public class WaitingRequest(
    public val team: String,
    public val workClass: WorkClass,
    private val waiter: Thread = Thread.currentThread(),
) {
    private val state = AtomicReference<Any>(WAITING)
    private val isCounted = AtomicBoolean(true)

    /** True while neither granted nor abandoned. */
    public val isWaiting: Boolean get() = state.get() === WAITING

    /** Grants [slot] and unparks the waiter. Returns false if the request was abandoned; the caller keeps the slot. */
    public fun grant(slot: Slot): Boolean {
        val isGranted = state.compareAndSet(WAITING, slot)
        if (isGranted) LockSupport.unpark(waiter)
        return isGranted
    }

    /** Abandons the wait. Returns the slot if one was granted first; the caller must then release it. */
    public fun abandon(): Slot? {
        if (state.compareAndSet(WAITING, ABANDONED)) return null
        return state.get() as? Slot
    }

    /** The granted slot, or null if there is none. */
    public fun grantedSlot(): Slot? = state.get() as? Slot

    /** Returns true on the first call only, so that the queue subtracts this request from its count once. */
    internal fun markUncounted(): Boolean = isCounted.compareAndSet(true, false)

    private companion object {
        val WAITING = Any()
        val ABANDONED = Any()
    }
}
