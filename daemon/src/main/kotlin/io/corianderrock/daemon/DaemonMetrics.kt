/*
 * The metrics of one daemon, in the Prometheus client's registry.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.claim.ClaimOwner
import io.corianderrock.coordination.request.EntryRequest
import io.corianderrock.coordination.request.EntryResult
import io.corianderrock.coordination.request.RequestObserver
import io.corianderrock.coordination.request.ServiceDirectory
import io.corianderrock.coordination.request.ServiceRuntime
import io.corianderrock.protocol.contract.RequestOutcome
import io.corianderrock.state.ServiceSpec
import io.corianderrock.transport.renderText
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Counts requests by outcome. Gauges read their source at each scrape. */
public class DaemonMetrics : RequestObserver {
    private val registry = PrometheusRegistry()

    private val requests =
        Counter
            .builder()
            .name("corianderrock_requests_total")
            .help("Requests finished, by service, outcome and reason.")
            .labelNames("service", "outcome", "reason")
            .register(registry)

    private val durations =
        Histogram
            .builder()
            .name("corianderrock_request_duration_seconds")
            .help("Time from the receipt of a request to its result.")
            .labelNames("service")
            .classicUpperBounds(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
            .classicOnly()
            .register(registry)

    private val platformFailures =
        Counter
            .builder()
            .name("corianderrock_platform_failures_total")
            .help("Failed calls to the platform, by step.")
            .labelNames("step")
            .register(registry)

    override fun onFinished(
        service: ServiceSpec,
        request: EntryRequest,
        result: EntryResult,
        elapsedNs: Long,
    ) {
        requests.labelValues(service.name, outcomeOf(result).wireName, reasonOf(result)).inc()
        durations.labelValues(service.name).observe(elapsedNs / NS_PER_SECOND)
    }

    /** Counts a failed call to the platform; [step] is the metric label. */
    public fun onPlatformFailure(step: String): Unit = platformFailures.labelValues(step).inc()

    /** Registers the configuration, request and worker gauges of [directory]. */
    public fun watch(directory: ServiceDirectory) {
        gauge(
            "corianderrock_configuration_version",
            "Version of the configuration in force.",
        ) { it(directory.configurationVersion.toDouble()) }
        serviceGauge("corianderrock_requests_waiting", "Requests that wait for a slot.", directory) { it.scheduler.waitingCount }
        serviceGauge("corianderrock_requests_in_flight", "Slots held by requests.", directory) { it.scheduler.inFlightCount }
        gauge("corianderrock_workers_ejected", "Workers that receive no work because they failed.") { report ->
            report(directory.workerStates.count { it.health.isEjected }.toDouble())
        }
    }

    /** Registers the gauges of claim ownership. */
    public fun watch(owner: ClaimOwner) {
        gauge("corianderrock_claim_ranges_owned", "Ranges of the key space owned by this entry.") { it(owner.ownedRanges.size.toDouble()) }
        gauge("corianderrock_claims_held", "Claims held in memory.") { it(owner.claimCount.toDouble()) }
        gauge("corianderrock_claims_unlogged", "Claims not yet in the platform's table.") { it(owner.log.pendingCount.toDouble()) }
        gauge("corianderrock_claim_commits", "Commits of the claim log since the start.") { it(owner.log.commitCount.toDouble()) }
        gauge("corianderrock_claims_from_memory", "1 while claims are granted without the platform.") { report ->
            report(if (owner.isWriteBehind) 1.0 else 0.0)
        }
    }

    /** Registers the burn rate gauge for the requests of this entry. */
    public fun watch(burn: BurnReporter) {
        GaugeWithCallback
            .builder()
            .name("corianderrock_slo_burn_rate")
            .help("Burn of the error budget by this entry's requests; 1 spends it exactly over the objective's period.")
            .labelNames("service", "window")
            .callback { callback ->
                for (service in burn.ownReport().services) {
                    service.windows.forEach { callback.call(it.burnRate, service.service, it.window.label) }
                }
            }.register(registry)
    }

    /** Registers a gauge without labels whose value is read at each scrape. */
    public fun gauge(
        name: String,
        help: String,
        read: ((Double) -> Unit) -> Unit,
    ) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .callback { callback -> read { callback.call(it) } }
            .register(registry)
    }

    /** All metrics in the Prometheus text format. */
    public fun render(): String = registry.renderText()

    private fun serviceGauge(
        name: String,
        help: String,
        directory: ServiceDirectory,
        read: (ServiceRuntime) -> Int,
    ) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .labelNames("service")
            .callback { callback -> directory.services.forEach { callback.call(read(it).toDouble(), it.spec.name) } }
            .register(registry)
    }

    private fun reasonOf(result: EntryResult): String =
        when (result) {
            is EntryResult.Ran -> ""
            is EntryResult.NotRun -> result.reason.wireName
            is EntryResult.Unknown -> result.reason.wireName
        }

    private companion object {
        const val NS_PER_SECOND = 1e9
    }
}

/** The outcome in the callers' contract for [result]. */
internal fun outcomeOf(result: EntryResult): RequestOutcome =
    when (result) {
        is EntryResult.Ran -> RequestOutcome.RAN
        is EntryResult.NotRun -> RequestOutcome.NOT_RUN
        is EntryResult.Unknown -> RequestOutcome.UNKNOWN
    }
