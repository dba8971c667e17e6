/*
 * Parses TOML into a tree of JSON elements and the line of each key, the input of schema validation.
 */
package io.corianderrock.protocol.toml

import com.akuleshov7.ktoml.TomlInputConfig
import com.akuleshov7.ktoml.exceptions.TomlDecodingException
import com.akuleshov7.ktoml.parsers.TomlParser
import com.akuleshov7.ktoml.tree.nodes.TableType
import com.akuleshov7.ktoml.tree.nodes.TomlArrayOfTablesElement
import com.akuleshov7.ktoml.tree.nodes.TomlKeyValueArray
import com.akuleshov7.ktoml.tree.nodes.TomlKeyValuePrimitive
import com.akuleshov7.ktoml.tree.nodes.TomlNode
import com.akuleshov7.ktoml.tree.nodes.TomlTable
import com.akuleshov7.ktoml.tree.nodes.pairs.values.TomlValue
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** A parsed TOML file: its [root] table, and [lines] by key path, such as `service[2].pool`. */
internal class TomlDocument(
    val file: String,
    val root: JsonObject,
    private val lines: Map<String, Int>,
) {
    /** Returns the line of [path] or else of its nearest ancestor, or 0 if neither is known. */
    fun lineOf(path: String): Int {
        var current = path
        while (current.isNotEmpty()) {
            lines[current]?.let { return it }
            current = current.substringBeforeLast('.', missingDelimiterValue = "")
        }
        return 0
    }

    companion object {
        /** Parses [text]. A syntax error is reported as a single problem, because the parser stops at the first. */
        fun parse(
            file: String,
            text: String,
        ): Validated<TomlDocument> {
            val tree =
                try {
                    TomlParser(TomlInputConfig()).parseString(text)
                } catch (e: TomlDecodingException) {
                    return syntaxProblem(file, e)
                }
            val builder = JsonTreeBuilder()
            return Validated.Valid(TomlDocument(file, builder.readObject(tree, path = ""), builder.lines))
        }

        private fun syntaxProblem(
            file: String,
            error: TomlDecodingException,
        ): Validated.Invalid {
            val message =
                error.message
                    .orEmpty()
                    .lineSequence()
                    .first()
            val line =
                LINE_NUMBER
                    .find(message)
                    ?.groupValues
                    ?.get(1)
                    ?.toIntOrNull() ?: 0
            return Validated.Invalid(listOf(Problem(file, line, "(syntax)", message, "the file must be valid TOML")))
        }

        private val LINE_NUMBER = Regex("[Ll]ine (\\d+)")
    }
}

private class JsonTreeBuilder {
    val lines = HashMap<String, Int>()

    fun readObject(
        node: TomlNode,
        path: String,
    ): JsonObject {
        val members = LinkedHashMap<String, JsonElement>()
        for (child in node.children) {
            when (child) {
                is TomlTable -> members[simpleName(child)] = readTable(child, join(path, simpleName(child)))
                is TomlKeyValuePrimitive -> members[simpleName(child)] = readKeyValue(child, child.value, join(path, simpleName(child)))
                is TomlKeyValueArray -> members[simpleName(child)] = readKeyValue(child, child.value, join(path, simpleName(child)))
                else -> Unit
            }
        }
        return JsonObject(members)
    }

    private fun readTable(
        table: TomlTable,
        path: String,
    ): JsonElement {
        lines[path] = table.lineNo
        if (table.type == TableType.PRIMITIVE) return readObject(table, path)
        val elements = table.children.filterIsInstance<TomlArrayOfTablesElement>()
        return JsonArray(elements.mapIndexed { index, element -> readElement(element, "$path[$index]") })
    }

    private fun readElement(
        element: TomlArrayOfTablesElement,
        path: String,
    ): JsonObject {
        lines[path] = element.lineNo
        return readObject(element, path)
    }

    private fun readKeyValue(
        pair: TomlNode,
        value: TomlValue,
        path: String,
    ): JsonElement {
        lines[path] = pair.lineNo
        return convert(value.content)
    }

    private fun convert(content: Any?): JsonElement =
        when (content) {
            null -> JsonNull
            is TomlValue -> convert(content.content)
            is List<*> -> JsonArray(content.map(::convert))
            is Number -> JsonPrimitive(content)
            is Boolean -> JsonPrimitive(content)
            else -> JsonPrimitive(content.toString())
        }

    private fun simpleName(node: TomlNode): String = node.name.substringAfterLast('.').trim('"')

    private fun join(
        path: String,
        name: String,
    ): String = if (path.isEmpty()) name else "$path.$name"
}
