/*
 * Keeps the entry's view of configuration and fleet up to date from the platform, and routes by it.
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

/** The newest known configuration and fleet of one data centre. Updates are serialized; readers take no lock. */
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
    private var rowRevision = 0L
    private var entryRevision = 0L
    private var listRevision = 0L

    @Volatile
    private var lastContactMs = Long.MIN_VALUE

    /** The configuration in force; its version is 0 before the first. */
    public val configuration: Configuration get() = configurationReference.get()

    /** The fleet of this data centre as last seen. */
    public val fleet: FleetView get() = fleetReference.get()

    /** The entries of all data centres that have not left and that the platform does not call gone. */
    public val entries: Collection<EntryRow>
        get() = entriesReference.get().values.filter { !it.hasLeft && fleet.listed[it.id]?.state != ListedState.GONE }

    /** The time since the platform last answered, in milliseconds; [Long.MAX_VALUE] before the first answer. */
    public val platformAgeMs: Long
        get() = if (lastContactMs == Long.MIN_VALUE) Long.MAX_VALUE else clock.monotonicMs() - lastContactMs

    /** The workers that an observation in force calls leaving. */
    public fun leavingWorkers(): Set<String> = fleet.leavingWorkers(clock.wallMs())

    /** Returns when the platform says that [instance] ended, as wall-clock time, or null while it may be alive. */
    public fun endedAtMs(instance: String): Long? {
        val listed = fleet.listed[instance] ?: return null
        if (listed.state != ListedState.GONE) return null
        return if (listed.goneAtMs > 0) listed.goneAtMs else clock.wallMs()
    }

    /** Reads everything that changed since the last call. Returns false when the platform did not answer. */
    @Synchronized
    public fun poll(): Boolean {
        val isReached = pollConfiguration() && pollRows() && pollList() && pollEntries()
        if (isReached) lastContactMs = clock.monotonicMs()
        route()
        return isReached
    }

    /** Takes a configuration learnt from the platform or a peer, unless a newer one is in force. */
    public fun offer(configuration: Configuration): Boolean {
        val isNewer = configurationReference.publishIfNewer(configuration)
        if (isNewer) {
            log.info("configuration-in-force", "version" eq configuration.version, "change" eq configuration.changeId)
            route()
            onNewConfiguration(configuration)
        }
        return isNewer
    }

    /** Takes an observation of a worker, unless a newer one of the same observer is known. */
    public fun observe(observation: WorkerObservation): Boolean {
        val key = observation.worker + "/" + observation.observer
        val before = fleetReference.getAndUpdate { view -> merged(view, key, observation) }
        val isNews = (before.observations[key]?.version ?: -1) < observation.version
        if (isNews) route()
        return isNews
    }

    /** Recomputes the routing table, also to let expired observations lapse. */
    @Synchronized
    public fun route() {
        val current = configuration
        if (current.version == 0L) return
        val table = buildRoutingTable(current, fleet, dataCentre, clock.wallMs())
        directory.update(table, current.declarations.teams)
    }

    private fun merged(
        view: FleetView,
        key: String,
        observation: WorkerObservation,
    ): FleetView {
        val known = view.observations[key]
        if (known != null && known.version >= observation.version) return view
        val fresh = view.observations.filterValues { it.expiresAtMs > clock.wallMs() }
        return view.copy(observations = fresh + (key to observation))
    }

    private fun pollConfiguration(): Boolean {
        val pointer = (expect(store.readPointer()) ?: return false).value ?: return true
        if (pointer.version <= configuration.version) return true
        val loaded = expect(store.load(pointer)) ?: return false
        offer(loaded.value)
        return true
    }

    private fun pollRows(): Boolean {
        val rows = (expect(platform.scan(instancePrefix(dataCentre), rowRevision)) ?: return false).value
        if (rows.isEmpty()) return true
        rowRevision = rows.maxOf { it.revision }
        val changed = rows.map(::decodeInstanceRow).associateBy { it.id }
        fleetReference.updateAndGet { it.copy(rows = it.rows + changed) }
        return true
    }

    private fun pollList(): Boolean {
        val page = (expect(platform.instances(listRevision)) ?: return false).value
        listRevision = page.revision
        if (page.instances.isEmpty()) return true
        val changed = page.instances.filter { it.dataCentre == dataCentre || it.role == InstanceRole.ENTRY }
        fleetReference.updateAndGet { view -> view.copy(listed = view.listed + changed.associateBy { it.id }) }
        return true
    }

    private fun pollEntries(): Boolean {
        val rows = (expect(platform.scan(ENTRY_PREFIX, entryRevision)) ?: return false).value
        if (rows.isEmpty()) return true
        entryRevision = rows.maxOf { it.revision }
        val changed = rows.map(::decodeEntryRow).associateBy { it.id }
        entriesReference.updateAndGet { it + changed }
        return true
    }

    private fun <T> expect(result: PlatformResult<T>): PlatformResult.Ok<T>? {
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
