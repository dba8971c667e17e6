/*
 * The main function of the command line and the list of its commands.
 */
package io.corianderrock.cli

import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.ParserProperties
import java.io.PrintStream
import kotlin.system.exitProcess

private class CommandDefinition(
    val name: String,
    val summary: String,
    val create: () -> Command,
)

private val COMMANDS =
    listOf(
        CommandDefinition("validate", "check declarations", ::ValidateCommand),
        CommandDefinition("diff", "show what apply would change", ::DiffCommand),
        CommandDefinition("apply", "submit declarations", ::ApplyCommand),
        CommandDefinition("status", "show an entry's view of the fleet", ::StatusCommand),
        CommandDefinition("explain", "explain the state of an instance", ::ExplainCommand),
        CommandDefinition("drain", "drain an instance, or return it to service", ::DrainCommand),
        CommandDefinition("wave", "start, pause, resume, abort or show maintenance waves", ::WaveCommand),
        CommandDefinition("burn", "show error budget burn rates of services", ::BurnCommand),
        CommandDefinition("audit", "verify or export the audit record", ::AuditCommand),
    )

/** Parses [args] and runs the command; results go to [out], errors to [err]. */
public fun runCommandLine(
    args: List<String>,
    out: PrintStream,
    err: PrintStream,
): ExitCode {
    val name = args.firstOrNull()
    if (name == null || name == "--help" || name == "help") return printCommandList(out)
    val definition = COMMANDS.firstOrNull { it.name == name }
    if (definition == null) {
        err.println("unknown command \"$name\"; available commands: ${COMMANDS.joinToString { it.name }}")
        return ExitCode.USAGE
    }
    val command = definition.create()
    val parser = CmdLineParser(command, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH_CHARS))
    return try {
        parser.parseArgument(args.drop(1))
        if (command.isHelp) printHelp(definition, command, parser, out) else command.run(out, err)
    } catch (e: CmdLineException) {
        err.println(e.message)
        printHelp(definition, command, parser, err)
        ExitCode.USAGE
    }
}

private fun printCommandList(out: PrintStream): ExitCode {
    out.println("corianderrock COMMAND [OPTIONS]; corianderrock COMMAND --help shows options and examples")
    COMMANDS.forEach { out.println("  %-10s %s".format(it.name, it.summary)) }
    return ExitCode.OK
}

private fun printHelp(
    definition: CommandDefinition,
    command: Command,
    parser: CmdLineParser,
    out: PrintStream,
): ExitCode {
    out.println("corianderrock ${definition.name}: ${definition.summary}")
    parser.printUsage(out)
    out.println("examples:")
    command.examples.forEach { out.println("  $it") }
    return ExitCode.OK
}

/** Runs the command line and exits the process with its exit code. */
public fun main(args: Array<String>) {
    exitProcess(runCommandLine(args.toList(), System.out, System.err).code)
}

private const val USAGE_WIDTH_CHARS = 110
