/*
 * What all commands share: options, output and the connection to a daemon.
 */
package io.corianderrock.cli

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.kohsuke.args4j.Option
import java.io.File
import java.io.PrintStream

/** A sub-command. Its fields are bound by args4j. */
public abstract class Command {
    @Option(name = "--json", usage = "print JSON for machines")
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

/** A command that talks to a daemon. */
public abstract class DaemonCommand : Command() {
    @Option(name = "--daemon", metaVar = "HOST:PORT", usage = "operators' address of a daemon; else CORIANDERROCK_DAEMON")
    internal var daemon: String = System.getenv("CORIANDERROCK_DAEMON").orEmpty()

    @Option(name = "--token-file", metaVar = "FILE", usage = "file with the operator's token; else CORIANDERROCK_TOKEN")
    internal var tokenFile: String = ""

    @Option(name = "--timeout-ms", metaVar = "MS", usage = "time limit of one call to the daemon, in milliseconds")
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
            err.println("no token: give --token-file FILE or set CORIANDERROCK_TOKEN")
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

/** Prints [value] as JSON. */
internal fun <T> PrintStream.json(
    serializer: KSerializer<T>,
    value: T,
) {
    println(PRETTY.encodeToString(serializer, value))
}

private val PRETTY = Json { prettyPrint = true }

private fun readToken(file: String): String? {
    if (file.isEmpty()) return System.getenv("CORIANDERROCK_TOKEN")?.trim()
    val path = File(file)
    return if (path.canRead()) path.readText().trim() else null
}
