/*
 * Decodes TOML into serializable classes. Unknown keys, wrong types and missing keys are all reported together, with
 * their lines.
 */
package io.corianderrock.protocol.toml

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PolymorphicKind
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

/** Decodes [text] with [strategy]; [file] is its name in problems. Unknown keys are problems. */
public fun <T> decodeToml(
    strategy: DeserializationStrategy<T>,
    file: String,
    text: String,
): Validated<LocatedValue<T>> {
    val document =
        when (val parsed = TomlDocument.parse(file, text)) {
            is Validated.Valid -> parsed.value
            is Validated.Invalid -> return parsed
        }
    val problems = SchemaValidator(document).validate(strategy.descriptor)
    if (problems.isNotEmpty()) return Validated.Invalid(problems)
    return try {
        val value = Json.decodeFromJsonElement(strategy, document.root)
        Validated.Valid(LocatedValue(value, document::lineOf))
    } catch (e: SerializationException) {
        val message =
            e.message
                .orEmpty()
                .lineSequence()
                .first()
        Validated.Invalid(listOf(Problem(file, 0, "(content)", message, "correct the value")))
    }
}

@OptIn(ExperimentalSerializationApi::class)
private class SchemaValidator(
    private val document: TomlDocument,
) {
    private val problems = ArrayList<Problem>()

    fun validate(descriptor: SerialDescriptor): List<Problem> {
        checkObject(document.root, descriptor, path = "")
        return problems
    }

    private fun checkElement(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: String,
    ) {
        if (descriptor.isInline) return checkElement(element, descriptor.getElementDescriptor(0), path)
        when (val kind = descriptor.kind) {
            StructureKind.CLASS -> checkClass(element, descriptor, path)
            StructureKind.LIST -> checkList(element, descriptor, path)
            StructureKind.MAP -> if (element !is JsonObject) report(path, element, "expected a table")
            is PrimitiveKind -> checkPrimitive(element, kind, path)
            SerialKind.ENUM -> checkEnum(element, descriptor, path)
            is PolymorphicKind, SerialKind.CONTEXTUAL, StructureKind.OBJECT -> Unit
        }
    }

    private fun checkClass(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: String,
    ) {
        if (element is JsonObject) checkObject(element, descriptor, path) else report(path, element, "expected a table")
    }

    private fun checkObject(
        element: JsonObject,
        descriptor: SerialDescriptor,
        path: String,
    ) {
        val allowedKeys = descriptor.elementNames.toList()
        for ((name, value) in element) {
            val index = allowedKeys.indexOf(name)
            val childPath = if (path.isEmpty()) name else "$path.$name"
            if (index < 0) {
                report(childPath, "unknown key", "allowed keys are ${allowedKeys.joinToString()}")
            } else {
                checkElement(value, descriptor.getElementDescriptor(index), childPath)
            }
        }
        allowedKeys.indices
            .filter { !descriptor.isElementOptional(it) && allowedKeys[it] !in element }
            .forEach { report(path.ifEmpty { allowedKeys[it] }, "no ${allowedKeys[it]}", "the key ${allowedKeys[it]} is required") }
    }

    private fun checkList(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: String,
    ) {
        if (element !is JsonArray) return report(path, element, "expected a list")
        element.forEachIndexed { index, item -> checkElement(item, descriptor.getElementDescriptor(0), "$path[$index]") }
    }

    private fun checkPrimitive(
        element: JsonElement,
        kind: PrimitiveKind,
        path: String,
    ) {
        val primitive = element as? JsonPrimitive ?: return report(path, element, "expected a single value")
        val isValid =
            when (kind) {
                PrimitiveKind.STRING -> primitive.isString
                PrimitiveKind.BOOLEAN -> !primitive.isString && primitive.booleanOrNull != null
                PrimitiveKind.DOUBLE, PrimitiveKind.FLOAT -> !primitive.isString && primitive.doubleOrNull != null
                PrimitiveKind.INT -> !primitive.isString && primitive.longOrNull in Int.MIN_VALUE.toLong()..Int.MAX_VALUE
                else -> !primitive.isString && primitive.longOrNull != null
            }
        if (!isValid) report(path, element, "expected a value of type ${nameOf(kind)}")
    }

    private operator fun ClosedRange<Long>.contains(value: Long?): Boolean = value != null && value >= start && value <= endInclusive

    private fun checkEnum(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: String,
    ) {
        val allowed = descriptor.elementNames.toList()
        val found = (element as? JsonPrimitive)?.content
        if (found !in allowed) report(path, element, "expected one of ${allowed.joinToString()}")
    }

    private fun nameOf(kind: PrimitiveKind): String =
        when (kind) {
            PrimitiveKind.STRING -> "string"
            PrimitiveKind.BOOLEAN -> "boolean"
            PrimitiveKind.DOUBLE, PrimitiveKind.FLOAT -> "float"
            else -> "integer"
        }

    private fun report(
        path: String,
        found: JsonElement,
        allowed: String,
    ) = report(path, found.toString().take(MAX_SHOWN_CHARS), allowed)

    private fun report(
        path: String,
        found: String,
        allowed: String,
    ) {
        problems += Problem(document.file, document.lineOf(path), path, found, allowed)
    }

    private companion object {
        const val MAX_SHOWN_CHARS = 80
    }
}
