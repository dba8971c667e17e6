/*
 * The commands on declarations: `validate`, `diff` and `apply`.
 */
package io.corianderrock.cli

import io.corianderrock.protocol.ApplyAnswer
import io.corianderrock.protocol.ApplyOutcome
import io.corianderrock.protocol.ApplyRequest
import io.corianderrock.protocol.ConfigurationAnswer
import io.corianderrock.protocol.OperatorPaths
import io.corianderrock.protocol.toml.Problem
import io.corianderrock.protocol.toml.Validated
import io.corianderrock.state.Declarations
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.io.PrintStream
import java.util.UUID

/** Validates declarations without a daemon. */
internal class ValidateCommand : Command() {
    @Argument(metaVar = "PATH", required = true, usage = "files or directories with declarations")
    private var paths: List<String> = ArrayList()

    override val examples = listOf("corianderrock validate examples/qurum/declarations")

    override fun run(
        out: PrintStream,
        err: PrintStream,
    ): ExitCode =
        when (val loaded = readDeclarations(paths)) {
            is Validated.Valid -> {
                out.println("valid: " + summary(loaded.value))
                ExitCode.OK
            }
            is Validated.Invalid -> printProblems(loaded.problems, isJson, out, err)
        }
}

/** Prints the changes that `apply` would make to the configuration in force. */
internal class DiffCommand : DaemonCommand() {
    @Argument(metaVar = "PATH", required = true, usage = "files or directories with declarations")
    private var paths: List<String> = ArrayList()

    override val examples = listOf("corianderrock diff --daemon 127.0.0.1:7102 declarations/")

    override fun run(
        client: DaemonClient,
        out: PrintStream,
        err: PrintStream,
    ): ExitCode {
        val desired =
            when (val loaded = readDeclarations(paths)) {
                is Validated.Valid -> loaded.value
                is Validated.Invalid -> return printProblems(loaded.problems, isJson, out, err)
            }
        val current = client.get(OperatorPaths.CONFIGURATION, ConfigurationAnswer.serializer()).configuration
        val changes = compareDeclarations(current?.declarations ?: Declarations(), desired)
        if (isJson) {
            out.json(DiffReport.serializer(), DiffReport(current?.version ?: 0, changes))
        } else {
            out.println("against version ${current?.version ?: 0}: ${changes.size} changes")
            changes.forEach {
                out.println(
                    "  ${it.kind.name.lowercase()} ${it.type} ${it.name}" + it.details.joinToString("") { d -> "\n      $d" },
                )
            }
        }
        return if (changes.isEmpty()) ExitCode.OK else ExitCode.DIFFERENT
    }
}

@Serializable
internal data class DiffReport(
    val baseVersion: Long,
    val changes: List<ObjectChange>,
)

/** Submits declarations to a daemon and prints the outcome. */
internal class ApplyCommand : DaemonCommand() {
    @Argument(metaVar = "PATH", required = true, usage = "files or directories with declarations")
    private var paths: List<String> = ArrayList()

    @Option(
        name = "--base-version",
        metaVar = "N",
        usage = "configuration version that the declarations are based on; default: the version in force",
    )
    private var baseVersion: Long = BASE_VERSION_UNSET

    @Option(name = "--change-id", metaVar = "ID", usage = "id of this change, applied at most once; default: a random UUID")
    private var changeId: String = ""

    override val examples =
        listOf(
            "corianderrock apply --daemon 127.0.0.1:7102 declarations/",
            "corianderrock apply --daemon 127.0.0.1:7102 --base-version 41 --change-id pr-1234 declarations/",
        )

    override fun run(
        client: DaemonClient,
        out: PrintStream,
        err: PrintStream,
    ): ExitCode {
        val desired =
            when (val loaded = readDeclarations(paths)) {
                is Validated.Valid -> loaded.value
                is Validated.Invalid -> return printProblems(loaded.problems, isJson, out, err)
            }
        val base = if (baseVersion == BASE_VERSION_UNSET) currentVersion(client) else baseVersion
        val id = changeId.ifEmpty { UUID.randomUUID().toString() }
        val answer = client.post(OperatorPaths.APPLY, ApplyRequest.serializer(), ApplyRequest(id, base, desired), ApplyAnswer.serializer())
        if (isJson) out.json(ApplyAnswer.serializer(), answer) else printAnswer(answer, id, base, out, err)
        return exitCodeOf(answer)
    }

    private fun currentVersion(client: DaemonClient): Long =
        client.get(OperatorPaths.CONFIGURATION, ConfigurationAnswer.serializer()).configuration?.version ?: 0

    private fun printAnswer(
        answer: ApplyAnswer,
        id: String,
        base: Long,
        out: PrintStream,
        err: PrintStream,
    ) {
        val pointer = answer.pointer
        when (answer.outcome) {
            ApplyOutcome.ACCEPTED -> out.println("accepted: version ${pointer?.version} change $id")
            ApplyOutcome.UNCHANGED -> out.println("unchanged: version ${pointer?.version} has the same declarations")
            ApplyOutcome.SUPERSEDED -> err.println(conflictMessage(answer, base))
            ApplyOutcome.INVALID -> answer.problems.forEach { err.println(it) }
            ApplyOutcome.FAILED -> err.println(failureMessage(answer, id))
        }
    }

    private fun conflictMessage(
        answer: ApplyAnswer,
        base: Long,
    ): String {
        val winner = answer.pointer
        val winnerDescription = "version ${winner?.version} of ${winner?.author} (change ${winner?.changeId})"
        return "conflict: based on version $base, but $winnerDescription is in force; run diff, then apply again"
    }

    private fun failureMessage(
        answer: ApplyAnswer,
        id: String,
    ): String {
        val error = answer.error
        val advice = if (answer.mayHaveApplied) "the change may be in force: apply again with --change-id $id" else "nothing was changed"
        return "failed: step=${error?.step} peer=${error?.peer}: ${error?.message}; $advice"
    }

    private fun exitCodeOf(answer: ApplyAnswer): ExitCode =
        when (answer.outcome) {
            ApplyOutcome.ACCEPTED, ApplyOutcome.UNCHANGED -> ExitCode.OK
            ApplyOutcome.SUPERSEDED -> ExitCode.CONFLICT
            ApplyOutcome.INVALID -> ExitCode.INVALID
            ApplyOutcome.FAILED -> if (answer.mayHaveApplied) ExitCode.UNKNOWN else ExitCode.UNREACHABLE
        }

    private companion object {
        const val BASE_VERSION_UNSET = -1L
    }
}

private fun printProblems(
    problems: List<Problem>,
    isJson: Boolean,
    out: PrintStream,
    err: PrintStream,
): ExitCode {
    if (isJson) out.json(ListSerializer(Problem.serializer()), problems) else problems.forEach { err.println(it) }
    return ExitCode.INVALID
}

private fun summary(declarations: Declarations): String =
    listOf(
        "${declarations.pools.size} pools",
        "${declarations.services.size} services",
        "${declarations.teams.size} teams",
        "${declarations.budgets.size} budgets",
        "${declarations.waves.size} waves",
    ).joinToString()
