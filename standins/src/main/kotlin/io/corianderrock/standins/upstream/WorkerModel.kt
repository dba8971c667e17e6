/*
 * The state of one simulated worker: slots in use, active fault and reboot.
 */
package io.corianderrock.standins.upstream

import io.corianderrock.state.ListedInstance
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** A worker that runs at most [slots] requests at once. Thread-safe. */
internal class WorkerModel(
    val instance: ListedInstance,
    private val slots: Int,
) {
    private val used = AtomicInteger()
    private val maxUsed = AtomicInteger()
    private val capacityRejectionCount = AtomicLong()
    private val faultRejectionCount = AtomicLong()

    @Volatile
    var fault: UpstreamFault = UpstreamFault(FaultKind.NONE)

    /** End of the current reboot on the clock of [System.nanoTime], or [Long.MIN_VALUE] before the first reboot. */
    @Volatile
    var rebootingUntilNs: Long = Long.MIN_VALUE

    val maxSlotsInUse: Int get() = maxUsed.get()
    val capacityRejections: Long get() = capacityRejectionCount.get()
    val usedSlots: Int get() = used.get()
    val faultRejections: Long get() = faultRejectionCount.get()

    fun countFaultRejection() {
        faultRejectionCount.incrementAndGet()
    }

    /** Acquires a slot for a request. Returns false and counts a capacity rejection when all slots are in use. */
    fun tryAcquireSlot(): Boolean {
        val slotsInUse = used.incrementAndGet()
        if (slotsInUse > slots) {
            used.decrementAndGet()
            capacityRejectionCount.incrementAndGet()
            return false
        }
        maxUsed.accumulateAndGet(slotsInUse, ::maxOf)
        return true
    }

    fun releaseSlot() {
        used.decrementAndGet()
    }

    fun isRebooting(nowNs: Long): Boolean = rebootingUntilNs != Long.MIN_VALUE && nowNs < rebootingUntilNs
}
