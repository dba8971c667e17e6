/*
 * What every program does at its start and its end.
 */
package io.corianderrock.transport

import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.ParserProperties
import sun.misc.Signal
import java.util.concurrent.CountDownLatch

/** Parses [args] into [bean], or prints the error with the usage and returns null. */
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
 * Blocks the calling thread until the process receives SIGTERM or SIGINT, then runs [stop] to its end and exits with
 * code 0. The shutdown hook only waits, so that [stop] runs on a live virtual machine.
 */
public fun onStopSignal(stop: () -> Unit) {
    val signalled = CountDownLatch(1)
    val never = CountDownLatch(1)
    val hook =
        Thread {
            signalled.countDown()
            never.await()
        }
    Runtime.getRuntime().addShutdownHook(hook)
    signalled.await()
    stop()
    System.err.flush()
    Runtime.getRuntime().halt(0)
}

/** Runs [reload] on each SIGHUP, which would otherwise end the process. */
public fun onReloadSignal(reload: () -> Unit) {
    Signal.handle(Signal("HUP")) { reload() }
}

private const val USAGE_WIDTH = 110
