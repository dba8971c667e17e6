/*
 * Rendering of metrics in the Prometheus text format.
 */
package io.corianderrock.transport

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

private val writer = PrometheusTextFormatWriter.create()

/** Content type of the text that [renderText] returns. */
public val METRICS_CONTENT_TYPE: String = writer.contentType

/** Scrapes this registry and renders it in the Prometheus text format. */
public fun PrometheusRegistry.renderText(): String {
    val out = ByteArrayOutputStream()
    writer.write(out, scrape())
    return out.toString(Charsets.UTF_8)
}
