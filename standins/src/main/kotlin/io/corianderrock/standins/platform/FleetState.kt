/*
 * The true fleet and the lagging list of it.
 */
package io.corianderrock.standins.platform

import io.corianderrock.state.ListedInstance
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Keeps the true state of instances; [show] receives each change [lagMs] late, and none while [isStale]. */
public class FleetState(
    private val lagMs: Long,
    private val show: (List<ListedInstance>) -> Unit,
    private val restart: (ListedInstance) -> Unit,
) : AutoCloseable {
    private val timer = Executors.newSingleThreadScheduledExecutor { task -> Thread(task, "fleet-list").apply { isDaemon = true } }
    private val lock = Any()
    private val actual = LinkedHashMap<String, ListedInstance>()

    /** Keeps the list as it is while true. */
    @Volatile
    public var isStale: Boolean = false

    /** Adds or replaces instances and shows them at once, as at the start of a fleet. */
    public fun install(instances: List<ListedInstance>) {
        synchronized(lock) { instances.forEach { actual[it.id] = it } }
        show(instances)
    }

    /** Changes one instance; the list shows it after the lag. */
    public fun set(instance: ListedInstance) {
        synchronized(lock) { actual[instance.id] = instance }
        showLater(instance.id)
    }

    /** Returns the true state of instance [id], or null when there is none. */
    public fun actual(id: String): ListedInstance? = synchronized(lock) { actual[id] }

    /** Reboots instance [id] and counts the boot. */
    public fun reboot(id: String) {
        val current = actual(id) ?: return
        restart(current)
        set(current.copy(bootCount = current.bootCount + 1))
    }

    override fun close() {
        timer.shutdownNow()
    }

    private fun showLater(id: String) {
        timer.schedule({ showUnlessStale(id) }, lagMs, TimeUnit.MILLISECONDS)
    }

    private fun showUnlessStale(id: String) {
        if (isStale) return showLater(id)
        actual(id)?.let { show(listOf(it)) }
    }
}
