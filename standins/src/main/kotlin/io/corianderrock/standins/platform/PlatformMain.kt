/*
 * Entry point of the platform stand-in.
 */
package io.corianderrock.standins.platform

import io.corianderrock.standins.FleetFile
import io.corianderrock.state.ListedInstance
import io.corianderrock.transport.EventLog
import io.corianderrock.transport.ListenAddress
import io.corianderrock.transport.eq
import io.corianderrock.transport.newHttpClient
import io.corianderrock.transport.onStopSignal
import io.corianderrock.transport.parseArguments
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.kohsuke.args4j.Option
import java.io.File
import java.io.IOException
import kotlin.system.exitProcess

/** Command line arguments of the platform stand-in. */
internal class PlatformArguments {
    @Option(name = "--port", usage = "port on 127.0.0.1", required = true)
    var port: Int = 0

    @Option(name = "--fleet", usage = "TOML file with the instance groups", required = true)
    var fleet: File = File("fleet.toml")

    @Option(name = "--list-lag-ms", usage = "delay until a change appears in the instance list, in milliseconds")
    var listLagMs: Long = 1_000
}

/** Starts the platform stand-in and serves requests until the process receives a stop signal. */
public fun main(args: Array<String>) {
    val arguments = parseArguments(PlatformArguments(), args) ?: exitProcess(2)
    val log = EventLog("platform")
    val client = newHttpClient()
    val restart: (ListedInstance) -> Unit = { instance ->
        val url = "http://${instance.host}:${instance.port}/_standin/reboot"
        try {
            client
                .newCall(
                    Request
                        .Builder()
                        .url(url)
                        .post(ByteArray(0).toRequestBody())
                        .build(),
                ).execute()
                .close()
        } catch (e: IOException) {
            log.warn("reboot-failed", "instance" eq instance.id, "reason" eq e.message)
        }
    }
    val platform = PlatformStandin(ListenAddress("127.0.0.1", arguments.port), arguments.listLagMs, restart)
    platform.fleetState.install(FleetFile.read(arguments.fleet).instances())
    log.info("started", "port" eq platform.port)
    onStopSignal {
        platform.close()
        log.info("stopped")
    }
}
