/*
 * A bounded queue that is fair between teams by weight. Enqueue and dequeue are lock-free.
 */
package io.corianderrock.coordination.admission

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Holds at most [limit] waiting requests. Each dequeue takes from the team that has received the least service per
 * weight; abandoned requests are skipped.
 */
public class FairQueue(
    private val limit: Int,
    private val weightOf: (String) -> Int = { 1 },
) {
    private val teams = ConcurrentHashMap<String, TeamQueue>()
    private val waiting = AtomicInteger()
    private val virtualTime = AtomicLong()

    /** The number of requests that wait now. */
    public val size: Int get() = waiting.get()

    /** Adds [request]. Returns false when the queue is full. */
    public fun offer(request: WaitingRequest): Boolean {
        if (waiting.incrementAndGet() > limit) {
            waiting.decrementAndGet()
            return false
        }
        val queue = teams.computeIfAbsent(request.team) { TeamQueue() }
        queue.startAt(virtualTime.get())
        queue.requests.add(request)
        return true
    }

    /** Removes and returns the next waiting request, or null when none waits. */
    public fun poll(): WaitingRequest? {
        while (true) {
            val (team, queue) = leastServed() ?: return null
            val request = queue.requests.poll() ?: continue
            uncount(request)
            if (!request.isWaiting) continue
            queue.charge(VIRTUAL_UNIT / weightOf(team).coerceAtLeast(1))
            virtualTime.accumulateAndGet(queue.servedUntil(), ::maxOf)
            return request
        }
    }

    /** Removes a [request] that was abandoned. */
    public fun remove(request: WaitingRequest) {
        uncount(request)
        teams[request.team]?.requests?.remove(request)
    }

    private fun uncount(request: WaitingRequest) {
        if (request.leaveCount()) waiting.decrementAndGet()
    }

    private fun leastServed(): Map.Entry<String, TeamQueue>? =
        teams.entries
            .filter { it.value.requests.peek() != null }
            .minByOrNull { it.value.servedUntil() }

    private class TeamQueue {
        val requests = ConcurrentLinkedQueue<WaitingRequest>()
        private val served = AtomicLong()

        fun startAt(time: Long) {
            if (requests.isEmpty()) served.accumulateAndGet(time, ::maxOf)
        }

        fun charge(amount: Long) {
            served.addAndGet(amount)
        }

        fun servedUntil(): Long = served.get()
    }

    private companion object {
        const val VIRTUAL_UNIT = 1_000_000L
    }
}
