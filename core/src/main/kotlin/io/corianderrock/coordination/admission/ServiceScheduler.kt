/*
 * Admission for one service at one entry: takes a slot at once, waits for one in a bounded queue, or refuses early.
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

/** How one service admits work. */
public data class AdmissionPolicy(
    val queueLimit: Int,
    val longShare: Double,
    val shortReserveShare: Double = 0.25,
    val longMinimumShare: Double = 0.1,
    val separatesClasses: Boolean = true,
)

/** What a request asks of admission. [deadlineNs] is in the clock's monotonic time. */
public data class Admission(
    val team: String,
    val route: String,
    val deadlineNs: Long,
    val caller: CallerConnection = CallerConnection.PRESENT,
    val excluded: Set<String> = emptySet(),
)

/** The result of admission. */
public sealed interface AdmissionResult {
    /** The request holds [slot] and must release it. */
    public data class Granted(
        val slot: Slot,
    ) : AdmissionResult

    /** The request was refused and never left the entry. */
    public data class Refused(
        val reason: Reason,
        val retryAfterMs: Long,
    ) : AdmissionResult
}

/**
 * Schedules the requests of one service. Short work and long work wait in queues of their own; long work, and short
 * work that has outrun its limit, may hold at most the policy's share of the slots, and long work starts only while a
 * reserve of slots stays free for short work.
 *
 * No lock is taken: a waiter publishes itself and then drains, a releaser returns its slot and then drains, so that
 * one of the two always sees the other.
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
    private val grants = AtomicLong()

    /** The workers in use; replaced as a whole when the routing table changes. */
    @Volatile
    public var workers: WorkerSet = WorkerSet.EMPTY
        private set

    /** The number of requests that wait. */
    public val waitingCount: Int get() = shortQueue.size + longQueue.size

    /** The number of slots held by requests of this service. */
    public val inFlightCount: Int get() = inFlight.size

    /** Replaces the workers and hands new capacity to waiting requests. */
    public fun updateWorkers(next: WorkerSet) {
        workers = next
        drain()
    }

    /** Takes a slot for [admission], waiting on the calling thread until its deadline at the latest. */
    public fun acquire(admission: Admission): AdmissionResult {
        val workClass = classOf(admission.route)
        if (admission.excluded.isNotEmpty()) return acquireElsewhere(admission, workClass)
        val queue = queueOf(workClass)
        if (queue.size == 0) tryTakeSlot(workClass)?.let { return AdmissionResult.Granted(it) }
        refusalBeforeWaiting(admission, workClass, queue)?.let { return it }
        val waiting = WaitingRequest(admission.team, workClass)
        if (!queue.offer(waiting)) return refused(Reason.QUEUE_FULL, workClass)
        drain()
        return await(waiting, admission, queue)
    }

    /** Hands free slots to waiting requests. Called when capacity may have become free elsewhere. */
    public fun drain() {
        while (grantNext(firstClass()) || grantNext(WorkClass.SHORT) || grantNext(WorkClass.LONG)) {
            grants.incrementAndGet()
        }
    }

    /** Counts short requests that have run for longer than [limitNs] as long. Called at short intervals. */
    public fun markOverdue(limitNs: Long) {
        val now = clock.monotonicNs()
        for (slot in inFlight) {
            val isOverdue = now - slot.takenNs > limitNs
            if (isOverdue && slot.markOverdue()) longInFlight.incrementAndGet()
        }
    }

    private fun classOf(route: String): WorkClass = if (policy.separatesClasses) classifier.classOf(route) else WorkClass.SHORT

    private fun queueOf(workClass: WorkClass): FairQueue = if (workClass == WorkClass.LONG) longQueue else shortQueue

    private fun acquireElsewhere(
        admission: Admission,
        workClass: WorkClass,
    ): AdmissionResult {
        val slot = tryTakeSlot(workClass, admission.excluded)
        return slot?.let { AdmissionResult.Granted(it) } ?: refused(Reason.NO_WORKER, workClass)
    }

    private fun refusalBeforeWaiting(
        admission: Admission,
        workClass: WorkClass,
        queue: FairQueue,
    ): AdmissionResult.Refused? {
        val remainingNs = admission.deadlineNs - clock.monotonicNs()
        if (remainingNs <= 0) return refused(Reason.DEADLINE_PASSED, workClass)
        if (queue.size == 0) return null
        val neededNs = expectedWaitNs(workClass) + runMarginNs(admission.route)
        return if (neededNs > remainingNs) refused(Reason.DEADLINE_TOO_SHORT, workClass) else null
    }

    private fun await(
        waiting: WaitingRequest,
        admission: Admission,
        queue: FairQueue,
    ): AdmissionResult {
        val latestStartNs = admission.deadlineNs - runMarginNs(admission.route)
        while (true) {
            waiting.granted()?.let { return AdmissionResult.Granted(it) }
            val leftNs = latestStartNs - clock.monotonicNs()
            if (leftNs <= 0) return giveUp(waiting, queue, Reason.DEADLINE_PASSED)
            if (admission.caller.isGone()) return giveUp(waiting, queue, Reason.CALLER_GONE)
            LockSupport.parkNanos(this, leftNs.coerceAtMost(CALLER_POLL_NS))
        }
    }

    private fun giveUp(
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

    /** The time within which nearly all requests of [route] finish once they have started. */
    private fun runMarginNs(route: String): Long = (classifier.expectedNs(route) * RUN_MARGIN_FACTOR).coerceAtMost(MAX_START_MARGIN_NS)

    private fun longLimit(): Int = (workers.primarySlots * policy.longShare).toInt().coerceAtLeast(1)

    private fun firstClass(): WorkClass = if (grants.get() % LONG_TURN == 0L) WorkClass.LONG else WorkClass.SHORT

    private fun grantNext(workClass: WorkClass): Boolean {
        val queue = queueOf(workClass)
        while (queue.size > 0) {
            val slot = tryTakeSlot(workClass) ?: return false
            if (grantTo(queue, slot)) return true
            giveBack(slot)
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

    private fun tryTakeSlot(
        workClass: WorkClass,
        excluded: Set<String> = emptySet(),
    ): Slot? {
        if (workClass == WorkClass.LONG && !tryCountLong()) return null
        val worker = selector.take(workers, excluded)
        if (worker == null) {
            if (workClass == WorkClass.LONG) longInFlight.decrementAndGet()
            return null
        }
        val slot = Slot(worker, workClass, clock.monotonicNs(), ::onRelease)
        inFlight.add(slot)
        return slot
    }

    /** Long work starts only while it leaves free slots for short work, but never waits below its own minimum. */
    private fun tryCountLong(): Boolean {
        val limit = longLimit()
        val minimum = (workers.primarySlots * policy.longMinimumShare).toInt().coerceAtLeast(1)
        while (true) {
            val seen = longInFlight.get()
            if (seen >= limit) return false
            if (seen >= minimum && !leavesReserve()) return false
            if (longInFlight.compareAndSet(seen, seen + 1)) return true
        }
    }

    private fun leavesReserve(): Boolean {
        val slots = workers.primarySlots
        val reserve = (slots * policy.shortReserveShare).toInt().coerceAtLeast(1)
        return inFlight.size + reserve < slots
    }

    private fun onRelease(slot: Slot) {
        if (!giveBack(slot)) return
        onSlotReleased(slot)
        drain()
    }

    private fun giveBack(slot: Slot): Boolean {
        val ended = slot.end()
        if (ended == SlotState.RELEASED) return false
        inFlight.remove(slot)
        if (ended == SlotState.LONG) longInFlight.decrementAndGet()
        slot.worker.give()
        return true
    }

    private companion object {
        const val LONG_TURN = 8L
        const val CALLER_POLL_NS = 20 * NS_PER_MS
        const val RUN_MARGIN_FACTOR = 6
        const val MAX_START_MARGIN_NS = 250 * NS_PER_MS
        const val MIN_RETRY_AFTER_MS = 10L
        const val MAX_RETRY_AFTER_MS = 5_000L
        const val LONG_QUEUE_DIVISOR = 4
        const val MIN_LONG_QUEUE = 16

        fun longQueueLimit(queueLimit: Int): Int = (queueLimit / LONG_QUEUE_DIVISOR).coerceAtLeast(MIN_LONG_QUEUE)
    }
}
