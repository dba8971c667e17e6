/*
 * Drives load at running processes and checks what callers were told against the ledgers of the upstream stand-ins.
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

/** Arguments of the driver. */
internal class DriveArguments {
    @Option(name = "--target", metaVar = "HOST:PORT", usage = "callers' address of an entry; repeat for more", required = true)
    var targets: List<String> = ArrayList()

    @Option(name = "--ledger", metaVar = "HOST:PORT", usage = "address of a worker of each upstream process; repeat for more")
    var ledgers: List<String> = ArrayList()

    @Option(name = "--path", usage = "path prefix of the service")
    var path: String = "/nationality"

    @Option(name = "--seconds", usage = "length of the run")
    var seconds: Double = 10.0

    @Option(name = "--rate", usage = "requests a second")
    var rate: Double = 200.0

    @Option(name = "--seed", usage = "seed of arrivals and run times")
    var seed: Long = 1

    @Option(name = "--resends", usage = "how often a keyed request without a known outcome is sent again through other entries")
    var resends: Int = 2
}

/** Runs the load, prints the check and exits with 1 when a promise was broken. */
public fun main(args: Array<String>) {
    val arguments = parseArguments(DriveArguments(), args) ?: exitProcess(2)
    val results = LoadGenerator(arguments.targets).use { drive(it, arguments) }
    val executions = arguments.ledgers.flatMap(::readLedger)
    val report = checkInvariants(results, executions) { it.method == "GET" }
    println(PRETTY.encodeToString(InvariantReport.serializer(), report))
    results
        .filter { it.outcome != RequestOutcome.RAN }
        .groupingBy { "${it.outcome ?: "no answer"} ${it.reason}" }
        .eachCount()
        .forEach { (reason, count) -> println("$count $reason") }
    exitProcess(if (report.isClean) 0 else 1)
}

private val PRETTY = Json { prettyPrint = true }

private fun drive(
    generator: LoadGenerator,
    arguments: DriveArguments,
): List<CallResult> {
    val profiles =
        listOf(
            WorkProfile("tally", "GET", arguments.path + "/tally", meanRunMs = 5.0, share = 0.7, deadlineMs = 3_000),
            WorkProfile("rebuild", "POST", arguments.path + "/rebuild", meanRunMs = 20.0, share = 0.3, isKeyed = true, deadlineMs = 3_000),
        )
    val first = generator.run(WorkPlan(arguments.seed, profiles) { arguments.rate }.items(arguments.seconds))
    return first + resendUnknown(generator, first, arguments)
}

/** Sends keyed work whose outcome is not known again, under the same key, through other entries in turn. */
private fun resendUnknown(
    generator: LoadGenerator,
    first: List<CallResult>,
    arguments: DriveArguments,
): List<CallResult> {
    val unknown = first.filter { it.item.profile.isKeyed && it.outcome != RequestOutcome.RAN && it.outcome != RequestOutcome.NOT_RUN }
    return (1..arguments.resends).flatMap { round ->
        unknown.map { result ->
            val next = (arguments.targets.indexOf(result.target) + round) % arguments.targets.size
            generator.send(result.item, arguments.targets[next], key = result.item.work)
        }
    }
}

private fun readLedger(address: String): List<Execution> {
    val request = Request.Builder().url("http://$address/_standin/ledger").build()
    newHttpClient().newCall(request).execute().use { response ->
        return Json
            .decodeFromString(LedgerPage.serializer(), response.body.string())
            .executions
            .filter { it.work.isNotEmpty() }
    }
}
