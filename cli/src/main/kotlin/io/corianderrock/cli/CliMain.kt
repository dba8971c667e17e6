/*
 * The command line as a process.
 */
package io.corianderrock.cli

import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.ParserProperties
import java.io.PrintStream
import kotlin.system.exitProcess

private class CommandEntry(
    val name: String,
    val summary: String,
    val create: () -> Command,
)

private val COMMANDS =
    listOf(
        CommandEntry("validate", "check declarations", ::ValidateCommand),
        CommandEntry("diff", "show what an apply would change", ::DiffCommand),
        CommandEntry("apply", "submit declarations", ::ApplyCommand),
        CommandEntry("status", "show an entry's view of the fleet", ::StatusCommand),
        CommandEntry("explain", "explain the state of an instance", ::ExplainCommand),
        CommandEntry("drain", "take an instance out of service, or return it", ::DrainCommand),
        CommandEntry("wave", "start, pause, resume, abort or show maintenance waves", ::WaveCommand),
        CommandEntry("burn", "show how fast services spend their error budgets", ::BurnCommand),
        CommandEntry("audit", "verify or export the record", ::AuditCommand),
    )

/** Runs the command line with [args] and returns its exit code. */
public fun runCommandLine(
    args: List<String>,
    out: PrintStream,
    err: PrintStream,
): ExitCode {
    val name = args.firstOrNull()
    if (name == null || name == "--help" || name == "help") return printOverview(out)
    val entry = COMMANDS.firstOrNull { it.name == name }
    if (entry == null) {
        err.println("unknown command \"$name\"; known are ${COMMANDS.joinToString { it.name }}")
        return ExitCode.USAGE
    }
    val command = entry.create()
    val parser = CmdLineParser(command, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH))
    return try {
        parser.parseArgument(args.drop(1))
        if (command.isHelp) printHelp(entry, command, parser, out) else command.run(out, err)
    } catch (e: CmdLineException) {
        err.println(e.message)
        printHelp(entry, command, parser, err)
        ExitCode.USAGE
    }
}

private fun printOverview(out: PrintStream): ExitCode {
    out.println("corianderrock COMMAND [OPTIONS]; corianderrock COMMAND --help shows options and examples")
    COMMANDS.forEach { out.println("  %-10s %s".format(it.name, it.summary)) }
    return ExitCode.OK
}

private fun printHelp(
    entry: CommandEntry,
    command: Command,
    parser: CmdLineParser,
    out: PrintStream,
): ExitCode {
    out.println("corianderrock ${entry.name}: ${entry.summary}")
    parser.printUsage(out)
    out.println("examples:")
    command.examples.forEach { out.println("  $it") }
    return ExitCode.OK
}

/** Runs the command line and exits with its code. */
public fun main(args: Array<String>) {
    exitProcess(runCommandLine(args.toList(), System.out, System.err).code)
}

private const val USAGE_WIDTH = 110
