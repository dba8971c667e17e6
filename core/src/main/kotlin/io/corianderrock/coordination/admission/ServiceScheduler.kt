/*
 * Admission control for one service at one entry: a request gets a slot, waits in a bounded queue, or is refused early.
 */
package io.corianderrock.coordination.admission

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.NS_PER_MS
import io.corianderrock.coordination.request.CallerConnection
import io.corianderrock.coordination.request.Reason
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.LockSupport

/**
 * Admission policy of one service. Long work holds at most [longShare] of the slots. Above [longMinimumShare] it starts
 * only while [shortReserveShare] of the slots stays free for short work.
 */
public data class AdmissionPolicy(
    val queueLimit: Int,
    val longShare: Double,
    val shortReserveShare: Double = 0.25,
    val longMinimumShare: Double = 0.1,
    val separatesClasses: Boolean = true,
)

/**
 * A request for a slot. [deadlineNs] is in the clock's monotonic time. [excluded] holds the ids of workers that failed an
 * earlier attempt; a request with exclusions never waits.
 */
public data class AdmissionRequest(
    val team: String,
    val route: String,
    val deadlineNs: Long,
    val caller: CallerConnection = CallerConnection.ALWAYS_OPEN,
    val excluded: Set<String> = emptySet(),
)

public sealed interface AdmissionResult {
    /** The caller holds [slot] and must release it. */
    public data class Granted(
        val slot: Slot,
    ) : AdmissionResult

    /** The request was refused and was not dispatched. [retryAfterMs] is derived from the expected wait. */
    public data class Refused(
        val reason: Reason,
        val retryAfterMs: Long,
    ) : AdmissionResult
}

/**
 * Schedules the requests of one service. Short and long work wait in separate queues. Long work, including short work
 * that has exceeded the short run time, is limited by [AdmissionPolicy].
 *
 * Lock-free: a waiter enqueues itself and then calls [grantWaiting], a releaser returns its slot and then calls
 * [grantWaiting], so one of the two always sees the other.
 */
public class ServiceScheduler(
    private val clock: Clock,
    private val policy: AdmissionPolicy,
    private val selector: WorkerSelector,
    private val classifier: RunTimeClassifier,
    weightOf: (String) -> Int = { 1 },
    private val onSlotReleased: (Slot) -> Unit = {},
) {
    private val shortQueue = FairQueue(policy.queueLimit, weightOf)
    private val longQueue = FairQueue(longQueueLimit(policy.queueLimit), weightOf)
    private val longInFlight = AtomicInteger()
    private val inFlight = ConcurrentHashMap.newKeySet<Slot>()
    private val grantCount = AtomicLong()

    /** The workers in use; replaced as a whole when the routing table changes. */
    @Volatile
    public var workers: WorkerSet = WorkerSet.EMPTY
        private set

    /** The number of waiting requests. */
    public val waitingCount: Int get() = shortQueue.size + longQueue.size

    /** The number of slots held by requests of this service. */
    public val inFlightCount: Int get() = inFlight.size

    /** Replaces the workers and grants new capacity to waiting requests. */
    public fun updateWorkers(next: WorkerSet) {
        workers = next
        grantWaiting()
    }

    /** Acquires a slot for [request]. Blocks the calling thread, at most until the deadline. */
    public fun acquire(request: AdmissionRequest): AdmissionResult {
        val workClass = classOf(request.route)
        if (request.excluded.isNotEmpty()) return acquireForRetry(request, workClass)
        val queue = queueOf(workClass)
        if (queue.size == 0) tryAcquireSlot(workClass)?.let { return AdmissionResult.Granted(it) }
        refusalBeforeWaiting(request, workClass, queue)?.let { return it }
        val waiting = WaitingRequest(request.team, workClass)
        if (!queue.offer(waiting)) return refused(Reason.QUEUE_FULL, workClass)
        grantWaiting()
        return await(waiting, request, queue)
    }

    /** Grants free slots to waiting requests. Called whenever a slot may have become free, by any thread. */
    public fun grantWaiting() {
        while (grantNext(preferredClass()) || grantNext(WorkClass.SHORT) || grantNext(WorkClass.LONG)) {
            grantCount.incrementAndGet()
        }
    }

    /** Reclassifies short requests that have run for more than [limitNs] as long. Called periodically. */
    public fun markOverdue(limitNs: Long) {
        val now = clock.monotonicNs()
        for (slot in inFlight) {
            val isOverdue = now - slot.acquiredNs > limitNs
            if (isOverdue && slot.markOverdue()) longInFlight.incrementAndGet()
        }
    }

    private fun classOf(route: String): WorkClass = if (policy.separatesClasses) classifier.classOf(route) else WorkClass.SHORT

    private fun queueOf(workClass: WorkClass): FairQueue = if (workClass == WorkClass.LONG) longQueue else shortQueue

    private fun acquireForRetry(
        request: AdmissionRequest,
        workClass: WorkClass,
    ): AdmissionResult {
        val slot = tryAcquireSlot(workClass, request.excluded)
        return slot?.let { AdmissionResult.Granted(it) } ?: refused(Reason.NO_WORKER, workClass)
    }

    private fun refusalBeforeWaiting(
        request: AdmissionRequest,
        workClass: WorkClass,
        queue: FairQueue,
    ): AdmissionResult.Refused? {
        val remainingNs = request.deadlineNs - clock.monotonicNs()
        if (remainingNs <= 0) return refused(Reason.DEADLINE_PASSED, workClass)
        if (queue.size == 0) return null
        val neededNs = expectedWaitNs(workClass) + runMarginNs(request.route)
        return if (neededNs > remainingNs) refused(Reason.DEADLINE_TOO_SHORT, workClass) else null
    }

    private fun await(
        waiting: WaitingRequest,
        request: AdmissionRequest,
        queue: FairQueue,
    ): AdmissionResult {
        val latestStartNs = request.deadlineNs - runMarginNs(request.route)
        while (true) {
            waiting.grantedSlot()?.let { return AdmissionResult.Granted(it) }
            val remainingNs = latestStartNs - clock.monotonicNs()
            if (remainingNs <= 0) return abandonWait(waiting, queue, Reason.DEADLINE_PASSED)
            if (request.caller.isGone()) return abandonWait(waiting, queue, Reason.CALLER_GONE)
            LockSupport.parkNanos(this, remainingNs.coerceAtMost(CALLER_POLL_NS))
        }
    }

    private fun abandonWait(
        waiting: WaitingRequest,
        queue: FairQueue,
        reason: Reason,
    ): AdmissionResult {
        val slot = waiting.abandon()
        if (slot != null) {
            slot.release()
        } else {
            queue.remove(waiting)
        }
        return refused(reason, waiting.workClass)
    }

    private fun refused(
        reason: Reason,
        workClass: WorkClass,
    ): AdmissionResult.Refused {
        val waitMs = expectedWaitNs(workClass) / NS_PER_MS
        return AdmissionResult.Refused(reason, waitMs.coerceIn(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS))
    }

    private fun expectedWaitNs(workClass: WorkClass): Long {
        val slots = if (workClass == WorkClass.LONG) longLimit() else workers.healthySlots
        return (queueOf(workClass).size + 1L) * classifier.meanNs() / slots.coerceAtLeast(1)
    }

    /**
     * The time to reserve before the deadline for running a request of [route]: a multiple of its expected run time that
     * covers nearly all requests, at most [MAX_RUN_MARGIN_NS].
     */
    private fun runMarginNs(route: String): Long = (classifier.expectedNs(route) * RUN_MARGIN_FACTOR).coerceAtMost(MAX_RUN_MARGIN_NS)

    private fun longLimit(): Int = (workers.primarySlots * policy.longShare).toInt().coerceAtLeast(1)

    /** Every [LONG_PREFERRED_EVERY]th grant considers long work first, all others short work. */
    private fun preferredClass(): WorkClass = if (grantCount.get() % LONG_PREFERRED_EVERY == 0L) WorkClass.LONG else WorkClass.SHORT

    private fun grantNext(workClass: WorkClass): Boolean {
        val queue = queueOf(workClass)
        while (queue.size > 0) {
            val slot = tryAcquireSlot(workClass) ?: return false
            if (grantTo(queue, slot)) return true
            returnSlot(slot)
        }
        return false
    }

    private fun grantTo(
        queue: FairQueue,
        slot: Slot,
    ): Boolean {
        while (true) {
            val next = queue.poll() ?: return false
            if (next.grant(slot)) return true
        }
    }

    private fun tryAcquireSlot(
        workClass: WorkClass,
        excluded: Set<String> = emptySet(),
    ): Slot? {
        if (workClass == WorkClass.LONG && !tryReserveLong()) return null
        val worker = selector.acquire(workers, excluded)
        if (worker == null) {
            if (workClass == WorkClass.LONG) longInFlight.decrementAndGet()
            return null
        }
        val slot = Slot(worker, workClass, clock.monotonicNs(), ::onRelease)
        inFlight.add(slot)
        return slot
    }

    /** Counts one more long request if the policy allows it. Below the minimum share the reserve for short work is ignored. */
    private fun tryReserveLong(): Boolean {
        val limit = longLimit()
        val minimum = (workers.primarySlots * policy.longMinimumShare).toInt().coerceAtLeast(1)
        while (true) {
            val current = longInFlight.get()
            if (current >= limit) return false
            if (current >= minimum && !leavesShortReserve()) return false
            if (longInFlight.compareAndSet(current, current + 1)) return true
        }
    }

    private fun leavesShortReserve(): Boolean {
        val slots = workers.primarySlots
        val reserve = (slots * policy.shortReserveShare).toInt().coerceAtLeast(1)
        return inFlight.size + reserve < slots
    }

    private fun onRelease(slot: Slot) {
        if (!returnSlot(slot)) return
        onSlotReleased(slot)
        grantWaiting()
    }

    private fun returnSlot(slot: Slot): Boolean {
        val previousState = slot.markReleased()
        if (previousState == SlotState.RELEASED) return false
        inFlight.remove(slot)
        if (previousState == SlotState.LONG) longInFlight.decrementAndGet()
        slot.worker.releaseSlot()
        return true
    }

    private companion object {
        const val LONG_PREFERRED_EVERY = 8L
        const val CALLER_POLL_NS = 20 * NS_PER_MS
        const val RUN_MARGIN_FACTOR = 6
        const val MAX_RUN_MARGIN_NS = 250 * NS_PER_MS
        const val MIN_RETRY_AFTER_MS = 10L
        const val MAX_RETRY_AFTER_MS = 5_000L
        const val LONG_QUEUE_DIVISOR = 4
        const val MIN_LONG_QUEUE = 16

        fun longQueueLimit(queueLimit: Int): Int = (queueLimit / LONG_QUEUE_DIVISOR).coerceAtLeast(MIN_LONG_QUEUE)
    }
}
