/*
 * Rates of the simulated store, as the platform's store has them: calls of all entries together, and the transactions of the part in
 * which the job tables are, carried out one after another.
 */
package io.corianderrock.jobs.world

/** Calls beyond a rate are refused with status 429. */
internal data class StoreRates(
    val readsPerS: Int,
    val writesPerS: Int,
    val partWritesPerS: Int,
    /** True if a refused transaction takes the time of its part like one that is carried out. The platform does not tell. */
    val countsRefused: Boolean,
) {
    /** As the settings of an entry tell them. */
    fun told() =
        io.corianderrock.jobs.storerate.StoreRates(
            readsPerS = readsPerS.toDouble(),
            writesPerS = writesPerS.toDouble(),
            partWritesPerS = partWritesPerS.toDouble(),
            transactionMs = 1_000.0 / partWritesPerS,
        )
}

/** What the calls so far leave of [rates]; the time of each call rises with [slowFactor]. */
internal class StoreLoad(
    time: SimTime,
    private val rates: StoreRates,
) {
    var slowFactor = 1.0
    private val reads = RateQueue(time, rates.readsPerS)
    private val writes = RateQueue(time, rates.writesPerS)
    private val part = RateQueue(time, rates.partWritesPerS)

    /** Time until the part accepts transactions again; 0 if it does. */
    val partExcessMs: Long get() = part.excessMs

    /** How much longer than usual an answer takes. */
    val extraAnswerMs: Long get() = (READ_MS * (slowFactor - 1)).toLong()

    fun admitsRead(): Boolean = !reads.isFull.also { reads.add(1.0) }

    /** The time that a transaction sent now takes, null if it is refused. */
    fun transactionMs(): Long? {
        val isRefused = writes.isFull || part.isFull
        writes.add(1.0)
        if (!isRefused || rates.countsRefused) part.add(slowFactor)
        return if (isRefused) null else part.waitingMs
    }

    /** Counts a transaction that the store took earlier and carries out now: it can no longer be refused. */
    fun addLateTransaction() = part.add(slowFactor)

    private companion object {
        const val READ_MS = 4L
    }
}

/** Calls that are carried out one after another, [perS] of them a second. */
private class RateQueue(
    private val time: SimTime,
    private val perS: Int,
) {
    private var busyUntilMs = 0.0

    val waitingMs: Long get() = maxOf(0.0, busyUntilMs - time.nowMs).toLong()

    val excessMs: Long get() = maxOf(0, waitingMs - MAX_WAITING_MS)

    val isFull: Boolean get() = excessMs > 0

    /** Adds a call that takes [factor] times as long as usual. */
    fun add(factor: Double) {
        busyUntilMs = maxOf(busyUntilMs, time.nowMs.toDouble()) + factor * MS_PER_S / perS
    }

    private companion object {
        const val MS_PER_S = 1_000.0

        /** Waiting calls beyond which the platform's store refuses more. */
        const val MAX_WAITING_MS = 1_000L
    }
}
