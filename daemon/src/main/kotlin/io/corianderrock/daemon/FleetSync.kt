/*
 * Polls the platform for changes of the configuration and the fleet, and rebuilds the routing table from them.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.Platform
import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.configuration.ConfigurationStore
import io.corianderrock.coordination.fleet.ENTRY_PREFIX
import io.corianderrock.coordination.fleet.EntryRow
import io.corianderrock.coordination.fleet.decodeEntryRow
import io.corianderrock.coordination.fleet.decodeInstanceRow
import io.corianderrock.coordination.fleet.instancePrefix
import io.corianderrock.coordination.monotonicMs
import io.corianderrock.coordination.request.ServiceDirectory
import io.corianderrock.state.Configuration
import io.corianderrock.state.Declarations
import io.corianderrock.state.FleetView
import io.corianderrock.state.InstanceRole
import io.corianderrock.state.ListedState
import io.corianderrock.state.VersionedReference
import io.corianderrock.state.WorkerObservation
import io.corianderrock.state.buildRoutingTable
import io.corianderrock.transport.EventLog
import io.corianderrock.transport.eq
import java.util.concurrent.atomic.AtomicReference

/**
 * The newest configuration and fleet view of one data centre. Polls and updates of the routing table hold the lock of this object;
 * readers take none.
 */
public class FleetSync(
    private val platform: Platform,
    private val store: ConfigurationStore,
    private val directory: ServiceDirectory,
    private val clock: Clock,
    private val dataCentre: String,
    private val onPlatformFailure: (String) -> Unit,
    private val onNewConfiguration: (Configuration) -> Unit = {},
) {
    private val log = EventLog("sync")
    private val configurationReference = VersionedReference(NO_CONFIGURATION) { it.version }
    private val fleetReference = AtomicReference(FleetView())
    private val entriesReference = AtomicReference<Map<String, EntryRow>>(emptyMap())
    private var instanceRowRevision = 0L
    private var entryRowRevision = 0L
    private var instanceListRevision = 0L

    @Volatile
    private var lastCompletePollMs = Long.MIN_VALUE

    /** The configuration in force; version 0 until one is loaded. */
    public val configuration: Configuration get() = configurationReference.get()

    /** The fleet of this data centre, and the listed entries of all, as of the last poll. */
    public val fleet: FleetView get() = fleetReference.get()

    /** The entries of all data centres, without those that have left and those that the platform lists as gone. */
    public val entries: Collection<EntryRow>
        get() = entriesReference.get().values.filter { !it.hasLeft && fleet.listed[it.id]?.state != ListedState.GONE }

    /** Milliseconds since the last complete poll of the platform; [Long.MAX_VALUE] before the first. */
    public val platformAgeMs: Long
        get() = if (lastCompletePollMs == Long.MIN_VALUE) Long.MAX_VALUE else clock.monotonicMs() - lastCompletePollMs

    /** The workers that an unexpired observation reports as leaving. */
    public fun leavingWorkers(): Set<String> = fleet.leavingWorkers(clock.wallMs())

    /**
     * Wall-clock time since which the platform lists [instance] as gone, in milliseconds: the current time if the list
     * gives none, null while the instance may be alive.
     */
    public fun goneSinceMs(instance: String): Long? {
        val listed = fleet.listed[instance] ?: return null
        if (listed.state != ListedState.GONE) return null
        return if (listed.goneAtMs > 0) listed.goneAtMs else clock.wallMs()
    }

    /** Reads all changes since the last call. Returns false if a call to the platform failed. */
    @Synchronized
    public fun poll(): Boolean {
        val isComplete = pollConfiguration() && pollInstanceRows() && pollInstanceList() && pollEntryRows()
        if (isComplete) lastCompletePollMs = clock.monotonicMs()
        updateRoutingTable()
        return isComplete
    }

    /** Puts a configuration from the platform or a peer in force if it is newer; returns whether it was. */
    public fun offer(configuration: Configuration): Boolean {
        val isNewer = configurationReference.publishIfNewer(configuration)
        if (isNewer) {
            log.info("configuration-in-force", "version" eq configuration.version, "change" eq configuration.changeId)
            updateRoutingTable()
            onNewConfiguration(configuration)
        }
        return isNewer
    }

    /** Records an observation if it is newer than the last one of the same worker and observer; returns whether it was. */
    public fun observe(observation: WorkerObservation): Boolean {
        val key = observation.worker + "/" + observation.observer
        val before = fleetReference.getAndUpdate { view -> withObservation(view, key, observation) }
        val isNewer = (before.observations[key]?.version ?: -1) < observation.version
        if (isNewer) updateRoutingTable()
        return isNewer
    }

    /** Rebuilds the routing table; also called when nothing has changed, so that expired observations lose effect. */
    @Synchronized
    public fun updateRoutingTable() {
        val current = configuration
        if (current.version == 0L) return
        val table = buildRoutingTable(current, fleet, dataCentre, clock.wallMs())
        directory.update(table, current.declarations.teams)
    }

    private fun withObservation(
        view: FleetView,
        key: String,
        observation: WorkerObservation,
    ): FleetView {
        val previous = view.observations[key]
        if (previous != null && previous.version >= observation.version) return view
        val unexpired = view.observations.filterValues { it.expiresAtMs > clock.wallMs() }
        return view.copy(observations = unexpired + (key to observation))
    }

    private fun pollConfiguration(): Boolean {
        val pointer = (okOrLogFailure(store.readPointer()) ?: return false).value ?: return true
        if (pointer.version <= configuration.version) return true
        val loaded = okOrLogFailure(store.load(pointer)) ?: return false
        offer(loaded.value)
        return true
    }

    private fun pollInstanceRows(): Boolean {
        val rows = (okOrLogFailure(platform.scan(instancePrefix(dataCentre), instanceRowRevision)) ?: return false).value
        if (rows.isEmpty()) return true
        instanceRowRevision = rows.maxOf { it.revision }
        val changed = rows.map(::decodeInstanceRow).associateBy { it.id }
        fleetReference.updateAndGet { it.copy(rows = it.rows + changed) }
        return true
    }

    private fun pollInstanceList(): Boolean {
        val page = (okOrLogFailure(platform.instances(instanceListRevision)) ?: return false).value
        instanceListRevision = page.revision
        if (page.instances.isEmpty()) return true
        val changed = page.instances.filter { it.dataCentre == dataCentre || it.role == InstanceRole.ENTRY }
        fleetReference.updateAndGet { view -> view.copy(listed = view.listed + changed.associateBy { it.id }) }
        return true
    }

    private fun pollEntryRows(): Boolean {
        val rows = (okOrLogFailure(platform.scan(ENTRY_PREFIX, entryRowRevision)) ?: return false).value
        if (rows.isEmpty()) return true
        entryRowRevision = rows.maxOf { it.revision }
        val changed = rows.map(::decodeEntryRow).associateBy { it.id }
        entriesReference.updateAndGet { it + changed }
        return true
    }

    private fun <T> okOrLogFailure(result: PlatformResult<T>): PlatformResult.Ok<T>? {
        if (result is PlatformResult.Ok) return result
        if (result is PlatformResult.Failed) {
            onPlatformFailure(result.step)
            log.warn("platform-unreachable", "step" eq result.step, "peer" eq result.peer, "reason" eq result.reason)
        }
        return null
    }

    private companion object {
        val NO_CONFIGURATION = Configuration(version = 0, blob = "", changeId = "", author = "", declarations = Declarations())
    }
}
