/*
 * The main function of the daemon process.
 */
package io.corianderrock.daemon

import io.corianderrock.protocol.toml.Validated
import io.corianderrock.transport.EventLog
import io.corianderrock.transport.ListenException
import io.corianderrock.transport.eq
import io.corianderrock.transport.onStopSignal
import io.corianderrock.transport.parseArguments
import org.kohsuke.args4j.Option
import java.io.File
import kotlin.system.exitProcess

/** Command line arguments of the daemon, bound by args4j. */
internal class DaemonArguments {
    @Option(name = "--settings", usage = "TOML file with the settings", required = true)
    var settings: File = File("corianderrockd.toml")

    @Option(name = "--check", usage = "validate the settings and exit with 0 if they are valid, else 1")
    var check: Boolean = false
}

private const val EXIT_INVALID = 1
private const val EXIT_USAGE = 2
private const val EXIT_START_FAILED = 3

/** Starts the daemon and serves until the process receives a stop signal. */
public fun main(args: Array<String>) {
    val arguments = parseArguments(DaemonArguments(), args) ?: exitProcess(EXIT_USAGE)
    val settings =
        when (val loaded = loadDaemonSettings(arguments.settings)) {
            is Validated.Valid -> loaded.value
            is Validated.Invalid -> {
                loaded.problems.forEach { System.err.println(it) }
                exitProcess(EXIT_INVALID)
            }
        }
    if (arguments.check) {
        println("${arguments.settings}: valid")
        return
    }
    val daemon =
        try {
            Daemon(settings)
        } catch (e: ListenException) {
            EventLog("daemon").error("start-failed", "step" eq "listen", "reason" eq e.message)
            exitProcess(EXIT_START_FAILED)
        }
    onStopSignal { daemon.close() }
}
