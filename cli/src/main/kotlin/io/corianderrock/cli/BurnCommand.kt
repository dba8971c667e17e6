/*
 * The command `burn`: error budget burn rates of all services.
 */
package io.corianderrock.cli

import io.corianderrock.coordination.burn.BurnReport
import io.corianderrock.coordination.burn.ServiceBurn
import io.corianderrock.protocol.OperatorPaths
import org.kohsuke.args4j.Option
import java.io.File
import java.io.PrintStream
import java.util.Locale

/** Prints burn rates as a table or JSON; `--html` also writes a page with plots. */
internal class BurnCommand : DaemonCommand() {
    @Option(name = "--html", metaVar = "FILE", usage = "also write an HTML page with plots to this file")
    private var htmlFile: String = ""

    override val examples = listOf("corianderrock burn", "corianderrock burn --html burn.html")

    override fun run(
        client: DaemonClient,
        out: PrintStream,
        err: PrintStream,
    ): ExitCode {
        val report = client.get(OperatorPaths.BURN, BurnReport.serializer())
        if (htmlFile.isNotEmpty()) File(htmlFile).writeText(BurnPage(report).render())
        if (isJson) out.json(BurnReport.serializer(), report) else printTable(report, out)
        return ExitCode.OK
    }

    private fun printTable(
        report: BurnReport,
        out: PrintStream,
    ) {
        out.println("burn rates over ${report.entries} entries; 1 spends the error budget exactly over the objective's period")
        out.println("%-20s %-10s %12s %12s %12s  %s".format("service", "objective", "10m", "1h", "6h", "alert"))
        report.services.forEach { out.println(tableRow(it)) }
    }

    private fun tableRow(service: ServiceBurn): String {
        val rates = service.windows.map { String.format(Locale.ROOT, "%.2f", it.burnRate) + " of ${it.requests}" }
        return "%-20s %-10s %12s %12s %12s  %s".format(
            service.service,
            service.objective.toString(),
            rates[0],
            rates[1],
            rates[2],
            service.alert,
        )
    }
}
