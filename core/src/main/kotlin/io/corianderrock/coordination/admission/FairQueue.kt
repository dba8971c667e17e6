/*
 * A bounded, lock-free queue with weighted fair queueing between teams.
 */
package io.corianderrock.coordination.admission

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Holds at most [limit] waiting requests. [poll] serves the team with the least virtual finish time, which grows with
 * each of its requests in inverse proportion to its weight; abandoned requests are skipped. A team that becomes active
 * starts at the current virtual time, so that idle time earns no credit.
 */
public class FairQueue(
    private val limit: Int,
    private val weightOf: (String) -> Int = { 1 },
) {
    private val teams = ConcurrentHashMap<String, TeamQueue>()
    private val waiting = AtomicInteger()
    private val virtualTime = AtomicLong()

    /** The number of waiting requests. */
    public val size: Int get() = waiting.get()

    /** Adds [request]. Returns false if the queue is full. */
    public fun offer(request: WaitingRequest): Boolean {
        if (waiting.incrementAndGet() > limit) {
            waiting.decrementAndGet()
            return false
        }
        val queue = teams.computeIfAbsent(request.team) { TeamQueue() }
        queue.advanceTo(virtualTime.get())
        queue.requests.add(request)
        return true
    }

    /** Removes and returns the next waiting request, or null if there is none. */
    public fun poll(): WaitingRequest? {
        while (true) {
            val (team, queue) = leastServed() ?: return null
            val request = queue.requests.poll() ?: continue
            uncount(request)
            if (!request.isWaiting) continue
            queue.charge(VIRTUAL_TIME_PER_REQUEST / weightOf(team).coerceAtLeast(1))
            virtualTime.accumulateAndGet(queue.virtualFinishTime(), ::maxOf)
            return request
        }
    }

    /** Removes [request], which was abandoned. */
    public fun remove(request: WaitingRequest) {
        uncount(request)
        teams[request.team]?.requests?.remove(request)
    }

    private fun uncount(request: WaitingRequest) {
        if (request.markUncounted()) waiting.decrementAndGet()
    }

    private fun leastServed(): Map.Entry<String, TeamQueue>? =
        teams.entries
            .filter { it.value.requests.peek() != null }
            .minByOrNull { it.value.virtualFinishTime() }

    private class TeamQueue {
        val requests = ConcurrentLinkedQueue<WaitingRequest>()
        private val finishTime = AtomicLong()

        fun advanceTo(time: Long) {
            if (requests.isEmpty()) finishTime.accumulateAndGet(time, ::maxOf)
        }

        fun charge(amount: Long) {
            finishTime.addAndGet(amount)
        }

        fun virtualFinishTime(): Long = finishTime.get()
    }

    private companion object {
        const val VIRTUAL_TIME_PER_REQUEST = 1_000_000L
    }
}
