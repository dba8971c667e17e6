/*
 * Keys and codecs of the rows that describe the fleet.
 */
package io.corianderrock.coordination.fleet

import io.corianderrock.coordination.Row
import io.corianderrock.coordination.Write
import io.corianderrock.state.InstanceRow
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The prefix of rows that bind instances to pools. */
public const val INSTANCE_PREFIX: String = "instance/"

/** The prefix of rows by which entries make themselves known. */
public const val ENTRY_PREFIX: String = "entry/"

/**
 * An entry instance and its addresses. [seat] is its number within its data centre, from 0. An entry that [hasLeft] has
 * finished its requests and stopped gracefully.
 */
@Serializable
public data class EntryRow(
    val id: String,
    val dataCentre: String,
    val callersAddress: String,
    val peersAddress: String,
    val seat: Int,
    val hasLeft: Boolean = false,
)

/** Returns the prefix of the rows of instances of [dataCentre]. */
public fun instancePrefix(dataCentre: String): String = "$INSTANCE_PREFIX$dataCentre/"

/** Returns the key of the row of instance [id] of [dataCentre]. */
public fun instanceKey(
    dataCentre: String,
    id: String,
): String = instancePrefix(dataCentre) + id

/** Returns the key of the row of entry [id]. */
public fun entryKey(id: String): String = ENTRY_PREFIX + id

/** Decodes a row under [INSTANCE_PREFIX]. */
public fun decodeInstanceRow(row: Row): InstanceRow = Json.decodeFromString(InstanceRow.serializer(), row.value)

/** Decodes a row under [ENTRY_PREFIX]. */
public fun decodeEntryRow(row: Row): EntryRow = Json.decodeFromString(EntryRow.serializer(), row.value)

/** Returns the write of this row. */
public fun InstanceRow.asWrite(): Write = Write(instanceKey(dataCentre, id), Json.encodeToString(InstanceRow.serializer(), this))

/** Returns the write of this row. */
public fun EntryRow.asWrite(): Write = Write(entryKey(id), Json.encodeToString(EntryRow.serializer(), this))
