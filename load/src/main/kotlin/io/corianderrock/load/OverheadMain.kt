/*
 * Measures the overhead of an entry: throughput and latency of requests through an entry, compared with the same requests sent
 * directly to upstream workers.
 */
package io.corianderrock.load

import io.corianderrock.load.experiment.ExperimentReport
import io.corianderrock.load.experiment.LatencySummary
import io.corianderrock.load.experiment.ReportWriter
import io.corianderrock.load.experiment.VariantResult
import io.corianderrock.load.experiment.atLeast
import io.corianderrock.load.experiment.atMost
import io.corianderrock.load.experiment.describeHost
import io.corianderrock.load.experiment.summaryOf
import io.corianderrock.protocol.contract.ContractHeaders
import io.corianderrock.standins.upstream.WorkHeaders
import io.corianderrock.transport.ClientLimits
import io.corianderrock.transport.newHttpClient
import io.corianderrock.transport.parseArguments
import okhttp3.OkHttpClient
import okhttp3.Request
import org.HdrHistogram.Histogram
import org.kohsuke.args4j.Option
import java.io.File
import java.io.IOException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.system.exitProcess

/** Command line arguments of the comparison. */
internal class OverheadArguments {
    @Option(name = "--entry", metaVar = "HOST:PORT", usage = "address of an entry for callers", required = true)
    var entry: String = ""

    @Option(name = "--worker", metaVar = "HOST:PORT", usage = "address of an upstream worker; repeatable", required = true)
    var workers: List<String> = ArrayList()

    @Option(name = "--threads", usage = "number of concurrent callers, each with one request at a time")
    var threads: Int = 16

    @Option(name = "--seconds", usage = "duration of each measurement in seconds")
    var seconds: Long = 8

    @Option(name = "--out", usage = "directory to write the report to")
    var out: File = File("run/reports")
}

private class Measurement(
    val requestsPerSecond: Double,
    val latency: LatencySummary,
)

/**
 * Measures both paths alternately: unreported warm-up rounds, one round with `--threads` callers and one round with a
 * single caller and the default duration. Writes the report, prints the targets and exits with 1 when a target was missed.
 */
public fun main(args: Array<String>) {
    val arguments = parseArguments(OverheadArguments(), args) ?: exitProcess(2)
    val client = newHttpClient(ClientLimits(maxIdleConnections = arguments.threads * 2))
    val entry = listOf(arguments.entry)
    repeat(WARM_UP_ROUNDS) {
        measure(client, arguments.workers, arguments)
        measure(client, entry, arguments)
    }
    val direct = measure(client, arguments.workers, arguments)
    val throughEntry = measure(client, entry, arguments)
    val singleCaller = OverheadArguments().apply { threads = 1 }
    val directSingle = measure(client, arguments.workers, singleCaller)
    val throughEntrySingle = measure(client, entry, singleCaller)
    val targets =
        listOf(
            atLeast("throughput through an entry over direct", 0.5, throughEntry.requestsPerSecond / direct.requestsPerSecond),
            atMost("added median of one caller, ms", 0.3, throughEntrySingle.latency.p50Ms - directSingle.latency.p50Ms),
        )
    val variants =
        listOf(
            variant("direct", arguments.threads, direct),
            variant("through an entry", arguments.threads, throughEntry),
            variant("direct", 1, directSingle),
            variant("through an entry", 1, throughEntrySingle),
        )
    ReportWriter(arguments.out).write(ExperimentReport("overhead", "bin/overhead", seed = 0, describeHost(), variants, targets))
    variants.forEach {
        println(
            "%-18s %-10s %9.0f/s  %s".format(it.variant, it.condition, it.figures.getValue(THROUGHPUT_FIGURE), it.latencies.values.first()),
        )
    }
    targets.forEach { println("  %-60s %-16s %10.3f  %s".format(it.name, it.target, it.measured, if (it.isMet) "met" else "MISSED")) }
    exitProcess(if (targets.all { it.isMet }) 0 else 1)
}

private fun variant(
    name: String,
    threads: Int,
    measurement: Measurement,
): VariantResult =
    VariantResult(
        name,
        "$threads callers",
        mapOf("empty work" to measurement.latency),
        mapOf(
            THROUGHPUT_FIGURE to measurement.requestsPerSecond,
        ),
    )

private fun measure(
    client: OkHttpClient,
    targets: List<String>,
    arguments: OverheadArguments,
): Measurement {
    val stopNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(arguments.seconds)
    val ids = AtomicLong()
    val histograms = List(arguments.threads) { Histogram(TimeUnit.SECONDS.toNanos(MAX_LATENCY_SECONDS), SIGNIFICANT_DIGITS) }
    val callers =
        histograms.mapIndexed { index, histogram ->
            thread(name = "caller") {
                while (System.nanoTime() < stopNs) sendRequest(client, targets[index % targets.size], ids.incrementAndGet(), histogram)
            }
        }
    callers.forEach { it.join() }
    val merged = histograms.reduce { sum, next -> sum.apply { add(next) } }
    return Measurement(merged.totalCount.toDouble() / arguments.seconds, summaryOf(merged))
}

private fun sendRequest(
    client: OkHttpClient,
    target: String,
    id: Long,
    histogram: Histogram,
) {
    val request =
        Request
            .Builder()
            .url("http://$target/nationality/tally")
            .header(ContractHeaders.REQUEST_ID, id.toString())
            .header(WorkHeaders.RUN_MS, "0")
            .build()
    val startNs = System.nanoTime()
    val call = client.newCall(request)
    call.timeout().timeout(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
    try {
        call.execute().use { response ->
            response.body.bytes()
            if (response.code == OK) histogram.recordValue(System.nanoTime() - startNs)
        }
    } catch (e: IOException) {
        System.err.println("no response from $target: ${e.message}")
    }
}

private const val WARM_UP_ROUNDS = 2
private const val OK = 200
private const val CALL_TIMEOUT_MS = 2_000L
private const val MAX_LATENCY_SECONDS = 60L
private const val SIGNIFICANT_DIGITS = 3
private const val THROUGHPUT_FIGURE = "requests per second"
