/*
 * The actual state of the simulated fleet and its delayed publication.
 */
package io.corianderrock.standins.platform

import io.corianderrock.state.ListedInstance
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/**
 * Holds the actual state of instances. Each change is passed to [publish] after [lagMs], and not while [isStale].
 * [publish] is called on the scheduler thread or, from [install], on the caller's thread.
 */
public class FleetState(
    private val lagMs: Long,
    private val publish: (List<ListedInstance>) -> Unit,
    private val restart: (ListedInstance) -> Unit,
) : AutoCloseable {
    private val scheduler = Executors.newSingleThreadScheduledExecutor { task -> Thread(task, "fleet-list").apply { isDaemon = true } }
    private val lock = Any()
    private val actual = LinkedHashMap<String, ListedInstance>()

    /** While true, the published list is left unchanged; pending changes are retried every [lagMs]. */
    @Volatile
    public var isStale: Boolean = false

    /** Adds or replaces instances and publishes them without delay, as at the start of a fleet. */
    public fun install(instances: List<ListedInstance>) {
        synchronized(lock) { instances.forEach { actual[it.id] = it } }
        publish(instances)
    }

    /** Adds or replaces one instance and publishes it after the delay. */
    public fun set(instance: ListedInstance) {
        synchronized(lock) { actual[instance.id] = instance }
        schedulePublish(instance.id)
    }

    /** The actual state of instance [id], or null when there is none. */
    public fun actual(id: String): ListedInstance? = synchronized(lock) { actual[id] }

    /** Restarts instance [id] and increments its boot count. Does nothing when there is no such instance. */
    public fun reboot(id: String) {
        val current = actual(id) ?: return
        restart(current)
        set(current.copy(bootCount = current.bootCount + 1))
    }

    override fun close() {
        scheduler.shutdownNow()
    }

    private fun schedulePublish(id: String) {
        scheduler.schedule({ publishUnlessStale(id) }, lagMs, TimeUnit.MILLISECONDS)
    }

    private fun publishUnlessStale(id: String) {
        if (isStale) return schedulePublish(id)
        actual(id)?.let { publish(listOf(it)) }
    }
}
