/*
 * Seats: each entry of a data centre holds a numbered seat, which determines its share of every worker's slots.
 */
package io.corianderrock.coordination.fleet

import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.Precondition
import io.corianderrock.coordination.Row
import io.corianderrock.coordination.TableService
import io.corianderrock.coordination.Transaction
import io.corianderrock.coordination.Write
import io.corianderrock.coordination.transactExactlyOnce
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The row of a seat. [entry] is empty while the seat is free. [seats] is the number of seats that the entry is configured for. */
@Serializable
public data class SeatRow(
    val entry: String,
    val seats: Int,
)

/** The result of [SeatRegistry.acquire]. */
public sealed interface SeatResult {
    /** The entry holds seat number [seat]; [revision] of its row fences the release. */
    public data class Seated(
        val seat: Int,
        val revision: Long,
    ) : SeatResult

    /** No seat was acquired: each belongs to an entry that is not known to be gone, or another entry acquired the free one first. */
    public data object Full : SeatResult

    /** Another entry of the data centre is configured for [seats] seats; the number has to be the same on all of them. */
    public data class Disagreement(
        val seats: Int,
    ) : SeatResult

    /** A platform call failed; the entry may hold the seat if the failure may have applied. */
    public data class Failed(
        val failure: PlatformResult.Failed,
    ) : SeatResult
}

/** Allocates the [seats] seats of [dataCentre]. A seat is taken over only if its holder [isGone]. */
public class SeatRegistry(
    private val table: TableService,
    private val dataCentre: String,
    private val seats: Int,
    private val isGone: (String) -> Boolean,
    private val newId: () -> String,
) {
    /** Acquires the first free seat for [entry], or the seat it holds already, and registers the entry in the same transaction. */
    public fun acquire(entry: EntryRow): SeatResult {
        val rows =
            when (val scanned = table.scan(prefix())) {
                is PlatformResult.Ok -> scanned.value.associateBy { it.key }
                is PlatformResult.Failed -> return SeatResult.Failed(scanned)
                is PlatformResult.Conflict -> return SeatResult.Full
            }
        val occupied = rows.values.map(::decode)
        occupied
            .firstOrNull { it.seats != seats && it.entry.isNotEmpty() && !isGone(it.entry) }
            ?.let { return SeatResult.Disagreement(it.seats) }
        for (seat in 0 until seats) {
            val row = rows[key(seat)]
            val holder = row?.let(::decode)?.entry
            val isFree = holder.isNullOrEmpty() || holder == entry.id || isGone(holder)
            if (isFree) return tryAcquire(entry.copy(seat = seat), row)
        }
        return SeatResult.Full
    }

    /** Frees the seat that [entry] has [held] and marks the entry as left. Called after its last request has completed. */
    public fun release(
        entry: EntryRow,
        held: SeatResult.Seated,
    ): PlatformResult<Long> {
        val freed = Write(key(entry.seat), Json.encodeToString(SeatRow.serializer(), SeatRow(entry = "", seats)))
        val fence = Precondition(key(entry.seat), held.revision)
        return table.transactExactlyOnce(Transaction(newId(), listOf(fence), listOf(freed, entry.copy(hasLeft = true).asWrite())))
    }

    private fun tryAcquire(
        entry: EntryRow,
        row: Row?,
    ): SeatResult {
        val seat = SeatRow(entry.id, seats)
        val transaction =
            Transaction(
                id = newId(),
                preconditions = listOf(Precondition(key(entry.seat), row?.revision ?: 0)),
                writes = listOf(Write(key(entry.seat), Json.encodeToString(SeatRow.serializer(), seat)), entry.asWrite()),
            )
        return when (val result = table.transactExactlyOnce(transaction)) {
            is PlatformResult.Ok -> SeatResult.Seated(entry.seat, result.value)
            is PlatformResult.Conflict -> SeatResult.Full
            is PlatformResult.Failed -> SeatResult.Failed(result)
        }
    }

    private fun decode(row: Row): SeatRow = Json.decodeFromString(SeatRow.serializer(), row.value)

    private fun prefix(): String = "seat/$dataCentre/"

    private fun key(seat: Int): String = prefix() + seat
}

/** The share of [seat] when [total] units are divided among [seats] seats. The shares differ by at most 1 and add up to [total]. */
public fun seatShare(
    total: Int,
    seat: Int,
    seats: Int,
): Int = total / seats + if (seat < total % seats) 1 else 0
