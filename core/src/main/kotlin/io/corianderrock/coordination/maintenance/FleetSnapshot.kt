/*
 * Everything that maintenance decides from, as read in one round.
 */
package io.corianderrock.coordination.maintenance

import io.corianderrock.state.Declarations
import io.corianderrock.state.InstancePhase
import io.corianderrock.state.InstanceRow
import io.corianderrock.state.ListedInstance
import io.corianderrock.state.ListedState

/** A row with the revision that a change of it has to name. */
public data class Revised<T>(
    val value: T,
    val revision: Long,
)

/** The fleet as the controller sees it. [unhealthy] are workers that entries have ejected or found leaving. */
public data class FleetSnapshot(
    val declarations: Declarations,
    val rows: Map<String, Revised<InstanceRow>>,
    val listed: Map<String, ListedInstance>,
    val budgets: Map<String, Revised<BudgetRow>>,
    val waves: Map<String, Revised<WaveRow>>,
    val unhealthy: Set<String>,
    val nowMs: Long,
) {
    /** The rows of all instances, retired ones included. */
    public val instances: List<InstanceRow> by lazy { rows.values.map { it.value } }

    private val rowsByPool: Map<String, List<InstanceRow>> by lazy {
        instances.filter { it.phase != InstancePhase.RETIRED }.groupBy { it.pool }
    }

    /** The data centres that have instances. */
    public val dataCentres: Set<String> by lazy { instances.mapTo(HashSet()) { it.dataCentre } }

    /** The rows of instances that belong to [pool] and are not gone for good. */
    public fun rowsOf(pool: String): List<InstanceRow> = rowsByPool[pool].orEmpty()

    /** True when the instance of [row] serves nobody, by plan or by failure. */
    public fun isUnavailable(row: InstanceRow): Boolean =
        row.phase != InstancePhase.ASSIGNED || listed[row.id]?.state != ListedState.LIVE || row.id in unhealthy
}

/** Counts what planned work may still take from the budget of one pool. */
public class BudgetAccount(
    private val snapshot: FleetSnapshot,
    private val pool: String,
) {
    private val spec = snapshot.declarations.budgetOf(pool)
    private val rows = snapshot.rowsOf(pool)
    private val out: MutableSet<String> = (rows.filter(snapshot::isUnavailable).map { it.id } + plannedIds()).toMutableSet()
    private val dataCentreOf = rows.associate { it.id to it.dataCentre }
    private val dataCentres = snapshot.dataCentres

    /** The instances of the pool that are out of service or about to be. */
    public val unavailable: Set<String> get() = out

    /** True when [row] may be taken out of service. Without a budget, one instance of the pool at a time may. */
    public fun allows(row: InstanceRow): Boolean {
        if (row.id in out) return false
        val total = (spec?.maxUnavailable ?: 1) - (spec?.failureReserve ?: 0)
        val local = (spec?.maxUnavailablePerDataCentre ?: 1) - (spec?.failureReserve ?: 0)
        val outLocally = out.count { dataCentreOf[it] == row.dataCentre } + missing(row.dataCentre)
        return out.size + dataCentres.sumOf(::missing) < total && outLocally < local
    }

    /** How many instances of the declared size the pool has lost in [dataCentre] and not yet replaced. */
    private fun missing(dataCentre: String): Int {
        val size = snapshot.declarations.poolNamed(pool)?.workersPerDataCentre ?: 0
        return (size - rows.count { it.dataCentre == dataCentre }).coerceAtLeast(0)
    }

    /** Counts [row] as taken out of service. */
    public fun spend(row: InstanceRow) {
        out += row.id
    }

    private fun plannedIds(): List<String> =
        snapshot.budgets[pool]
            ?.value
            ?.planned
            .orEmpty()
}
