/*
 * Seats: each entry of a data centre holds a numbered seat, which decides its share of every worker's slots.
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

/** The row of a seat. [seats] is the number of seats of the data centre, on which all its entries agree. */
@Serializable
public data class SeatRow(
    val entry: String,
    val seats: Int,
)

/** The result of asking for a seat. */
public sealed interface SeatResult {
    /** The entry holds seat number [seat], whose row has [revision]. */
    public data class Seated(
        val seat: Int,
        val revision: Long,
    ) : SeatResult

    /** Every seat belongs to an instance that the platform does not call gone. */
    public data object Full : SeatResult

    /** Other entries of the data centre were set up for [seats] seats. */
    public data class Disagreement(
        val seats: Int,
    ) : SeatResult

    /** The platform did not answer. */
    public data class Failed(
        val failure: PlatformResult.Failed,
    ) : SeatResult
}

/** Hands out the [seats] seats of [dataCentre]. A seat is taken over only from an instance that is proved gone. */
public class SeatRegistry(
    private val table: TableService,
    private val dataCentre: String,
    private val seats: Int,
    private val isGone: (String) -> Boolean,
    private val newId: () -> String,
) {
    /** Takes a seat for [entry] and makes the entry known in the same transaction. */
    public fun take(entry: EntryRow): SeatResult {
        val rows =
            when (val scanned = table.scan(prefix())) {
                is PlatformResult.Ok -> scanned.value.associateBy { it.key }
                is PlatformResult.Failed -> return SeatResult.Failed(scanned)
                is PlatformResult.Conflict -> return SeatResult.Full
            }
        val occupied = rows.values.map(::decode)
        occupied
            .firstOrNull {
                it.seats != seats &&
                    it.entry.isNotEmpty() &&
                    !isGone(
                        it.entry,
                    )
            }?.let { return SeatResult.Disagreement(it.seats) }
        for (seat in 0 until seats) {
            val row = rows[key(seat)]
            val holder = row?.let(::decode)?.entry
            val isFree = holder.isNullOrEmpty() || holder == entry.id || isGone(holder)
            if (isFree) return claim(entry.copy(seat = seat), row)
        }
        return SeatResult.Full
    }

    /** Frees the seat that [entry] has [held] and records that it has left, after its last request has finished. */
    public fun leave(
        entry: EntryRow,
        held: SeatResult.Seated,
    ): PlatformResult<Long> {
        val freed = Write(key(entry.seat), Json.encodeToString(SeatRow.serializer(), SeatRow(entry = "", seats)))
        val fence = Precondition(key(entry.seat), held.revision)
        return table.transactExactlyOnce(Transaction(newId(), listOf(fence), listOf(freed, entry.copy(hasLeft = true).asWrite())))
    }

    private fun claim(
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

/** Returns how many of [total] units belong to [seat] when [seats] seats share them; the shares add up to [total]. */
public fun seatShare(
    total: Int,
    seat: Int,
    seats: Int,
): Int = total / seats + if (seat < total % seats) 1 else 0
