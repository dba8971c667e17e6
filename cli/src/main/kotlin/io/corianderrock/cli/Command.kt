/*
 * The base classes of commands: shared options, JSON output and the connection to a daemon.
 */
package io.corianderrock.cli

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.kohsuke.args4j.Option
import java.io.File
import java.io.PrintStream

/** A command of the command line. args4j binds its options and arguments to its properties. */
public abstract class Command {
    @Option(name = "--json", usage = "print JSON")
    internal var isJson: Boolean = false

    @Option(name = "--help", aliases = ["-h"], help = true, usage = "print help with examples")
    internal var isHelp: Boolean = false

    /** Example command lines, printed with the help. */
    internal abstract val examples: List<String>

    /** Runs the command and prints to [out] and [err]. */
    internal abstract fun run(
        out: PrintStream,
        err: PrintStream,
    ): ExitCode
}

/** A command that calls the operators' interface of a daemon. */
public abstract class DaemonCommand : Command() {
    @Option(name = "--daemon", metaVar = "HOST:PORT", usage = "address of a daemon's operators' interface; default: CORIANDERROCK_DAEMON")
    internal var daemon: String = System.getenv("CORIANDERROCK_DAEMON").orEmpty()

    @Option(name = "--token-file", metaVar = "FILE", usage = "file with the operator's token; default: the token in CORIANDERROCK_TOKEN")
    internal var tokenFile: String = ""

    @Option(name = "--timeout-ms", metaVar = "MS", usage = "timeout of one call to the daemon, in milliseconds")
    internal var timeoutMs: Long = DEFAULT_TIMEOUT_MS

    internal abstract fun run(
        client: DaemonClient,
        out: PrintStream,
        err: PrintStream,
    ): ExitCode

    override fun run(
        out: PrintStream,
        err: PrintStream,
    ): ExitCode {
        if (daemon.isEmpty()) {
            err.println("no daemon: give --daemon HOST:PORT or set CORIANDERROCK_DAEMON")
            return ExitCode.USAGE
        }
        val token = readToken(tokenFile)
        if (token == null) {
            err.println("no token: give --token-file FILE with a readable file or set CORIANDERROCK_TOKEN")
            return ExitCode.USAGE
        }
        return try {
            run(DaemonClient(daemon, token, timeoutMs), out, err)
        } catch (e: DaemonException) {
            err.println(e.message)
            e.exitCode
        }
    }

    private companion object {
        const val DEFAULT_TIMEOUT_MS = 10_000L
    }
}

/** Prints [value] as indented JSON. */
internal fun <T> PrintStream.json(
    serializer: KSerializer<T>,
    value: T,
) {
    println(PRETTY_JSON.encodeToString(serializer, value))
}

private val PRETTY_JSON = Json { prettyPrint = true }

private fun readToken(file: String): String? {
    if (file.isEmpty()) return System.getenv("CORIANDERROCK_TOKEN")?.trim()
    val path = File(file)
    return if (path.canRead()) path.readText().trim() else null
}
