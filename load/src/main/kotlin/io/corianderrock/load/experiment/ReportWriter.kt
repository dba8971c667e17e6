/*
 * Writes reports as JSON and as an HTML page that puts variants side by side.
 */
package io.corianderrock.load.experiment

import kotlinx.serialization.json.Json
import java.io.File
import java.util.Locale

/** Writes the report of one experiment into [directory]. */
public class ReportWriter(
    private val directory: File,
) {
    private val json = Json { prettyPrint = true }

    /** Writes `<experiment>.json` and `<experiment>.html` and returns the page. */
    public fun write(report: ExperimentReport): File {
        directory.mkdirs()
        File(directory, report.experiment + ".json").writeText(json.encodeToString(ExperimentReport.serializer(), report))
        return File(directory, report.experiment + ".html").apply { writeText(page(report)) }
    }

    private fun page(report: ExperimentReport): String =
        buildString {
            append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>${escape(report.experiment)}</title>")
            append("<style>$STYLE</style></head><body>")
            append(
                "<h1>${escape(report.experiment)}</h1><p>${escape(report.command)}, seed ${report.seed}<br>${escape(report.machine)}</p>",
            )
            append(targets(report.targets))
            append(latencies(report.variants))
            append(figures(report.variants))
            append(invariants(report.variants))
            append("</body></html>\n")
        }

    private fun targets(targets: List<TargetResult>): String =
        table(
            "Targets",
            listOf("figure", "target", "measured", ""),
            targets.map { listOf(it.name, it.target, number(it.measured), if (it.isMet) "met" else "MISSED") },
        )

    private fun latencies(variants: List<VariantResult>): String {
        val longest = variants.flatMap { it.latencies.values }.maxOfOrNull { it.p99Ms } ?: 1.0
        val rows =
            variants.flatMap { variant ->
                variant.latencies.map { (kind, summary) ->
                    listOf(variant.variant, variant.condition, kind, summary.count.toString()) +
                        listOf(summary.p50Ms, summary.p90Ms, summary.p99Ms, summary.maxMs).map(::number) +
                        bar(summary.p99Ms / longest)
                }
            }
        return table("Latency of requests that ran, ms", LATENCY_HEADINGS, rows)
    }

    private fun figures(variants: List<VariantResult>): String =
        table(
            "Figures",
            listOf("variant", "condition", "figure", "value"),
            variants.flatMap { variant -> variant.figures.map { listOf(variant.variant, variant.condition, it.key, number(it.value)) } },
        )

    private fun invariants(variants: List<VariantResult>): String =
        table(
            "What callers were told, against the upstreams' ledger",
            INVARIANT_HEADINGS,
            variants.mapNotNull { variant ->
                variant.invariants?.let { found ->
                    listOf(variant.variant, variant.condition) +
                        listOf(found.requests, found.ran, found.notRun, found.unknown, found.unanswered).map { it.toString() } +
                        listOf(found.lost, found.doubled, found.crossed, found.falselyNotRun).map { it.toString() }
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

    private fun cell(content: String): String = if (content.startsWith(BAR_START)) "<td>$content</td>" else "<td>${escape(content)}</td>"

    private fun bar(share: Double): String =
        "$BAR_START width=\"${(
            share.coerceIn(
                0.0,
                1.0,
            ) * BAR_WIDTH
        ).toInt() + 1}\" height=\"10\"><rect width=\"100%\" height=\"10\"/></svg>"

    private fun number(value: Double): String = String.format(Locale.ROOT, "%.3f", value)

    private fun escape(text: String): String = text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;")

    private companion object {
        const val BAR_START = "<svg"
        const val BAR_WIDTH = 240
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
