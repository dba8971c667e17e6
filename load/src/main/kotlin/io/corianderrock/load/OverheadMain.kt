/*
 * Compares requests sent straight to upstream workers with the same requests through an entry: throughput and latency.
 */
package io.corianderrock.load

import io.corianderrock.load.experiment.ExperimentReport
import io.corianderrock.load.experiment.LatencySummary
import io.corianderrock.load.experiment.ReportWriter
import io.corianderrock.load.experiment.VariantResult
import io.corianderrock.load.experiment.atLeast
import io.corianderrock.load.experiment.atMost
import io.corianderrock.load.experiment.machine
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

/** Arguments of the comparison. */
internal class OverheadArguments {
    @Option(name = "--entry", metaVar = "HOST:PORT", usage = "callers' address of an entry", required = true)
    var entry: String = ""

    @Option(name = "--worker", metaVar = "HOST:PORT", usage = "address of an upstream worker; repeat for more", required = true)
    var workers: List<String> = ArrayList()

    @Option(name = "--threads", usage = "callers that each send one request after the other")
    var threads: Int = 16

    @Option(name = "--seconds", usage = "length of each part")
    var seconds: Long = 8

    @Option(name = "--out", usage = "directory of the report")
    var out: File = File("run/reports")
}

private class PartResult(
    val perSecond: Double,
    val latency: LatencySummary,
)

/** Alternates both ways twice after a warm-up, reports the second pair and prints the targets. */
public fun main(args: Array<String>) {
    val arguments = parseArguments(OverheadArguments(), args) ?: exitProcess(2)
    val client = newHttpClient(ClientLimits(maxIdleConnections = arguments.threads * 2))
    val entry = listOf(arguments.entry)
    repeat(WARM_UPS) {
        measure(client, arguments.workers, arguments)
        measure(client, entry, arguments)
    }
    val direct = measure(client, arguments.workers, arguments)
    val through = measure(client, entry, arguments)
    val single = OverheadArguments().apply { threads = 1 }
    val directOne = measure(client, arguments.workers, single)
    val throughOne = measure(client, entry, single)
    val targets =
        listOf(
            atLeast("throughput through an entry over direct", 0.5, through.perSecond / direct.perSecond),
            atMost("added median of one caller, ms", 0.3, throughOne.latency.p50Ms - directOne.latency.p50Ms),
        )
    val variants =
        listOf(
            variant("direct", arguments.threads, direct),
            variant("through an entry", arguments.threads, through),
            variant("direct", 1, directOne),
            variant("through an entry", 1, throughOne),
        )
    ReportWriter(arguments.out).write(ExperimentReport("overhead", "bin/overhead", seed = 0, machine(), variants, targets))
    variants.forEach {
        println("%-18s %-10s %9.0f/s  %s".format(it.variant, it.condition, it.figures.getValue(PER_SECOND), it.latencies.values.first()))
    }
    targets.forEach { println("  %-60s %-16s %10.3f  %s".format(it.name, it.target, it.measured, if (it.isMet) "met" else "MISSED")) }
    exitProcess(if (targets.all { it.isMet }) 0 else 1)
}

private fun variant(
    name: String,
    threads: Int,
    part: PartResult,
): VariantResult = VariantResult(name, "$threads callers", mapOf("empty work" to part.latency), mapOf(PER_SECOND to part.perSecond))

private fun measure(
    client: OkHttpClient,
    targets: List<String>,
    arguments: OverheadArguments,
): PartResult {
    val stopNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(arguments.seconds)
    val ids = AtomicLong()
    val histograms = List(arguments.threads) { Histogram(TimeUnit.SECONDS.toNanos(MAX_SECONDS), SIGNIFICANT_DIGITS) }
    val callers =
        histograms.mapIndexed { index, histogram ->
            thread(name = "caller") {
                while (System.nanoTime() < stopNs) sendOne(client, targets[index % targets.size], ids.incrementAndGet(), histogram)
            }
        }
    callers.forEach { it.join() }
    val merged = histograms.reduce { sum, next -> sum.apply { add(next) } }
    return PartResult(merged.totalCount.toDouble() / arguments.seconds, summaryOf(merged))
}

private fun sendOne(
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
    val startedNs = System.nanoTime()
    val call = client.newCall(request)
    call.timeout().timeout(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
    try {
        call.execute().use { response ->
            response.body.bytes()
            if (response.code == OK) histogram.recordValue(System.nanoTime() - startedNs)
        }
    } catch (e: IOException) {
        System.err.println("no answer from $target: ${e.message}")
    }
}

private const val WARM_UPS = 2
private const val OK = 200
private const val CALL_TIMEOUT_MS = 2_000L
private const val MAX_SECONDS = 60L
private const val SIGNIFICANT_DIGITS = 3
private const val PER_SECOND = "requests per second"
