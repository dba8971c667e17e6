/*
 * Declarations, fleet shape and kinds of work shared by the experiments.
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

/** One service on one pool of [WORKERS] workers with [SLOTS] slots each. */
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

/** The same service with a spare pool of the same size, as in the example deployments. */
internal val SERVICE_WITH_SPARE =
    ONE_SERVICE.copy(
        pools = ONE_SERVICE.pools + PoolSpec("spare", WORKERS, SLOTS, spare = true),
        services = ONE_SERVICE.services.map { it.copy(sparePool = "spare") },
    )

/** One data centre with two entries and the workers of [ONE_SERVICE]. */
internal val ONE_SERVICE_SHAPE =
    LocalFleetShape(dataCentres = 1, entriesPerDataCentre = 2, workersPerDataCentre = WORKERS, slotsPerWorker = SLOTS)

/** Capacity of the pool of [ONE_SERVICE] in requests per second, with a mean run time of [runMs]. */
internal fun capacityPerSecond(runMs: Double): Double = WORKERS * SLOTS * 1_000.0 / runMs

internal val TALLY = WorkProfile("tally", "GET", "/tally/quick", meanRunMs = 20.0)
internal val REBUILD = WorkProfile("rebuild", "POST", "/tally/rebuild", meanRunMs = 20.0, isKeyed = true)
