/*
 * What a new owner knows of the owner before it. Workers may still carry out orders of that one until its orders have ended.
 */
package io.corianderrock.jobs.ownership

/** The owner before a claim, with what bounds the time until which it may have sent orders. */
public data class EarlierOwner(
    /** False when there was no owner before. */
    val existed: Boolean,
    /** True when it was this entry, in an earlier process or an earlier term of this one. */
    val isSameEntry: Boolean,
    /** Loop time by which its last write had been made. */
    val lastWriteByMs: Long,
    /** True when it sent no order after its last write: it released the ownership, or its process has ended. */
    val hasStopped: Boolean,
    /** For how many milliseconds after its last write the owners before it may have sent orders. */
    val earlierOrdersWindowMs: Long = 0,
) {
    /** Loop time after which no earlier owner sends an order; an owner stops sending [freshnessMs] after its last write. */
    public fun ordersEndMs(freshnessMs: Long): Long =
        lastWriteByMs + if (hasStopped) earlierOrdersWindowMs else maxOf(earlierOrdersWindowMs, freshnessMs)
}
