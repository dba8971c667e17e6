/*
 * Structured logging: each event is one line of key=value pairs.
 */
package io.corianderrock.transport

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.KotlinLogging

/** A key=value pair of a log line. */
public class Field(
    internal val key: String,
    internal val value: Any?,
)

/** Creates a field with this key and [value], which is written with `toString` and must not be a secret. */
public infix fun String.eq(value: Any?): Field = Field(this, value)

/** Writes events to the logger named [component]. */
public class EventLog(
    component: String,
) {
    private val logger: KLogger = KotlinLogging.logger(component)

    /** Logs an event of normal operation. */
    public fun info(
        event: String,
        vararg fields: Field,
    ): Unit = logger.info { formatLine(event, fields) }

    /** Logs an event that needs the attention of an operator. */
    public fun warn(
        event: String,
        vararg fields: Field,
    ): Unit = logger.warn { formatLine(event, fields) }

    /** Logs a failure. */
    public fun error(
        event: String,
        vararg fields: Field,
    ): Unit = logger.error { formatLine(event, fields) }

    /** Logs a failure with its [cause], as the field `cause` and without the stack trace. */
    public fun error(
        event: String,
        cause: Throwable,
        vararg fields: Field,
    ): Unit = logger.error { formatLine(event, fields) + " cause=" + quoteIfNeeded(cause.toString()) }

    private fun formatLine(
        event: String,
        fields: Array<out Field>,
    ): String = fields.joinToString(separator = "", prefix = "event=$event") { " " + it.key + "=" + quoteIfNeeded(it.value.toString()) }

    private fun quoteIfNeeded(value: String): String {
        if (value.isNotEmpty() && value.all(::needsNoQuotes)) return value
        return value.asSequence().joinToString("", "\"", "\"", transform = ::escape)
    }

    /** Values may come from other programs: control characters would split the line or act on a terminal. */
    private fun escape(char: Char): String =
        when {
            char == '\\' || char == '"' -> "\\$char"
            char == '\n' -> "\\n"
            char == '\r' -> "\\r"
            char.isISOControl() -> "\\u%04x".format(char.code)
            else -> char.toString()
        }

    private fun needsNoQuotes(char: Char): Boolean = char > ' ' && char != '"' && char != '=' && char != '\\' && !char.isISOControl()
}
