/*
 * Entry point of the upstream stand-in, which simulates the workers of one data centre or of the whole fleet.
 */
package io.corianderrock.standins.upstream

import io.corianderrock.standins.FleetFile
import io.corianderrock.state.InstanceRole
import io.corianderrock.transport.EventLog
import io.corianderrock.transport.eq
import io.corianderrock.transport.onStopSignal
import io.corianderrock.transport.parseArguments
import org.kohsuke.args4j.Option
import java.io.File
import kotlin.system.exitProcess

/** Command line arguments of the upstream stand-in. */
internal class UpstreamArguments {
    @Option(name = "--fleet", usage = "TOML file with the instance groups", required = true)
    var fleet: File = File("fleet.toml")

    @Option(name = "--data-centre", usage = "serve the workers of this data centre; all when left out")
    var dataCentre: String? = null

    @Option(name = "--run-ms", usage = "run time of a request that does not set its own, in milliseconds")
    var runMs: Long = 2
}

/** Starts the workers and serves requests until the process receives a stop signal. */
public fun main(args: Array<String>) {
    val arguments = parseArguments(UpstreamArguments(), args) ?: exitProcess(2)
    val instances =
        FleetFile
            .read(arguments.fleet)
            .instances()
            .filter { it.role == InstanceRole.WORKER }
            .filter { arguments.dataCentre == null || it.dataCentre == arguments.dataCentre }
    val log = EventLog("upstream")
    val standin = UpstreamStandin(instances, UpstreamBehaviour(defaultRunMs = arguments.runMs))
    log.info("started", "workers" eq instances.size, "dataCentre" eq arguments.dataCentre)
    onStopSignal {
        standin.close()
        log.info("stopped")
    }
}
