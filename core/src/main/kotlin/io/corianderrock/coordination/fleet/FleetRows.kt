/*
 * Keys, types and codecs of the rows of instances and entries.
 */
package io.corianderrock.coordination.fleet

import io.corianderrock.coordination.Row
import io.corianderrock.coordination.Write
import io.corianderrock.state.InstanceRow
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The key prefix of [InstanceRow]s, which bind instances to pools. */
public const val INSTANCE_PREFIX: String = "instance/"

/** The key prefix of [EntryRow]s, by which entries register. */
public const val ENTRY_PREFIX: String = "entry/"

/**
 * A registered entry and its addresses. [seat] is the number of its seat within its data centre, from 0. [hasLeft] is set
 * when the entry has completed its requests and shut down gracefully; nothing waits for its confirmation from then on.
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

/** The key prefix of the instances of [dataCentre]. */
public fun instancePrefix(dataCentre: String): String = "$INSTANCE_PREFIX$dataCentre/"

/** The key of the row of instance [id] of [dataCentre]. */
public fun instanceKey(
    dataCentre: String,
    id: String,
): String = instancePrefix(dataCentre) + id

/** The key of the row of entry [id]. */
public fun entryKey(id: String): String = ENTRY_PREFIX + id

/** Decodes a row under [INSTANCE_PREFIX]. */
public fun decodeInstanceRow(row: Row): InstanceRow = Json.decodeFromString(InstanceRow.serializer(), row.value)

/** Decodes a row under [ENTRY_PREFIX]. */
public fun decodeEntryRow(row: Row): EntryRow = Json.decodeFromString(EntryRow.serializer(), row.value)

/** The write that stores this row. */
public fun InstanceRow.asWrite(): Write = Write(instanceKey(dataCentre, id), Json.encodeToString(InstanceRow.serializer(), this))

/** The write that stores this row. */
public fun EntryRow.asWrite(): Write = Write(entryKey(id), Json.encodeToString(EntryRow.serializer(), this))
