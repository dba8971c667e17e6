/*
 * The declarations and kinds of work that experiments share.
 */
package io.corianderrock.load.experiment

import io.corianderrock.load.LocalFleetShape
import io.corianderrock.load.WorkProfile
import io.corianderrock.state.BudgetSpec
import io.corianderrock.state.Declarations
import io.corianderrock.state.PoolSpec
import io.corianderrock.state.RouteSpec
import io.corianderrock.state.ServiceSpec
import io.corianderrock.state.WaveSpec

internal const val WORKERS = 4
internal const val SLOTS = 8

/** One service on one pool of four workers with eight slots each, served by two entries. */
internal val ONE_SERVICE =
    Declarations(
        pools = listOf(PoolSpec("tally", WORKERS, SLOTS)),
        services =
            listOf(
                ServiceSpec(
                    name = "tally",
                    pool = "tally",
                    pathPrefix = "/tally",
                    requestTimeoutMs = 5_000,
                    shortRunTimeMs = 100,
                    routes = listOf(RouteSpec("/tally/rebuild", idempotent = false)),
                ),
            ),
        budgets = listOf(BudgetSpec("tally-budget", "tally", maxUnavailable = 1, maxUnavailablePerDataCentre = 1)),
        waves = listOf(WaveSpec("kernel-update", listOf("tally"))),
    )

/** The same service with a spare pool of the same size, as both users declare it. */
internal val SERVICE_WITH_SPARE =
    ONE_SERVICE.copy(
        pools = ONE_SERVICE.pools + PoolSpec("spare", WORKERS, SLOTS, spare = true),
        services = ONE_SERVICE.services.map { it.copy(sparePool = "spare") },
    )

internal val ONE_SERVICE_SHAPE =
    LocalFleetShape(dataCentres = 1, entriesPerDataCentre = 2, workersPerDataCentre = WORKERS, slotsPerWorker = SLOTS)

/** The requests a second that the pool of [ONE_SERVICE] can run when each takes [runMs]. */
internal fun capacityPerSecond(runMs: Double): Double = WORKERS * SLOTS * 1_000.0 / runMs

internal val TALLY = WorkProfile("tally", "GET", "/tally/quick", meanRunMs = 20.0)
internal val CONFIRMATION = WorkProfile("rebuild", "POST", "/tally/rebuild", meanRunMs = 20.0, isKeyed = true)
