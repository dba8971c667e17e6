/*
 * The stored row that names the owner: the entry that runs the scheduler. Its epoch is the fence of every order to a
 * worker and the token of every order to an instance.
 */
package io.corianderrock.jobs.ownership

import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.ports.decodeOrNull
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * [holder] and [address] are empty while there is no owner. [epoch] rises with each claim, [heartbeat] with each write of
 * the holder. For [earlierOrdersWindowMs] after the write, owners before the holder may still send orders, since they may
 * not know yet that they have lost the ownership. [processorMilli] is the largest processor time that a holder has had so far, in
 * thousandths of a core, zero if not known; it is kept when the holder releases the row.
 */
@Serializable
public data class OwnerRow(
    val holder: String,
    val address: String,
    val epoch: Long,
    @SerialName("beat") val heartbeat: Long,
    @SerialName("unsettledMs") val earlierOrdersWindowMs: Long = 0,
    val processorMilli: Int = 0,
) {
    internal fun released(): OwnerRow = copy(holder = "", address = "", heartbeat = heartbeat + 1)

    internal fun encode(): String = Json.encodeToString(serializer(), this)

    public companion object {
        internal val KEY: RowKey = RowKey(Table.OWNERS, "scheduler")

        internal fun decode(text: String): OwnerRow? = Json.decodeOrNull(serializer(), text)
    }
}
