/*
 * A request that waits for a slot. Exactly one of grant and abandon succeeds.
 */
package io.corianderrock.coordination.admission

import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference
import java.util.concurrent.locks.LockSupport

/** A waiting request of [team] in class [workClass]; [owner] is the thread that parks for it. */
public class WaitingRequest(
    public val team: String,
    public val workClass: WorkClass,
    private val owner: Thread = Thread.currentThread(),
) {
    private val state = AtomicReference<Any>(WAITING)
    private val isCounted = AtomicBoolean(true)

    /** True while neither granted nor abandoned. */
    public val isWaiting: Boolean get() = state.get() === WAITING

    /** Hands [slot] to the request. Returns false when the request was abandoned. */
    public fun grant(slot: Slot): Boolean {
        val isGranted = state.compareAndSet(WAITING, slot)
        if (isGranted) LockSupport.unpark(owner)
        return isGranted
    }

    /** Gives up waiting. Returns the slot when one was granted first. */
    public fun abandon(): Slot? {
        if (state.compareAndSet(WAITING, ABANDONED)) return null
        return state.get() as? Slot
    }

    /** Returns the granted slot, or null while waiting. */
    public fun granted(): Slot? = state.get() as? Slot

    /** Returns true to the one caller that takes this request out of the queue's count. */
    internal fun leaveCount(): Boolean = isCounted.compareAndSet(true, false)

    private companion object {
        val WAITING = Any()
        val ABANDONED = Any()
    }
}
