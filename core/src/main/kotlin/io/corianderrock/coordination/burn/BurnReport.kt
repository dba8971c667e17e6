/*
 * Burn rates: how fast each service spends the error budget that its availability objective allows.
 */
package io.corianderrock.coordination.burn

import io.corianderrock.state.ServiceSpec
import kotlinx.serialization.Serializable

/** A window of the report, ending at the time of the report. */
@Serializable
public enum class BurnWindow(
    public val label: String,
    public val lengthMs: Long,
) {
    SHORT("10m", 600_000),
    HOUR("1h", 3_600_000),
    LONG("6h", BURN_RETENTION_MS),
}

/** The burn rate of one window. A [burnRate] of 1 spends the error budget exactly over the period of the objective. */
@Serializable
public data class WindowBurn(
    val window: BurnWindow,
    val requests: Long,
    val bad: Long,
    val burnRate: Double,
)

/** The alert that burn rates call for: [PAGE] for an immediate response, [TICKET] for a later one. */
@Serializable
public enum class BurnAlert { NONE, TICKET, PAGE }

/** The burn rates of one service, and the merged [buckets] that they are computed from. */
@Serializable
public data class ServiceBurn(
    val service: String,
    val objective: Double,
    val latencyObjectiveMs: Long,
    val windows: List<WindowBurn>,
    val alert: BurnAlert,
    val buckets: List<BurnBucket>,
)

/** The burn rates of all services at [atMs]. [entries] is the number of entries whose counters were merged. */
@Serializable
public data class BurnReport(
    val atMs: Long,
    val entries: Int,
    val services: List<ServiceBurn>,
)

/** Merges the [buckets] of [entries] entries into a report on [services] at wall-clock time [atMs]. */
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
            .map { (startMs, bucketsOfStart) ->
                BurnBucket(service.name, startMs, bucketsOfStart.sumOf { it.good }, bucketsOfStart.sumOf { it.bad })
            }.sortedBy { it.startMs }
    val windows = BurnWindow.entries.map { windowBurn(service, it, merged, atMs) }
    return ServiceBurn(service.name, service.availabilityObjective, service.latencyObjectiveMs, windows, alertOf(windows), merged)
}

private fun windowBurn(
    service: ServiceSpec,
    window: BurnWindow,
    buckets: List<BurnBucket>,
    atMs: Long,
): WindowBurn {
    val inWindow = buckets.filter { it.startMs + BUCKET_MS > atMs - window.lengthMs }
    val bad = inWindow.sumOf { it.bad }
    val requests = inWindow.sumOf { it.good } + bad
    val errorRatio = if (requests == 0L) 0.0 else bad.toDouble() / requests
    return WindowBurn(window, requests, bad, errorRatio / (1.0 - service.availabilityObjective))
}

/**
 * A page needs its burn rate in the 10-minute and the 1-hour window, a ticket in the 1-hour and the 6-hour window; the shorter
 * window ends the alert soon after the burn ends.
 */
private fun alertOf(windows: List<WindowBurn>): BurnAlert {
    val rates = windows.associate { it.window to it.burnRate }
    val isPage = rates.getValue(BurnWindow.SHORT) >= PAGE_BURN_RATE && rates.getValue(BurnWindow.HOUR) >= PAGE_BURN_RATE
    val isTicket = rates.getValue(BurnWindow.HOUR) >= TICKET_BURN_RATE && rates.getValue(BurnWindow.LONG) >= TICKET_BURN_RATE
    return when {
        isPage -> BurnAlert.PAGE
        isTicket -> BurnAlert.TICKET
        else -> BurnAlert.NONE
    }
}

private const val PAGE_BURN_RATE = 14.4
private const val TICKET_BURN_RATE = 6.0
