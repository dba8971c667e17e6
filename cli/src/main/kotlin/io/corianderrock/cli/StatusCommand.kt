/*
 * The command `status`: an entry's view of the fleet.
 */
package io.corianderrock.cli

import io.corianderrock.protocol.OperatorPaths
import io.corianderrock.protocol.StatusAnswer
import java.io.PrintStream

/** Prints the state of an entry, its services and its workers. */
internal class StatusCommand : DaemonCommand() {
    override val examples = listOf("corianderrock status --daemon 127.0.0.1:7102")

    override fun run(
        client: DaemonClient,
        out: PrintStream,
        err: PrintStream,
    ): ExitCode {
        val status = client.get(OperatorPaths.STATUS, StatusAnswer.serializer())
        if (isJson) out.json(StatusAnswer.serializer(), status) else printText(status, out)
        return ExitCode.OK
    }

    private fun printText(
        status: StatusAnswer,
        out: PrintStream,
    ) {
        out.println("entry ${status.entry} in ${status.dataCentre}: ${if (status.isReady) "ready" else "not ready"}")
        out.println("configuration ${status.configurationVersion}, last complete poll of the platform ${status.platformAgeMs} ms ago")
        out.println("entries: ${status.entries.joinToString()}" + if (status.isController) " (this one is the controller)" else "")
        status.services.forEach { out.println("  service ${it.name}: pool ${it.pool}, ${it.inFlight} in flight, ${it.waiting} waiting") }
        status.workers.forEach {
            val ejected = if (it.isEjected) ", ejected" else ""
            out.println("  worker ${it.row.id}: pool ${it.row.pool}, ${it.row.phase}, ${it.listed}, ${it.usedSlots} slots in use$ejected")
        }
    }
}
