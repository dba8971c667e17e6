/*
 * The service-level burn: how fast each service spends the errors that its objective allows.
 */
package io.corianderrock.coordination.burn

import io.corianderrock.state.ServiceSpec
import kotlinx.serialization.Serializable

/** A window of the report. */
@Serializable
public enum class BurnWindow(
    public val label: String,
    public val lengthMs: Long,
) {
    SHORT("10m", 600_000),
    HOUR("1h", 3_600_000),
    LONG("6h", BURN_RETENTION_MS),
}

/** The burn of one window. A [burnRate] of 1 spends the error budget exactly over the objective's period. */
@Serializable
public data class WindowBurn(
    val window: BurnWindow,
    val requests: Long,
    val bad: Long,
    val burnRate: Double,
)

/** How urgent a burn is. */
@Serializable
public enum class BurnAlert { NONE, TICKET, PAGE }

/** The burn of one service. */
@Serializable
public data class ServiceBurn(
    val service: String,
    val objective: Double,
    val latencyObjectiveMs: Long,
    val windows: List<WindowBurn>,
    val alert: BurnAlert,
    val buckets: List<BurnBucket>,
)

/** The burn of all services at [atMs]. [entries] is the number of entries whose counters were merged. */
@Serializable
public data class BurnReport(
    val atMs: Long,
    val entries: Int,
    val services: List<ServiceBurn>,
)

/** Merges the [buckets] of [entries] entries into a report on [services]. */
public fun burnReport(
    services: List<ServiceSpec>,
    buckets: List<BurnBucket>,
    entries: Int,
    atMs: Long,
): BurnReport = BurnReport(atMs, entries, services.map { serviceBurn(it, buckets, atMs) })

private fun serviceBurn(
    service: ServiceSpec,
    buckets: List<BurnBucket>,
    atMs: Long,
): ServiceBurn {
    val merged =
        buckets
            .filter { it.service == service.name && it.startMs > atMs - BURN_RETENTION_MS }
            .groupBy { it.startMs }
            .map { (startMs, same) -> BurnBucket(service.name, startMs, same.sumOf { it.good }, same.sumOf { it.bad }) }
            .sortedBy { it.startMs }
    val windows = BurnWindow.entries.map { windowBurn(service, it, merged, atMs) }
    return ServiceBurn(service.name, service.availabilityObjective, service.latencyObjectiveMs, windows, alertOf(windows), merged)
}

private fun windowBurn(
    service: ServiceSpec,
    window: BurnWindow,
    buckets: List<BurnBucket>,
    atMs: Long,
): WindowBurn {
    val own = buckets.filter { it.startMs + BUCKET_MS > atMs - window.lengthMs }
    val bad = own.sumOf { it.bad }
    val requests = own.sumOf { it.good } + bad
    val errorShare = if (requests == 0L) 0.0 else bad.toDouble() / requests
    return WindowBurn(window, requests, bad, errorShare / (1.0 - service.availabilityObjective))
}

/** A page needs the burn in a short and an hour's window, a ticket in an hour's and a long one. */
private fun alertOf(windows: List<WindowBurn>): BurnAlert {
    val rates = windows.associate { it.window to it.burnRate }
    val isPage = rates.getValue(BurnWindow.SHORT) >= PAGE_RATE && rates.getValue(BurnWindow.HOUR) >= PAGE_RATE
    val isTicket = rates.getValue(BurnWindow.HOUR) >= TICKET_RATE && rates.getValue(BurnWindow.LONG) >= TICKET_RATE
    return when {
        isPage -> BurnAlert.PAGE
        isTicket -> BurnAlert.TICKET
        else -> BurnAlert.NONE
    }
}

private const val PAGE_RATE = 14.4
private const val TICKET_RATE = 6.0
