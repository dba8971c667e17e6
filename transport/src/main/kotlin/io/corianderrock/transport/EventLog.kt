/*
 * Structured logs: one line of key=value pairs for each event.
 */
package io.corianderrock.transport

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.KotlinLogging

/** One key=value pair of a log line. */
public class Field(
    internal val key: String,
    internal val value: Any?,
)

/** Pairs this key with [value]. Secrets are never handed to a log. */
public infix fun String.eq(value: Any?): Field = Field(this, value)

/** Writes events under the name of one component. */
public class EventLog(
    component: String,
) {
    private val logger: KLogger = KotlinLogging.logger(component)

    /** Writes an event of the normal course of things. */
    public fun info(
        event: String,
        vararg fields: Field,
    ): Unit = logger.info { line(event, fields) }

    /** Writes an event that an operator should look at. */
    public fun warn(
        event: String,
        vararg fields: Field,
    ): Unit = logger.warn { line(event, fields) }

    /** Writes a failure. */
    public fun error(
        event: String,
        vararg fields: Field,
    ): Unit = logger.error { line(event, fields) }

    /** Writes a failure with its [cause]. */
    public fun error(
        event: String,
        cause: Throwable,
        vararg fields: Field,
    ): Unit = logger.error { line(event, fields) + " cause=" + quoted(cause.toString()) }

    private fun line(
        event: String,
        fields: Array<out Field>,
    ): String = fields.joinToString(separator = "", prefix = "event=$event") { " " + it.key + "=" + quoted(it.value.toString()) }

    private fun quoted(value: String): String {
        if (value.isNotEmpty() && value.all(::isPlain)) return value
        return "\"" +
            value
                .replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replace("\n", "\\n")
                .replace("\r", "\\r") + "\""
    }

    private fun isPlain(char: Char): Boolean = char > ' ' && char != '"' && char != '=' && char != '\\'
}
