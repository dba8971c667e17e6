/*
 * Requests that this entry has written to the store and that the store may still carry out. Writing one again would cost the store a
 * second transaction and tells nothing about the first, so its outcome is read instead.
 */
package io.corianderrock.jobs.entry

import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.storerate.OpenWrites

/** The requests in flight, and those whose answer was lost, by the inbox row that each writes. Confined to [loop]. */
internal class OpenRequests(
    private val loop: EventLoop,
) {
    private class Open(
        val sentAtMs: Long,
        onAnswer: (CallerAnswer) -> Unit,
    ) {
        /** Who waits for the answer; empty once it is lost. */
        val waiting = arrayListOf(onAnswer)
    }

    /** In the order in which they were sent. */
    private val requests = LinkedHashMap<RowKey, Open>()

    /** True while the request [key] may still be carried out. */
    fun isOpen(key: RowKey): Boolean {
        requests.values.removeIf { it.waiting.isEmpty() && loop.nowMs - it.sentAtMs >= OpenWrites.MAY_LAND_MS }
        return key in requests
    }

    /** Passes the answer to the transaction in flight for [key] to [onAnswer]; false if there is none. */
    fun join(
        key: RowKey,
        onAnswer: (CallerAnswer) -> Unit,
    ): Boolean {
        val waiting = requests[key]?.waiting
        return !waiting.isNullOrEmpty() && waiting.add(onAnswer)
    }

    fun onSent(
        key: RowKey,
        onAnswer: (CallerAnswer) -> Unit,
    ) {
        requests[key] = Open(loop.nowMs, onAnswer)
    }

    /** Answers all who wait for the transaction of [key]. Without a certain [answer] the request stays open. */
    fun onAnswered(
        key: RowKey,
        answer: CallerAnswer,
    ) {
        val request = requests.getValue(key)
        if (answer !is CallerAnswer.Uncertain) requests.remove(key)
        val waiting = request.waiting.toList()
        request.waiting.clear()
        waiting.forEach { it(answer) }
    }

    /** Called when a read has shown that the request [key], whose answer was lost, was carried out. A later one in flight has its own answer. */
    fun onSettled(key: RowKey) {
        if (requests[key]?.waiting?.isEmpty() == true) requests.remove(key)
    }
}
