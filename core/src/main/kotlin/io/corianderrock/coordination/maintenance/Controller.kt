/*
 * Control work: assigns instances, moves them, and carries out waves. All state is in the platform's table, so any
 * holder of the lease continues where the former one ended.
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

/** Asks an entry whether it has stopped sending work to an instance. */
public fun interface DrainProbe {
    /** True when [entry] has [row] in force and no request left on it; false also when it does not answer. */
    public fun isDrained(
        entry: EntryRow,
        row: InstanceRow,
    ): Boolean
}

/** Asks an instance whether it serves again after a reboot. */
public fun interface InstanceProbe {
    /** True when [instance] answers a request to [path]. */
    public fun isServing(
        instance: ListedInstance,
        path: String,
    ): Boolean
}

/** Told of each committed batch of steps, for logs. */
public fun interface StepListener {
    /** Reports [steps] and whether their transaction committed. */
    public fun onSteps(
        steps: List<Step>,
        result: PlatformResult<Long>,
    )
}

/** Does one round of control work at a time; not thread-safe. */
public class Controller(
    private val platform: Platform,
    private val clock: Clock,
    private val self: String,
    private val drainProbe: DrainProbe,
    private val instanceProbe: InstanceProbe,
    private val unhealthy: () -> Set<String>,
    private val newId: () -> String,
    private val moveLimits: MoveLimits = MoveLimits(),
    private val listener: StepListener = StepListener { _, _ -> },
) {
    private val record = AuditRecord(platform)
    private val committer = StepCommitter(platform, record, newId)
    private val assigner = Assigner(platform, record, self, newId)
    private val rows = HashMap<String, Revised<InstanceRow>>()
    private val listed = HashMap<String, ListedInstance>()
    private val entries = HashMap<String, EntryRow>()
    private val waves = HashMap<String, Revised<WaveRow>>()
    private val budgets = HashMap<String, Revised<BudgetRow>>()
    private val seenRevisions = HashMap<String, Long>()
    private var listRevision = 0L

    /** Does one round under [lease]. Returns false when the platform did not answer. */
    public fun round(
        declarations: Declarations,
        lease: HeldLease,
    ): Boolean {
        if (!refresh()) return false
        assigner.assign(
            planAssignments(declarations, listed.values, rows.mapValues { it.value.value }, clock.wallMs()),
            lease,
            clock.wallMs(),
        )
        val snapshot =
            FleetSnapshot(declarations, rows.toMap(), listed.toMap(), budgets.toMap(), waves.toMap(), unhealthy(), clock.wallMs())
        val steps = plan(snapshot)
        if (steps.isNotEmpty()) listener.onSteps(steps, committer.commit(steps, snapshot, self, lease.fence))
        requestReboots()
        record.archive()
        return true
    }

    private fun plan(snapshot: FleetSnapshot): List<Step> {
        val accounts = HashMap<String, BudgetAccount>()
        val accountOf = { pool: String -> accounts.getOrPut(pool) { BudgetAccount(snapshot, pool) } }
        val draining = snapshot.instances.filter { it.phase == InstancePhase.DRAINING }
        val drained = draining.filter(::isDrained).map { it.id }.toSet()
        val moves = planMoves(snapshot, drained, accountOf, moveLimits)
        val maintenance =
            snapshot.waves.values.map { it.value }.flatMap { row ->
                val spec = specOf(row, snapshot.declarations)
                planWave(spec, row, snapshot, Findings(drained, verifiedMembers(snapshot, row, spec.verifyPath)), accountOf)
            }
        val retired = planRetirements(snapshot)
        val retiredIds = retired.map { it.before.id }.toSet()
        return retired + (moves + maintenance).filterNot { it is Step.ChangeRow && it.before.id in retiredIds }
    }

    /** A wave that is no longer declared brings back what it took and starts nothing. */
    private fun specOf(
        row: WaveRow,
        declarations: Declarations,
    ): WaveSpec = declarations.waves.firstOrNull { it.name == row.name } ?: WaveSpec(row.name, pools = emptyList())

    /** Every entry of the data centre that is not proved gone has to confirm; one that is silent is waited for. */
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

    /** Repeated until the list shows the boot; the platform acts once on each request id. */
    private fun requestReboots() {
        rows.values
            .map { it.value }
            .filter { it.phase == InstancePhase.REBOOTING && (listed[it.id]?.bootCount ?: 0) <= it.bootCountBefore }
            .forEach { platform.reboot(it.id, requestId = "${it.id}-${it.epoch}") }
    }

    /** Reads rows before entries, so that an entry that may have read an older row is among those asked to confirm. */
    private fun refresh(): Boolean {
        val areRead =
            readChanges(INSTANCE_PREFIX) { row -> decodeInstanceRow(row).let { rows[it.id] = Revised(it, row.revision) } } &&
                readChanges(ENTRY_PREFIX) { row -> decodeEntryRow(row).let { entries[it.id] = it } } &&
                readChanges(WAVE_PREFIX) { row -> decodeWave(row).let { waves[it.name] = Revised(it, row.revision) } } &&
                readChanges(BUDGET_PREFIX) { row -> decodeBudget(row).let { budgets[it.pool] = Revised(it, row.revision) } }
        if (!areRead) return false
        val page = (platform.instances(listRevision) as? PlatformResult.Ok ?: return false).value
        listRevision = page.revision
        page.instances.forEach { listed[it.id] = it }
        return true
    }

    private fun readChanges(
        prefix: String,
        take: (Row) -> Unit,
    ): Boolean {
        val seen = seenRevisions[prefix] ?: 0
        val changed = (platform.scan(prefix, seen) as? PlatformResult.Ok ?: return false).value
        changed.forEach(take)
        seenRevisions[prefix] = changed.maxOfOrNull { it.revision } ?: seen
        return true
    }
}
