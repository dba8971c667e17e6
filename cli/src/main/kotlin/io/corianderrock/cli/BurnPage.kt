/*
 * Renders the burn report as an HTML page with inline SVG plots.
 */
package io.corianderrock.cli

import io.corianderrock.coordination.burn.BURN_RETENTION_MS
import io.corianderrock.coordination.burn.BurnAlert
import io.corianderrock.coordination.burn.BurnReport
import io.corianderrock.coordination.burn.ServiceBurn
import java.time.Instant
import java.util.Locale

/** Renders one plot per service: the share of bad requests over time, and the share that the objective allows. */
internal class BurnPage(
    private val report: BurnReport,
) {
    fun render(): String =
        buildString {
            append(
                "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title><style>$STYLE</style></head><body>",
            )
            append("<h1>Service-level burn</h1><p>${Instant.ofEpochMilli(report.atMs)}, counters of ${report.entries} entries. ")
            append("A burn rate of 1 spends the error budget exactly over the objective's period.</p>")
            append(
                "<table><tr><th>service</th><th>objective</th><th>latency</th><th>10 min</th><th>1 h</th><th>6 h</th><th>alert</th></tr>",
            )
            report.services.forEach { append(tableRow(it)) }
            append("</table>")
            report.services.forEach { append(svgPlot(it)) }
            append("</body></html>\n")
        }

    private fun tableRow(service: ServiceBurn): String {
        val rates =
            service.windows.joinToString(
                "",
            ) { "<td>${formatNumber(it.burnRate)}<br><small>${it.bad} of ${it.requests} bad</small></td>" }
        val cssClass = if (service.alert == BurnAlert.NONE) "ok" else "bad"
        return "<tr><td>${service.service}</td><td>${service.objective}</td><td>${service.latencyObjectiveMs} ms</td>$rates" +
            "<td class=\"$cssClass\">${service.alert.name.lowercase()}</td></tr>"
    }

    private fun svgPlot(service: ServiceBurn): String {
        val points =
            service.buckets.map { bucket ->
                xOfTime(bucket.startMs) to
                    bucket.bad.toDouble() / (bucket.good + bucket.bad).coerceAtLeast(1)
            }
        val maxShare = maxOf(points.maxOfOrNull { it.second } ?: 0.0, (1 - service.objective) * 2)
        val bars = points.joinToString("") { (leftX, share) -> svgBar(leftX, share / maxShare) }
        val objectiveY = HEIGHT - (1 - service.objective) / maxShare * HEIGHT
        return "<h2>${service.service}</h2><svg width=\"$WIDTH\" height=\"${HEIGHT + LABEL_HEIGHT}\" role=\"img\">" +
            "<rect width=\"$WIDTH\" height=\"$HEIGHT\" fill=\"#f4f6f8\"/>$bars" +
            "<line x1=\"0\" x2=\"$WIDTH\" y1=\"${formatNumber(
                objectiveY,
            )}\" y2=\"${formatNumber(objectiveY)}\" stroke=\"#c0392b\" stroke-dasharray=\"4\"/>" +
            "<text x=\"4\" y=\"12\">bad requests, up to ${formatNumber(maxShare * PERCENT)} %; dashed: what the objective allows</text>" +
            "<text x=\"0\" y=\"${HEIGHT + LABEL_HEIGHT - 2}\">6 h ago</text>" +
            "<text x=\"$WIDTH\" y=\"${HEIGHT + LABEL_HEIGHT - 2}\" text-anchor=\"end\">now</text></svg>"
    }

    private fun svgBar(
        leftX: Double,
        share: Double,
    ): String {
        val height = share * HEIGHT
        return "<rect x=\"${formatNumber(
            leftX,
        )}\" y=\"${formatNumber(HEIGHT - height)}\" width=\"$BAR_WIDTH\" height=\"${formatNumber(height)}\" fill=\"#3a6ea5\"/>"
    }

    private fun xOfTime(startMs: Long): Double = (1 - (report.atMs - startMs).toDouble() / BURN_RETENTION_MS) * WIDTH

    private fun formatNumber(value: Double): String = String.format(Locale.ROOT, "%.2f", value)

    private companion object {
        const val WIDTH = 720
        const val HEIGHT = 120
        const val LABEL_HEIGHT = 16
        const val BAR_WIDTH = 9
        const val PERCENT = 100
        const val STYLE =
            "body{font:15px/1.4 sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}td,th{border-bottom:1px solid #ddd;" +
                "padding:.3em .9em;text-align:left}text{font-size:11px;fill:#444}.bad{color:#c0392b;font-weight:bold}.ok{color:#2d7d46}"
    }
}
