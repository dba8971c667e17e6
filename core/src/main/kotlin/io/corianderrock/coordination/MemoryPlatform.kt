/*
 * An in-memory platform: the state behind the platform stand-in process, and the fake of unit tests.
 */
package io.corianderrock.coordination

import io.corianderrock.state.ListedInstance
import java.util.TreeMap

/** Implements all platform services on maps under one lock. Thread-safe; [onReboot] is called once per request id, without the lock. */
public class MemoryPlatform(
    private val onReboot: (String) -> Unit = {},
) : Platform {
    private val lock = Any()
    private val rows = TreeMap<String, Row>()
    private val objects = HashMap<String, String>()
    private val rebootRequests = HashSet<String>()
    private var revision = 0L
    private val listed = LinkedHashMap<String, PublishedInstance>()
    private var listRevision = 0L

    override fun read(key: String): PlatformResult<Row?> = synchronized(lock) { PlatformResult.Ok(rows[key]) }

    override fun scan(
        prefix: String,
        sinceRevision: Long,
    ): PlatformResult<List<Row>> =
        synchronized(lock) {
            val matching = rows.tailMap(prefix).values.takeWhile { it.key.startsWith(prefix) }
            PlatformResult.Ok(matching.filter { it.revision > sinceRevision })
        }

    override fun transact(transaction: Transaction): PlatformResult<Long> =
        synchronized(lock) {
            val violated = transaction.preconditions.firstOrNull { (rows[it.key]?.revision ?: 0) != it.revision }
            if (violated != null) {
                PlatformResult.Conflict(violated.key, rows[violated.key]?.revision ?: 0)
            } else {
                revision += 1
                transaction.writes.forEach(::applyWrite)
                PlatformResult.Ok(revision)
            }
        }

    override fun putIfAbsent(
        key: String,
        content: String,
    ): PlatformResult<Boolean> = synchronized(lock) { PlatformResult.Ok(objects.putIfAbsent(key, content) == null) }

    override fun fetch(key: String): PlatformResult<String?> = synchronized(lock) { PlatformResult.Ok(objects[key]) }

    override fun instances(sinceRevision: Long): PlatformResult<InstanceListPage> =
        synchronized(lock) {
            val changed = listed.values.filter { it.revision > sinceRevision }.map { it.instance }
            PlatformResult.Ok(InstanceListPage(listRevision, changed))
        }

    override fun reboot(
        instanceId: String,
        requestId: String,
    ): PlatformResult<Unit> {
        val isNew = synchronized(lock) { rebootRequests.add(requestId) }
        if (isNew) onReboot(instanceId)
        return PlatformResult.Ok(Unit)
    }

    /** Publishes the state of [instances] in the list. The real list lags behind the fleet; here, the caller decides when it catches up. */
    public fun publishInstances(instances: List<ListedInstance>) {
        synchronized(lock) {
            listRevision += 1
            instances.forEach { listed[it.id] = PublishedInstance(it, listRevision) }
        }
    }

    private class PublishedInstance(
        val instance: ListedInstance,
        val revision: Long,
    )

    private fun applyWrite(write: Write) {
        val value = write.value
        if (value == null) {
            rows.remove(write.key)
        } else {
            rows[write.key] = Row(write.key, value, revision)
        }
    }
}
