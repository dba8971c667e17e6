/*
 * The state of one simulated worker: slots, fault and boot.
 */
package io.corianderrock.standins.upstream

import io.corianderrock.state.ListedInstance
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** One worker with [slots] of its own. */
internal class WorkerModel(
    val instance: ListedInstance,
    private val slots: Int,
) {
    private val used = AtomicInteger()
    private val maxUsed = AtomicInteger()
    private val refused = AtomicLong()
    private val turnedAwayCount = AtomicLong()

    @Volatile
    var fault: UpstreamFault = UpstreamFault(FaultKind.NONE)

    @Volatile
    var rebootingUntilNs: Long = Long.MIN_VALUE

    val maxSlotsInUse: Int get() = maxUsed.get()
    val refusals: Long get() = refused.get()
    val usedSlots: Int get() = used.get()
    val turnedAway: Long get() = turnedAwayCount.get()

    fun countTurnedAway() {
        turnedAwayCount.incrementAndGet()
    }

    /** Takes a slot; a worker that is full refuses before the request starts. */
    fun tryStart(): Boolean {
        val now = used.incrementAndGet()
        if (now > slots) {
            used.decrementAndGet()
            refused.incrementAndGet()
            return false
        }
        maxUsed.accumulateAndGet(now, ::maxOf)
        return true
    }

    fun finish() {
        used.decrementAndGet()
    }

    fun isRebooting(nowNs: Long): Boolean = rebootingUntilNs != Long.MIN_VALUE && nowNs < rebootingUntilNs
}
