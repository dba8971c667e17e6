/*
 * The lease under which one entry at a time does control work, with a fencing precondition for every write.
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

/** The term of a lease: who holds it, under which fencing [token]. Written only when the holder changes. */
@Serializable
public data class LeaseTerm(
    val holder: String,
    val token: Long,
)

@Serializable
internal data class LeaseBeat(
    val token: Long,
    val count: Long,
    val isReleased: Boolean = false,
)

/** A held lease. Every write under it carries [fence], which fails once another holder has taken over. */
public data class HeldLease(
    val token: Long,
    val fence: Precondition,
)

/**
 * Competes for the lease called [name]. No clocks are compared between instances: a contender takes over after it has
 * seen no renewal for [durationMs] of its own time, and the holder stops earlier, at two thirds of it. Not thread-safe.
 */
public class ControllerLease(
    private val table: TableService,
    private val clock: Clock,
    private val self: String,
    private val name: String = "controller",
    private val durationMs: Long = 3_000,
    private val newId: () -> String,
) {
    private val json = Json
    private var held: HeldLease? = null
    private var renewedAtMs = 0L
    private var beatCount = 0L
    private var seenBeatRevision = -1L
    private var seenAtMs = 0L

    /** Returns the lease if this instance may still act under it. */
    public fun current(): HeldLease? = held?.takeIf { clock.monotonicMs() - renewedAtMs < durationMs * HOLDER_SHARE_NUM / HOLDER_SHARE_DEN }

    /** Renews the lease, or takes it over when its holder is silent. Call every quarter of the duration. */
    public fun tick(): HeldLease? {
        val lease = held
        return if (lease != null) renew(lease) else contend()
    }

    /** Gives the lease back, so that another entry may take it at once. */
    public fun release() {
        val lease = held ?: return
        held = null
        write(lease, LeaseBeat(lease.token, beatCount + 1, isReleased = true))
    }

    private fun renew(lease: HeldLease): HeldLease? {
        val startedMs = clock.monotonicMs()
        beatCount += 1
        when (write(lease, LeaseBeat(lease.token, beatCount))) {
            is PlatformResult.Ok -> renewedAtMs = startedMs
            is PlatformResult.Conflict -> held = null
            is PlatformResult.Failed -> Unit
        }
        if (current() == null) held = null
        return current()
    }

    private fun write(
        lease: HeldLease,
        beat: LeaseBeat,
    ): PlatformResult<Long> =
        table.transactExactlyOnce(
            Transaction(
                id = newId(),
                preconditions = listOf(lease.fence),
                writes = listOf(Write(beatKey(), json.encodeToString(LeaseBeat.serializer(), beat))),
            ),
            attempts = 1,
        )

    private fun contend(): HeldLease? {
        val nowMs = clock.monotonicMs()
        val beatRow = (table.read(beatKey()) as? PlatformResult.Ok ?: return null).value
        val termRow = (table.read(termKey()) as? PlatformResult.Ok ?: return null).value
        val revision = beatRow?.revision ?: 0
        if (revision != seenBeatRevision) {
            seenBeatRevision = revision
            seenAtMs = nowMs
        }
        val beat = beatRow?.let { json.decodeFromString(LeaseBeat.serializer(), it.value) }
        val isFree = beat == null || beat.isReleased || nowMs - seenAtMs >= durationMs
        if (!isFree) return null
        return takeOver(nowMs, termRow?.revision ?: 0, revision, (beat?.token ?: 0) + 1)
    }

    private fun takeOver(
        nowMs: Long,
        termRevision: Long,
        beatRevision: Long,
        token: Long,
    ): HeldLease? {
        val term = LeaseTerm(self, token)
        val transaction =
            Transaction(
                id = newId(),
                preconditions = listOf(Precondition(termKey(), termRevision), Precondition(beatKey(), beatRevision)),
                writes =
                    listOf(
                        Write(termKey(), json.encodeToString(LeaseTerm.serializer(), term)),
                        Write(beatKey(), json.encodeToString(LeaseBeat.serializer(), LeaseBeat(token, count = 0))),
                    ),
            )
        val committed = table.transactExactlyOnce(transaction) as? PlatformResult.Ok ?: return null
        held = HeldLease(token, Precondition(termKey(), committed.value))
        renewedAtMs = nowMs
        beatCount = 0
        seenBeatRevision = -1
        return current()
    }

    private fun termKey(): String = "lease/$name/term"

    private fun beatKey(): String = "lease/$name/beat"

    private companion object {
        const val HOLDER_SHARE_NUM = 2
        const val HOLDER_SHARE_DEN = 3
    }
}
