/*
 * Reconciles the fleet with its declarations: assigns instances to pools, moves them between pools and runs maintenance
 * waves. All state is in the platform's table, so the next holder of the controller lease resumes where the last one stopped.
 */
package io.corianderrock.coordination.maintenance

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.Platform
import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.Row
import io.corianderrock.coordination.fleet.ENTRY_PREFIX
import io.corianderrock.coordination.fleet.EntryRow
import io.corianderrock.coordination.fleet.INSTANCE_PREFIX
import io.corianderrock.coordination.fleet.decodeEntryRow
import io.corianderrock.coordination.fleet.decodeInstanceRow
import io.corianderrock.coordination.fleet.planAssignments
import io.corianderrock.coordination.lease.HeldLease
import io.corianderrock.coordination.record.AuditRecord
import io.corianderrock.state.Declarations
import io.corianderrock.state.InstancePhase
import io.corianderrock.state.InstanceRow
import io.corianderrock.state.ListedInstance
import io.corianderrock.state.ListedState
import io.corianderrock.state.WaveSpec

/** Checks whether an entry has stopped sending requests to an instance. Called on the controller's thread; may block. */
public fun interface DrainProbe {
    /** True if [entry] applies [row] and has no request in flight on its instance. False if the entry does not answer. */
    public fun isDrained(
        entry: EntryRow,
        row: InstanceRow,
    ): Boolean
}

/** Checks whether an instance serves requests again after a reboot. Called on the controller's thread; may block. */
public fun interface InstanceProbe {
    /** True if [instance] answers a request to [path]. */
    public fun isServing(
        instance: ListedInstance,
        path: String,
    ): Boolean
}

/** Receives the outcome of each batch of changes, for logging. Called on the controller's thread. */
public fun interface FleetChangeListener {
    /** Reports the [result] of the transaction that carried [changes]. */
    public fun onChanges(
        changes: List<FleetChange>,
        result: PlatformResult<Long>,
    )
}

/** Runs reconciliation rounds as [instanceId]. Caches rows between rounds and reads only what changed. Not thread-safe. */
public class Controller(
    private val platform: Platform,
    private val clock: Clock,
    private val instanceId: String,
    private val drainProbe: DrainProbe,
    private val instanceProbe: InstanceProbe,
    private val unhealthy: () -> Set<String>,
    private val newId: () -> String,
    private val moveLimits: MoveLimits = MoveLimits(),
    private val listener: FleetChangeListener = FleetChangeListener { _, _ -> },
) {
    private val record = AuditRecord(platform)
    private val committer = FleetChangeCommitter(platform, record, newId)
    private val assignmentCommitter = AssignmentCommitter(platform, record, instanceId, newId)
    private val rows = HashMap<String, Versioned<InstanceRow>>()
    private val listed = HashMap<String, ListedInstance>()
    private val entries = HashMap<String, EntryRow>()
    private val waves = HashMap<String, Versioned<WaveRow>>()
    private val budgets = HashMap<String, Versioned<BudgetRow>>()
    private val seenRevisions = HashMap<String, Long>()
    private var listRevision = 0L

    /** Runs one round; changes of rows are fenced by [lease]. Returns false if the fleet could not be read from the platform. */
    public fun reconcile(
        declarations: Declarations,
        lease: HeldLease,
    ): Boolean {
        if (!refresh()) return false
        assignmentCommitter.assign(
            planAssignments(declarations, listed.values, rows.mapValues { it.value.value }, clock.wallMs()),
            lease,
            clock.wallMs(),
        )
        val snapshot =
            FleetSnapshot(declarations, rows.toMap(), listed.toMap(), budgets.toMap(), waves.toMap(), unhealthy(), clock.wallMs())
        val changes = plan(snapshot)
        if (changes.isNotEmpty()) listener.onChanges(changes, committer.commit(changes, snapshot, instanceId, lease.fence))
        requestReboots()
        record.archive()
        return true
    }

    private fun plan(snapshot: FleetSnapshot): List<FleetChange> {
        val trackers = HashMap<String, BudgetTracker>()
        val budgetOf = { pool: String -> trackers.getOrPut(pool) { BudgetTracker(snapshot, pool) } }
        val draining = snapshot.instances.filter { it.phase == InstancePhase.DRAINING }
        val drained = draining.filter(::isDrained).map { it.id }.toSet()
        val moves = planMoves(snapshot, drained, budgetOf, moveLimits)
        val maintenance =
            snapshot.waves.values.map { it.value }.flatMap { row ->
                val spec = specOf(row, snapshot.declarations)
                planWave(spec, row, snapshot, ProbeResults(drained, verifiedMembers(snapshot, row, spec.verifyPath)), budgetOf)
            }
        val retired = planRetirements(snapshot)
        val retiredIds = retired.map { it.before.id }.toSet()
        return retired + (moves + maintenance).filterNot { it is FleetChange.InstanceChange && it.before.id in retiredIds }
    }

    /** A wave that is no longer declared has no pools: it returns the instances that it drained and drains no more. */
    private fun specOf(
        row: WaveRow,
        declarations: Declarations,
    ): WaveSpec = declarations.waves.firstOrNull { it.name == row.name } ?: WaveSpec(row.name, pools = emptyList())

    /** Every entry of the data centre has to confirm unless it has left or is listed as gone; a silent entry blocks the drain. */
    private fun isDrained(row: InstanceRow): Boolean {
        val local = entries.values.filter { it.dataCentre == row.dataCentre && !it.hasLeft && listed[it.id]?.state != ListedState.GONE }
        return local.all { drainProbe.isDrained(it, row) }
    }

    private fun verifiedMembers(
        snapshot: FleetSnapshot,
        wave: WaveRow,
        path: String,
    ): Set<String> =
        snapshot.instances
            .filter { row -> row.wave?.let(::waveNameOf) == wave.name && row.phase == InstancePhase.VERIFYING }
            .filter { row -> listed[row.id]?.let { instanceProbe.isServing(it, path) } ?: false }
            .map { it.id }
            .toSet()

    /** Requests are repeated until the list shows the new boot. The platform acts only once on each request id. */
    private fun requestReboots() {
        rows.values
            .map { it.value }
            .filter { it.phase == InstancePhase.REBOOTING && (listed[it.id]?.bootCount ?: 0) <= it.bootCountBefore }
            .forEach { platform.reboot(it.id, requestId = "${it.id}-${it.epoch}") }
    }

    /** Reads instances before entries, so that every entry that may have read an older instance row has to confirm the drain. */
    private fun refresh(): Boolean {
        val isComplete =
            readChanges(INSTANCE_PREFIX) { row -> decodeInstanceRow(row).let { rows[it.id] = Versioned(it, row.revision) } } &&
                readChanges(ENTRY_PREFIX) { row -> decodeEntryRow(row).let { entries[it.id] = it } } &&
                readChanges(WAVE_PREFIX) { row -> decodeWave(row).let { waves[it.name] = Versioned(it, row.revision) } } &&
                readChanges(BUDGET_PREFIX) { row -> decodeBudget(row).let { budgets[it.pool] = Versioned(it, row.revision) } }
        if (!isComplete) return false
        val page = (platform.instances(listRevision) as? PlatformResult.Ok ?: return false).value
        listRevision = page.revision
        page.instances.forEach { listed[it.id] = it }
        return true
    }

    private fun readChanges(
        prefix: String,
        apply: (Row) -> Unit,
    ): Boolean {
        val seen = seenRevisions[prefix] ?: 0
        val changed = (platform.scan(prefix, seen) as? PlatformResult.Ok ?: return false).value
        changed.forEach(apply)
        seenRevisions[prefix] = changed.maxOfOrNull { it.revision } ?: seen
        return true
    }
}
