/*
 * Writes experiment reports as JSON and as an HTML page that compares the variants.
 */
package io.corianderrock.load.experiment

import kotlinx.serialization.json.Json
import java.io.File
import java.util.Locale

/** Writes reports into [directory], which is created when it does not exist. */
public class ReportWriter(
    private val directory: File,
) {
    private val json = Json { prettyPrint = true }

    /** Writes `<experiment>.json` and `<experiment>.html`, replacing earlier ones. Returns the HTML file. */
    public fun write(report: ExperimentReport): File {
        directory.mkdirs()
        File(directory, report.experiment + ".json").writeText(json.encodeToString(ExperimentReport.serializer(), report))
        return File(directory, report.experiment + ".html").apply { writeText(html(report)) }
    }

    private fun html(report: ExperimentReport): String =
        buildString {
            append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>${escape(report.experiment)}</title>")
            append("<style>$STYLE</style></head><body>")
            append(
                "<h1>${escape(report.experiment)}</h1><p>${escape(report.command)}, seed ${report.seed}<br>${escape(report.machine)}</p>",
            )
            append(targetsTable(report.targets))
            append(latenciesTable(report.variants))
            append(figuresTable(report.variants))
            append(invariantsTable(report.variants))
            append("</body></html>\n")
        }

    private fun targetsTable(targets: List<TargetResult>): String =
        table(
            "Targets",
            listOf("figure", "target", "measured", ""),
            targets.map { listOf(it.name, it.target, formatNumber(it.measured), if (it.isMet) "met" else "MISSED") },
        )

    private fun latenciesTable(variants: List<VariantResult>): String {
        val maxP99Ms = variants.flatMap { it.latencies.values }.maxOfOrNull { it.p99Ms } ?: 1.0
        val rows =
            variants.flatMap { variant ->
                variant.latencies.map { (kind, summary) ->
                    listOf(variant.variant, variant.condition, kind, summary.count.toString()) +
                        listOf(summary.p50Ms, summary.p90Ms, summary.p99Ms, summary.maxMs).map(::formatNumber) +
                        bar(summary.p99Ms / maxP99Ms)
                }
            }
        return table("Latency of requests that ran, ms", LATENCY_HEADINGS, rows)
    }

    private fun figuresTable(variants: List<VariantResult>): String =
        table(
            "Figures",
            listOf("variant", "condition", "figure", "value"),
            variants.flatMap { variant ->
                variant.figures.map { listOf(variant.variant, variant.condition, it.key, formatNumber(it.value)) }
            },
        )

    private fun invariantsTable(variants: List<VariantResult>): String =
        table(
            "Reported outcomes and violations against the ledger of the upstreams",
            INVARIANT_HEADINGS,
            variants.mapNotNull { variant ->
                variant.invariants?.let { report ->
                    listOf(variant.variant, variant.condition) +
                        listOf(report.requests, report.ran, report.notRun, report.unknown, report.unanswered).map { it.toString() } +
                        listOf(report.lost, report.doubled, report.crossed, report.falselyNotRun).map { it.toString() }
                }
            },
        )

    private fun table(
        title: String,
        headings: List<String>,
        rows: List<List<String>>,
    ): String {
        if (rows.isEmpty()) return ""
        val head = headings.joinToString("") { "<th>${escape(it)}</th>" }
        val body = rows.joinToString("\n") { row -> "<tr>" + row.joinToString("") { cell(it) } + "</tr>" }
        return "<h2>${escape(title)}</h2><table><tr>$head</tr>\n$body</table>\n"
    }

    private fun cell(cellText: String): String =
        if (cellText.startsWith(BAR_START)) "<td>$cellText</td>" else "<td>${escape(cellText)}</td>"

    private fun bar(share: Double): String =
        "$BAR_START width=\"${(
            share.coerceIn(
                0.0,
                1.0,
            ) * BAR_WIDTH_PX
        ).toInt() + 1}\" height=\"10\"><rect width=\"100%\" height=\"10\"/></svg>"

    private fun formatNumber(value: Double): String = String.format(Locale.ROOT, "%.3f", value)

    private fun escape(text: String): String = text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;")

    private companion object {
        const val BAR_START = "<svg"
        const val BAR_WIDTH_PX = 240
        const val STYLE =
            "body{font:15px/1.4 sans-serif;margin:2em;max-width:75em}table{border-collapse:collapse}" +
                "td,th{border-bottom:1px solid #ddd;padding:.25em .8em;text-align:left}svg{fill:#3a6ea5}"
        val LATENCY_HEADINGS = listOf("variant", "condition", "work", "ran", "p50", "p90", "p99", "max", "p99")
        val INVARIANT_HEADINGS =
            listOf(
                "variant",
                "condition",
                "sent",
                "ran",
                "not-run",
                "unknown",
                "unanswered",
                "lost",
                "doubled",
                "crossed",
                "falsely not-run",
            )
    }
}
