/*
 * Commands on instances and waves.
 */
package io.corianderrock.cli

import io.corianderrock.coordination.maintenance.WaveAction
import io.corianderrock.coordination.maintenance.WaveStatus
import io.corianderrock.protocol.ActionAnswer
import io.corianderrock.protocol.DrainRequest
import io.corianderrock.protocol.ExplainAnswer
import io.corianderrock.protocol.OperatorPaths
import io.corianderrock.protocol.WaveProgress
import io.corianderrock.protocol.WaveRequest
import io.corianderrock.protocol.WavesAnswer
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.io.PrintStream
import java.net.URLEncoder
import java.util.concurrent.TimeUnit

/** Explains the state of an instance. */
internal class ExplainCommand : DaemonCommand() {
    @Argument(metaVar = "INSTANCE", required = true, usage = "id of an instance")
    private var instance: String = ""

    override val examples = listOf("corianderrock explain muscat-1-worker-13")

    override fun run(
        client: DaemonClient,
        out: PrintStream,
        err: PrintStream,
    ): ExitCode {
        val path = OperatorPaths.EXPLAIN + "?instance=" + URLEncoder.encode(instance, Charsets.UTF_8)
        val answer = client.get(path, ExplainAnswer.serializer())
        if (isJson) {
            out.json(ExplainAnswer.serializer(), answer)
        } else {
            out.println(answer.subject)
            answer.reasons.forEach { out.println("  $it") }
        }
        return ExitCode.OK
    }
}

/** Takes an instance out of service within its pool's budget, or returns it. */
internal class DrainCommand : DaemonCommand() {
    @Argument(metaVar = "INSTANCE", required = true, usage = "id of an instance")
    private var instance: String = ""

    @Option(name = "--return", usage = "put the instance back into service")
    private var isReturn: Boolean = false

    override val examples = listOf("corianderrock drain muscat-1-worker-13", "corianderrock drain --return muscat-1-worker-13")

    override fun run(
        client: DaemonClient,
        out: PrintStream,
        err: PrintStream,
    ): ExitCode {
        val answer =
            client.post(
                OperatorPaths.DRAIN,
                DrainRequest.serializer(),
                DrainRequest(instance, isReturn),
                ActionAnswer.serializer(),
            )
        if (isJson) out.json(ActionAnswer.serializer(), answer) else out.println(answer.summary)
        return ExitCode.OK
    }
}

/** Starts, pauses, resumes, aborts or shows waves. */
internal class WaveCommand : DaemonCommand() {
    @Argument(index = 0, metaVar = "ACTION", required = true, usage = "start, pause, resume, abort or status")
    private var action: String = ""

    @Argument(index = 1, metaVar = "WAVE", usage = "name of a wave")
    private var wave: String = ""

    @Option(name = "--wait", usage = "show progress until the run is over")
    private var isWaiting: Boolean = false

    override val examples =
        listOf(
            "corianderrock wave start kernel-update --wait",
            "corianderrock wave pause kernel-update",
            "corianderrock wave status",
        )

    override fun run(
        client: DaemonClient,
        out: PrintStream,
        err: PrintStream,
    ): ExitCode {
        if (action != STATUS) {
            val asked = WaveAction.entries.firstOrNull { it.name.lowercase() == action }
            if (asked == null || wave.isEmpty()) {
                err.println("wave: give start, pause, resume or abort and the name of a wave, or status")
                return ExitCode.USAGE
            }
            val answer = client.post(OperatorPaths.WAVE, WaveRequest.serializer(), WaveRequest(wave, asked), ActionAnswer.serializer())
            if (!isJson) out.println(answer.summary)
        }
        if (isWaiting) return waitUntilOver(client, out, err)
        if (action == STATUS || isJson) show(client, out)
        return ExitCode.OK
    }

    private fun show(
        client: DaemonClient,
        out: PrintStream,
    ) {
        val answer = client.get(OperatorPaths.WAVE, WavesAnswer.serializer())
        val shown = answer.copy(waves = answer.waves.filter { wave.isEmpty() || it.row.name == wave })
        if (isJson) out.json(WavesAnswer.serializer(), shown) else shown.waves.forEach { out.println(line(it)) }
        if (!isJson && shown.waves.isEmpty()) out.println("no wave was started")
    }

    private fun waitUntilOver(
        client: DaemonClient,
        out: PrintStream,
        err: PrintStream,
    ): ExitCode {
        var lastLine = ""
        while (true) {
            val answer = client.get(OperatorPaths.WAVE, WavesAnswer.serializer())
            val progress = answer.waves.firstOrNull { it.row.name == wave }
            if (progress == null) {
                err.println("no wave \"$wave\" was started")
                return ExitCode.INVALID
            }
            val line = line(progress)
            if (line != lastLine) out.println(line)
            lastLine = line
            if (progress.row.status.isTerminal) return if (progress.row.status == WaveStatus.FINISHED) ExitCode.OK else ExitCode.DIFFERENT
            TimeUnit.MILLISECONDS.sleep(POLL_MS)
        }
    }

    private fun line(progress: WaveProgress): String {
        val out = if (progress.out.isEmpty()) "" else ", out of service: ${progress.out.joinToString()}"
        val reason = if (progress.row.reason.isEmpty()) "" else " (${progress.row.reason})"
        return "${progress.row.runId}: ${progress.row.status}$reason, ${progress.maintainedCount} of ${progress.total} done$out"
    }

    private companion object {
        const val STATUS = "status"
        const val POLL_MS = 500L
    }
}
