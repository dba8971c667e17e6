/*
 * Command line parsing and signal handling shared by all programs.
 */
package io.corianderrock.transport

import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.ParserProperties
import sun.misc.Signal
import java.util.concurrent.CountDownLatch

/** Parses [args] into [bean]. On invalid arguments prints the error and the usage to standard error and returns null. */
public fun <T : Any> parseArguments(
    bean: T,
    args: Array<String>,
): T? {
    val parser = CmdLineParser(bean, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH))
    return try {
        parser.parseArgument(*args)
        bean
    } catch (e: CmdLineException) {
        System.err.println(e.message)
        parser.printUsage(System.err)
        null
    }
}

/**
 * Blocks the calling thread until the process receives SIGTERM or SIGINT, then runs [stop] and exits with code 0.
 * The shutdown hook blocks until the exit, so that [stop] runs before the JVM shuts down.
 */
public fun onStopSignal(stop: () -> Unit) {
    val stopSignalled = CountDownLatch(1)
    val untilExit = CountDownLatch(1)
    val hook =
        Thread {
            stopSignalled.countDown()
            untilExit.await()
        }
    Runtime.getRuntime().addShutdownHook(hook)
    stopSignalled.await()
    stop()
    System.err.flush()
    Runtime.getRuntime().halt(0)
}

/** Runs [reload] on each SIGHUP, whose default action would terminate the process. */
public fun onReloadSignal(reload: () -> Unit) {
    Signal.handle(Signal("HUP")) { reload() }
}

private const val USAGE_WIDTH = 110
