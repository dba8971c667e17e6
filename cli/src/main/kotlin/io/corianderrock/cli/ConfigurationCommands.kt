/*
 * Commands on declarations: validate, diff and apply.
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

/** Checks declarations without a daemon. */
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

/** Shows what an apply would change. */
internal class DiffCommand : DaemonCommand() {
    @Argument(metaVar = "PATH", required = true, usage = "files or directories with declarations")
    private var paths: List<String> = ArrayList()

    override val examples = listOf("corianderrock diff --daemon 127.0.0.1:7102 declarations/")

    override fun run(
        client: DaemonClient,
        out: PrintStream,
        err: PrintStream,
    ): ExitCode {
        val wanted =
            when (val loaded = readDeclarations(paths)) {
                is Validated.Valid -> loaded.value
                is Validated.Invalid -> return printProblems(loaded.problems, isJson, out, err)
            }
        val current = client.get(OperatorPaths.CONFIGURATION, ConfigurationAnswer.serializer()).configuration
        val changes = compareDeclarations(current?.declarations ?: Declarations(), wanted)
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

/** Submits declarations and waits for the answer. */
internal class ApplyCommand : DaemonCommand() {
    @Argument(metaVar = "PATH", required = true, usage = "files or directories with declarations")
    private var paths: List<String> = ArrayList()

    @Option(name = "--base-version", metaVar = "N", usage = "the version that the declarations were made from; else the one in force")
    private var baseVersion: Long = UNSET

    @Option(name = "--change-id", metaVar = "ID", usage = "id of this change; the same id is applied once")
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
        val wanted =
            when (val loaded = readDeclarations(paths)) {
                is Validated.Valid -> loaded.value
                is Validated.Invalid -> return printProblems(loaded.problems, isJson, out, err)
            }
        val base = if (baseVersion == UNSET) versionInForce(client) else baseVersion
        val id = changeId.ifEmpty { UUID.randomUUID().toString() }
        val answer = client.post(OperatorPaths.APPLY, ApplyRequest.serializer(), ApplyRequest(id, base, wanted), ApplyAnswer.serializer())
        if (isJson) out.json(ApplyAnswer.serializer(), answer) else printAnswer(answer, id, base, out, err)
        return exitCodeOf(answer)
    }

    private fun versionInForce(client: DaemonClient): Long =
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
            ApplyOutcome.SUPERSEDED -> err.println(supersededText(answer, base))
            ApplyOutcome.INVALID -> answer.problems.forEach { err.println(it) }
            ApplyOutcome.FAILED -> err.println(failureText(answer, id))
        }
    }

    private fun supersededText(
        answer: ApplyAnswer,
        base: Long,
    ): String {
        val winner = answer.pointer
        val inForce = "version ${winner?.version} of ${winner?.author} (change ${winner?.changeId})"
        return "conflict: made from version $base, but $inForce is in force; run diff and apply again"
    }

    private fun failureText(
        answer: ApplyAnswer,
        id: String,
    ): String {
        val error = answer.error
        val advice = if (answer.mayHaveApplied) "it may be in force: apply again with --change-id $id" else "nothing was changed"
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
        const val UNSET = -1L
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
