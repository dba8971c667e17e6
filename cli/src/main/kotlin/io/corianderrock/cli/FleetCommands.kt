/*
 * The commands on instances and maintenance waves: `explain`, `drain` and `wave`.
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

/** Prints the reasons for the state of an instance. */
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

/** Drains an instance within the budget of its pool, or returns it to service. */
internal class DrainCommand : DaemonCommand() {
    @Argument(metaVar = "INSTANCE", required = true, usage = "id of an instance")
    private var instance: String = ""

    @Option(name = "--return", usage = "return the instance to service")
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

    @Option(name = "--wait", usage = "print progress until the run of the wave has ended")
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
            val requestedAction = WaveAction.entries.firstOrNull { it.name.lowercase() == action }
            if (requestedAction == null || wave.isEmpty()) {
                err.println("wave: give start, pause, resume or abort, followed by the name of a wave, or give status")
                return ExitCode.USAGE
            }
            val answer =
                client.post(
                    OperatorPaths.WAVE,
                    WaveRequest.serializer(),
                    WaveRequest(wave, requestedAction),
                    ActionAnswer.serializer(),
                )
            if (!isJson) out.println(answer.summary)
        }
        if (isWaiting) return waitForRunEnd(client, out, err)
        if (action == STATUS || isJson) printWaves(client, out)
        return ExitCode.OK
    }

    private fun printWaves(
        client: DaemonClient,
        out: PrintStream,
    ) {
        val answer = client.get(OperatorPaths.WAVE, WavesAnswer.serializer())
        val selected = answer.copy(waves = answer.waves.filter { wave.isEmpty() || it.row.name == wave })
        if (isJson) out.json(WavesAnswer.serializer(), selected) else selected.waves.forEach { out.println(progressLine(it)) }
        if (!isJson && selected.waves.isEmpty()) out.println("no wave has been started")
    }

    private fun waitForRunEnd(
        client: DaemonClient,
        out: PrintStream,
        err: PrintStream,
    ): ExitCode {
        var lastLine = ""
        while (true) {
            val answer = client.get(OperatorPaths.WAVE, WavesAnswer.serializer())
            val progress = answer.waves.firstOrNull { it.row.name == wave }
            if (progress == null) {
                err.println("wave \"$wave\" has not been started; run wave status to list the waves")
                return ExitCode.INVALID
            }
            val line = progressLine(progress)
            if (line != lastLine) out.println(line)
            lastLine = line
            if (progress.row.status.isTerminal) return if (progress.row.status == WaveStatus.FINISHED) ExitCode.OK else ExitCode.DIFFERENT
            TimeUnit.MILLISECONDS.sleep(PROGRESS_POLL_INTERVAL_MS)
        }
    }

    private fun progressLine(progress: WaveProgress): String {
        val out = if (progress.out.isEmpty()) "" else ", out of service: ${progress.out.joinToString()}"
        val reason = if (progress.row.reason.isEmpty()) "" else " (${progress.row.reason})"
        return "${progress.row.runId}: ${progress.row.status}$reason, ${progress.maintained} of ${progress.total} instances maintained$out"
    }

    private companion object {
        const val STATUS = "status"
        const val PROGRESS_POLL_INTERVAL_MS = 500L
    }
}
