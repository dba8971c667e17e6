/*
 * Entry point of the load driver: sends load to running entries and checks the responses against the ledgers of the upstream
 * stand-ins.
 */
package io.corianderrock.load

import io.corianderrock.protocol.contract.RequestOutcome
import io.corianderrock.standins.upstream.Execution
import io.corianderrock.standins.upstream.LedgerPage
import io.corianderrock.transport.newHttpClient
import io.corianderrock.transport.parseArguments
import kotlinx.serialization.json.Json
import okhttp3.Request
import org.kohsuke.args4j.Option
import kotlin.system.exitProcess

/** Command line arguments of the load driver. */
internal class DriveArguments {
    @Option(name = "--target", metaVar = "HOST:PORT", usage = "address of an entry for callers; repeatable", required = true)
    var targets: List<String> = ArrayList()

    @Option(name = "--ledger", metaVar = "HOST:PORT", usage = "address of any one worker of an upstream process; repeatable")
    var ledgers: List<String> = ArrayList()

    @Option(name = "--path", usage = "path prefix of the service under load")
    var path: String = "/nationality"

    @Option(name = "--seconds", usage = "duration of the load in seconds")
    var seconds: Double = 10.0

    @Option(name = "--rate", usage = "mean number of requests per second")
    var rate: Double = 200.0

    @Option(name = "--seed", usage = "random seed of arrival times and run times")
    var seed: Long = 1

    @Option(name = "--resends", usage = "number of times that a keyed request with an unknown outcome is retried through other entries")
    var resends: Int = 2
}

/** Sends the load, prints the report and the outcomes other than `ran`, and exits with 1 when an invariant was violated. */
public fun main(args: Array<String>) {
    val arguments = parseArguments(DriveArguments(), args) ?: exitProcess(2)
    val results = LoadGenerator(arguments.targets).use { generateLoad(it, arguments) }
    val executions = arguments.ledgers.flatMap(::readLedger)
    val report = checkInvariants(results, executions) { it.method == "GET" }
    println(PRETTY_JSON.encodeToString(InvariantReport.serializer(), report))
    results
        .filter { it.outcome != RequestOutcome.RAN }
        .groupingBy { "${it.outcome ?: "no response"} ${it.reason}" }
        .eachCount()
        .forEach { (reason, count) -> println("$count $reason") }
    exitProcess(if (report.isClean) 0 else 1)
}

private val PRETTY_JSON = Json { prettyPrint = true }

private fun generateLoad(
    generator: LoadGenerator,
    arguments: DriveArguments,
): List<CallResult> {
    val profiles =
        listOf(
            WorkProfile("tally", "GET", arguments.path + "/tally", meanRunMs = 5.0, share = 0.7, deadlineMs = 3_000),
            WorkProfile("rebuild", "POST", arguments.path + "/rebuild", meanRunMs = 20.0, share = 0.3, isKeyed = true, deadlineMs = 3_000),
        )
    val initialResults = generator.run(WorkPlan(arguments.seed, profiles) { arguments.rate }.items(arguments.seconds))
    return initialResults + retryUnknown(generator, initialResults, arguments)
}

/** Retries keyed work with an unknown outcome under the same key, each time through the next entry in the list. */
private fun retryUnknown(
    generator: LoadGenerator,
    initialResults: List<CallResult>,
    arguments: DriveArguments,
): List<CallResult> {
    val unknown =
        initialResults.filter {
            it.item.profile.isKeyed &&
                it.outcome != RequestOutcome.RAN &&
                it.outcome != RequestOutcome.NOT_RUN
        }
    return (1..arguments.resends).flatMap { retry ->
        unknown.map { result ->
            val next = (arguments.targets.indexOf(result.target) + retry) % arguments.targets.size
            generator.send(result.item, arguments.targets[next], key = result.item.workId)
        }
    }
}

private fun readLedger(address: String): List<Execution> {
    val request = Request.Builder().url("http://$address/_standin/ledger").build()
    newHttpClient().newCall(request).execute().use { response ->
        return Json
            .decodeFromString(LedgerPage.serializer(), response.body.string())
            .executions
            .filter { it.workId.isNotEmpty() }
    }
}
