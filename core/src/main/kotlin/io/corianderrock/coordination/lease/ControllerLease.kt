/*
 * The lease that elects the controller: one entry at a time reconciles the fleet, and each of its writes carries a fence.
 */
package io.corianderrock.coordination.lease

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.Precondition
import io.corianderrock.coordination.TableService
import io.corianderrock.coordination.Transaction
import io.corianderrock.coordination.Write
import io.corianderrock.coordination.monotonicMs
import io.corianderrock.coordination.transactExactlyOnce
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The row that names the [holder] and its fencing [token]. Written only when the holder changes, so that its revision is the fence. */
@Serializable
public data class LeaseTerm(
    val holder: String,
    val token: Long,
)

@Serializable
internal data class LeaseHeartbeat(
    val token: Long,
    val count: Long,
    val isReleased: Boolean = false,
)

/** A held lease. Every write under it carries the precondition [fence], which fails after a takeover. */
public data class HeldLease(
    val token: Long,
    val fence: Precondition,
)

/**
 * Acquires and renews the lease [name] for [instanceId]. Clocks of instances are never compared: a contender takes over when it
 * has seen no heartbeat for [durationMs] of its own monotonic clock, and the holder stops acting two thirds of [durationMs]
 * after its last renewal. Not thread-safe.
 */
public class ControllerLease(
    private val table: TableService,
    private val clock: Clock,
    private val instanceId: String,
    private val name: String = "controller",
    private val durationMs: Long = 3_000,
    private val newId: () -> String,
) {
    private val json = Json
    private var held: HeldLease? = null
    private var renewedAtMs = 0L
    private var heartbeatCount = 0L
    private var lastHeartbeatRevision = -1L
    private var lastHeartbeatSeenAtMs = 0L

    /** The held lease, or null if this instance may not act under it any more. */
    public fun current(): HeldLease? =
        held?.takeIf { clock.monotonicMs() - renewedAtMs < durationMs * HOLDER_VALIDITY_NUMERATOR / HOLDER_VALIDITY_DENOMINATOR }

    /** Renews the held lease, or takes it over if its holder is silent. To be called every quarter of the duration. */
    public fun renewOrAcquire(): HeldLease? {
        val lease = held
        return if (lease != null) renew(lease) else tryAcquire()
    }

    /** Releases the lease, so that another entry can acquire it without waiting for its expiry. */
    public fun release() {
        val lease = held ?: return
        held = null
        write(lease, LeaseHeartbeat(lease.token, heartbeatCount + 1, isReleased = true))
    }

    private fun renew(lease: HeldLease): HeldLease? {
        val startedMs = clock.monotonicMs()
        heartbeatCount += 1
        when (write(lease, LeaseHeartbeat(lease.token, heartbeatCount))) {
            is PlatformResult.Ok -> renewedAtMs = startedMs
            is PlatformResult.Conflict -> held = null
            is PlatformResult.Failed -> Unit
        }
        if (current() == null) held = null
        return current()
    }

    private fun write(
        lease: HeldLease,
        heartbeat: LeaseHeartbeat,
    ): PlatformResult<Long> =
        table.transactExactlyOnce(
            Transaction(
                id = newId(),
                preconditions = listOf(lease.fence),
                writes = listOf(Write(heartbeatKey(), json.encodeToString(LeaseHeartbeat.serializer(), heartbeat))),
            ),
            attempts = 1,
        )

    private fun tryAcquire(): HeldLease? {
        val nowMs = clock.monotonicMs()
        val heartbeatRow = (table.read(heartbeatKey()) as? PlatformResult.Ok ?: return null).value
        val termRow = (table.read(termKey()) as? PlatformResult.Ok ?: return null).value
        val revision = heartbeatRow?.revision ?: 0
        if (revision != lastHeartbeatRevision) {
            lastHeartbeatRevision = revision
            lastHeartbeatSeenAtMs = nowMs
        }
        val heartbeat = heartbeatRow?.let { json.decodeFromString(LeaseHeartbeat.serializer(), it.value) }
        val isAvailable = heartbeat == null || heartbeat.isReleased || nowMs - lastHeartbeatSeenAtMs >= durationMs
        if (!isAvailable) return null
        return takeOver(nowMs, termRow?.revision ?: 0, revision, (heartbeat?.token ?: 0) + 1)
    }

    private fun takeOver(
        nowMs: Long,
        termRevision: Long,
        heartbeatRevision: Long,
        token: Long,
    ): HeldLease? {
        val term = LeaseTerm(instanceId, token)
        val transaction =
            Transaction(
                id = newId(),
                preconditions = listOf(Precondition(termKey(), termRevision), Precondition(heartbeatKey(), heartbeatRevision)),
                writes =
                    listOf(
                        Write(termKey(), json.encodeToString(LeaseTerm.serializer(), term)),
                        Write(heartbeatKey(), json.encodeToString(LeaseHeartbeat.serializer(), LeaseHeartbeat(token, count = 0))),
                    ),
            )
        val committed = table.transactExactlyOnce(transaction) as? PlatformResult.Ok ?: return null
        held = HeldLease(token, Precondition(termKey(), committed.value))
        renewedAtMs = nowMs
        heartbeatCount = 0
        lastHeartbeatRevision = -1
        return current()
    }

    private fun termKey(): String = "lease/$name/term"

    private fun heartbeatKey(): String = "lease/$name/beat"

    private companion object {
        const val HOLDER_VALIDITY_NUMERATOR = 2
        const val HOLDER_VALIDITY_DENOMINATOR = 3
    }
}
