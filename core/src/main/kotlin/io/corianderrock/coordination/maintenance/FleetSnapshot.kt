/*
 * The input of all planners: the fleet as read in one round, and the availability budgets of its pools.
 */
package io.corianderrock.coordination.maintenance

import io.corianderrock.state.Declarations
import io.corianderrock.state.InstancePhase
import io.corianderrock.state.InstanceRow
import io.corianderrock.state.ListedInstance
import io.corianderrock.state.ListedState

/** A decoded row with its [revision], the precondition of any change to it. */
public data class Versioned<T>(
    val value: T,
    val revision: Long,
)

/** The fleet at wall-clock time [nowMs]. [unhealthy] holds the workers that this entry has ejected or knows to be leaving. */
public data class FleetSnapshot(
    val declarations: Declarations,
    val rows: Map<String, Versioned<InstanceRow>>,
    val listed: Map<String, ListedInstance>,
    val budgets: Map<String, Versioned<BudgetRow>>,
    val waves: Map<String, Versioned<WaveRow>>,
    val unhealthy: Set<String>,
    val nowMs: Long,
) {
    /** All instances, retired ones included. */
    public val instances: List<InstanceRow> by lazy { rows.values.map { it.value } }

    private val rowsByPool: Map<String, List<InstanceRow>> by lazy {
        instances.filter { it.phase != InstancePhase.RETIRED }.groupBy { it.pool }
    }

    /** The data centres that have at least one instance, retired ones included. */
    public val dataCentres: Set<String> by lazy { instances.mapTo(HashSet()) { it.dataCentre } }

    /** The instances of [pool], without retired ones. */
    public fun rowsOf(pool: String): List<InstanceRow> = rowsByPool[pool].orEmpty()

    /** True if the instance of [row] is out of service, whether planned or because of a failure. */
    public fun isUnavailable(row: InstanceRow): Boolean =
        row.phase != InstancePhase.ASSIGNED || listed[row.id]?.state != ListedState.LIVE || row.id in unhealthy
}

/** Tracks which instances of [pool] count against its availability budget while changes are planned. Not thread-safe. */
public class BudgetTracker(
    private val snapshot: FleetSnapshot,
    private val pool: String,
) {
    private val spec = snapshot.declarations.budgetOf(pool)
    private val rows = snapshot.rowsOf(pool)
    private val out: MutableSet<String> =
        (rows.filter(snapshot::isUnavailable).map { it.id } + plannedIds()).toMutableSet()
    private val dataCentreOf = rows.associate { it.id to it.dataCentre }
    private val dataCentres = snapshot.dataCentres

    /** The ids of instances that are out of service, or reserved to be. */
    public val unavailable: Set<String> get() = out

    /** True if [row] may be drained now. A pool without a declared budget allows one unavailable instance at a time. */
    public fun allows(row: InstanceRow): Boolean {
        if (row.id in out) return false
        val limit = (spec?.maxUnavailable ?: 1) - (spec?.failureReserve ?: 0)
        val dataCentreLimit = (spec?.maxUnavailablePerDataCentre ?: 1) - (spec?.failureReserve ?: 0)
        val outInDataCentre = out.count { dataCentreOf[it] == row.dataCentre } + missingInstances(row.dataCentre)
        return out.size + dataCentres.sumOf(::missingInstances) < limit && outInDataCentre < dataCentreLimit
    }

    /** The number of instances by which the pool is below its declared size in [dataCentre]; they count as unavailable. */
    private fun missingInstances(dataCentre: String): Int {
        val size = snapshot.declarations.poolNamed(pool)?.workersPerDataCentre ?: 0
        return (size - rows.count { it.dataCentre == dataCentre }).coerceAtLeast(0)
    }

    /** Counts [row] as unavailable from now on. */
    public fun reserve(row: InstanceRow) {
        out += row.id
    }

    private fun plannedIds(): List<String> =
        snapshot.budgets[pool]
            ?.value
            ?.planned
            .orEmpty()
}
