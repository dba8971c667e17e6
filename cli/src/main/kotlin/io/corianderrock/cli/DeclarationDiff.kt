/*
 * Compares two sets of declarations object by object.
 */
package io.corianderrock.cli

import io.corianderrock.state.Declarations
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** How an object changes. */
@Serializable
internal enum class ChangeKind { ADD, REMOVE, CHANGE }

/** One object that differs; [details] has a line for each key of a changed object. */
@Serializable
internal data class ObjectChange(
    val kind: ChangeKind,
    val type: String,
    val name: String,
    val details: List<String> = emptyList(),
)

/** Returns the changes that lead from [old] to [new]. */
internal fun compareDeclarations(
    old: Declarations,
    new: Declarations,
): List<ObjectChange> {
    val before = encode(old)
    val after = encode(new)
    return (before.keys + after.keys).flatMap { type -> compareType(type, objects(before[type]), objects(after[type])) }
}

private fun compareType(
    type: String,
    before: Map<String, JsonObject>,
    after: Map<String, JsonObject>,
): List<ObjectChange> {
    val removed = (before.keys - after.keys).map { ObjectChange(ChangeKind.REMOVE, type, it) }
    val added = (after.keys - before.keys).map { ObjectChange(ChangeKind.ADD, type, it) }
    val changed =
        before.keys.intersect(after.keys).filter { before[it] != after[it] }.map { name ->
            ObjectChange(ChangeKind.CHANGE, type, name, differences(before.getValue(name), after.getValue(name)))
        }
    return removed + added + changed
}

private fun differences(
    before: JsonObject,
    after: JsonObject,
): List<String> =
    (before.keys + after.keys)
        .filter { before[it] != after[it] }
        .map { "$it: ${before[it]} -> ${after[it]}" }

private fun encode(declarations: Declarations): JsonObject = FULL.encodeToJsonElement(Declarations.serializer(), declarations).jsonObject

private fun objects(element: JsonElement?): Map<String, JsonObject> =
    (element ?: JsonArray(emptyList())).jsonArray.map { it.jsonObject }.associateBy { it.getValue("name").jsonPrimitive.content }

private val FULL = Json { encodeDefaults = true }
