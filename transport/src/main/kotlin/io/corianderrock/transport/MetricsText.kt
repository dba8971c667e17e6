/*
 * The text form of metrics, as scrapers read it.
 */
package io.corianderrock.transport

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

private val writer = PrometheusTextFormatWriter.create()

/** The media type of [renderText]. */
public val METRICS_CONTENT_TYPE: String = writer.contentType

/** Renders all metrics of this registry in the Prometheus text format. */
public fun PrometheusRegistry.renderText(): String {
    val out = ByteArrayOutputStream()
    writer.write(out, scrape())
    return out.toString(Charsets.UTF_8)
}
