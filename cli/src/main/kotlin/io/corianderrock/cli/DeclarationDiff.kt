/*
 * Compares two sets of declarations by type, name and key of their objects.
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

/** Whether an object is added, removed or changed. */
@Serializable
internal enum class ChangeKind { ADD, REMOVE, CHANGE }

/** An object that differs; for [ChangeKind.CHANGE], [details] has one line per changed key with its old and new value. */
@Serializable
internal data class ObjectChange(
    val kind: ChangeKind,
    val type: String,
    val name: String,
    val details: List<String> = emptyList(),
)

/** The changes that turn [old] into [new]; objects are matched by type and name. */
internal fun compareDeclarations(
    old: Declarations,
    new: Declarations,
): List<ObjectChange> {
    val before = toJson(old)
    val after = toJson(new)
    return (before.keys + after.keys).flatMap { type -> compareType(type, objectsByName(before[type]), objectsByName(after[type])) }
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
            ObjectChange(ChangeKind.CHANGE, type, name, changedKeys(before.getValue(name), after.getValue(name)))
        }
    return removed + added + changed
}

private fun changedKeys(
    before: JsonObject,
    after: JsonObject,
): List<String> =
    (before.keys + after.keys)
        .filter { before[it] != after[it] }
        .map { "$it: ${before[it]} -> ${after[it]}" }

private fun toJson(declarations: Declarations): JsonObject =
    JSON_WITH_DEFAULTS.encodeToJsonElement(Declarations.serializer(), declarations).jsonObject

private fun objectsByName(element: JsonElement?): Map<String, JsonObject> =
    (element ?: JsonArray(emptyList())).jsonArray.map { it.jsonObject }.associateBy { it.getValue("name").jsonPrimitive.content }

private val JSON_WITH_DEFAULTS = Json { encodeDefaults = true }
