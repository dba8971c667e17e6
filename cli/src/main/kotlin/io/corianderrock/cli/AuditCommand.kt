/*
 * The command `audit`: verifies or exports the audit record.
 */
package io.corianderrock.cli

import io.corianderrock.coordination.record.RecordDefect
import io.corianderrock.coordination.record.RecordEntry
import io.corianderrock.coordination.record.RecordHead
import io.corianderrock.coordination.record.verifyRecord
import io.corianderrock.protocol.OperatorPaths
import io.corianderrock.protocol.RecordAnswer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.io.File
import java.io.IOException
import java.io.PrintStream

/** `audit verify` checks the hash chain; `audit export` writes one JSON entry per line and the head as the last line. */
internal class AuditCommand : DaemonCommand() {
    @Argument(index = 0, metaVar = "ACTION", required = true, usage = "verify or export")
    private var action: String = ""

    @Option(
        name = "--file",
        metaVar = "FILE",
        usage = "verify this exported record instead of the platform's; its last line is the head of the hash chain",
    )
    private var file: String = ""

    override val examples =
        listOf(
            "corianderrock audit verify",
            "corianderrock audit export > record.jsonl",
            "corianderrock audit verify --file record.jsonl",
        )

    override fun run(
        out: PrintStream,
        err: PrintStream,
    ): ExitCode = if (action == VERIFY && file.isNotEmpty()) verifyExportedFile(out, err) else super.run(out, err)

    override fun run(
        client: DaemonClient,
        out: PrintStream,
        err: PrintStream,
    ): ExitCode {
        if (action != VERIFY && action != EXPORT) {
            err.println("audit: give the action verify or export")
            return ExitCode.USAGE
        }
        val record = client.get(OperatorPaths.RECORD, RecordAnswer.serializer())
        if (action == VERIFY) return verify(record, out)
        record.entries.forEach { out.println(Json.encodeToString(RecordEntry.serializer(), it)) }
        out.println(Json.encodeToString(RecordHead.serializer(), record.head))
        return ExitCode.OK
    }

    private fun verifyExportedFile(
        out: PrintStream,
        err: PrintStream,
    ): ExitCode =
        try {
            val lines = File(file).readLines().filter { it.isNotBlank() }
            val entries = lines.dropLast(1).map { Json.decodeFromString(RecordEntry.serializer(), it) }
            val head = lines.lastOrNull()?.let { Json.decodeFromString(RecordHead.serializer(), it) } ?: RecordHead.EMPTY
            verify(RecordAnswer(entries, head), out)
        } catch (e: IOException) {
            err.println("step=read peer=$file: ${e.message}; give a readable file")
            ExitCode.INVALID
        } catch (e: SerializationException) {
            err.println("step=decode peer=$file: ${e.message?.lineSequence()?.first()}; give a file that audit export wrote")
            ExitCode.INVALID
        }

    private fun verify(
        record: RecordAnswer,
        out: PrintStream,
    ): ExitCode {
        val defects = verifyRecord(record.entries, record.head)
        if (isJson) {
            out.json(ListSerializer(RecordDefect.serializer()), defects)
        } else {
            defects.forEach { out.println("entry ${it.sequence}: ${it.problem}") }
            out.println(
                if (defects.isEmpty()) "intact: ${record.entries.size} entries, head ${record.head.hash}" else "${defects.size} defects",
            )
        }
        return if (defects.isEmpty()) ExitCode.OK else ExitCode.DIFFERENT
    }

    private companion object {
        const val VERIFY = "verify"
        const val EXPORT = "export"
    }
}
