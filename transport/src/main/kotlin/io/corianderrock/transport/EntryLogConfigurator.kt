/*
 * Logging of an entry, configured in code: parsing a configuration file takes a third of the processor time from the start of an
 * entry until it serves.
 */
package io.corianderrock.transport

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import ch.qos.logback.classic.spi.ConfiguratorRank
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase
import org.slf4j.Logger

private const val ENTRY_LOGGING_PROPERTY = "corianderrock.entryLogging"

/** Selects the logging of an entry for this process. Has no effect once a logger exists. */
public fun useEntryLogging() {
    System.setProperty(ENTRY_LOGGING_PROPERTY, "true")
    System.setProperty("org.jboss.logging.provider", "slf4j")
}

/**
 * Writes to standard output through a bounded queue after [useEntryLogging]. Lines that do not fit are dropped, so that logging
 * never blocks a thread. Other processes are configured by `logback.xml`. Found by the logging library as a service.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public class EntryLogConfigurator :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): ExecutionStatus {
        if (System.getProperty(ENTRY_LOGGING_PROPERTY) == null) return ExecutionStatus.INVOKE_NEXT_IF_ANY
        for (name in LIBRARY_LOGGERS) context.getLogger(name).level = Level.WARN
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.INFO
        root.addAppender(queueTo(consoleAppender(context), context))
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun consoleAppender(loggerContext: LoggerContext): ConsoleAppender<ILoggingEvent> {
        val lineEncoder =
            PatternLayoutEncoder().apply {
                context = loggerContext
                pattern = LINE_PATTERN
                start()
            }
        return ConsoleAppender<ILoggingEvent>().apply {
            context = loggerContext
            encoder = lineEncoder
            start()
        }
    }

    private fun queueTo(
        target: ConsoleAppender<ILoggingEvent>,
        loggerContext: LoggerContext,
    ): AsyncAppender =
        AsyncAppender().apply {
            context = loggerContext
            queueSize = QUEUE_SIZE_LINES
            discardingThreshold = 0
            isNeverBlock = true
            addAppender(target)
            start()
        }

    private companion object {
        const val LINE_PATTERN = "time=%d{HH:mm:ss.SSS} level=%level logger=%logger %msg%n%nopex"
        const val QUEUE_SIZE_LINES = 4_096

        /** Libraries that log each connection or call at INFO. */
        val LIBRARY_LOGGERS = listOf("io.undertow", "org.xnio", "org.jboss")
    }
}
