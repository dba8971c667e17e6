/*
 * Connections to the owners of claim ranges. They are opened and used ahead of the first claim: on a busy machine, connecting and the
 * first call take longer than a claim may wait, and the first keyed requests would be refused.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.claim.ClaimRangeRow
import io.corianderrock.coordination.monotonicMs

/**
 * Keeps connections to the owners in [ranges] open. [connect] opens the connection to an entry if it has none, and returns true
 * once a call over it has been answered. [tick] is called by one thread, and blocks for such calls. Until this entry is ready it also
 * connects to those of [entries] that own no range yet, so that it does not begin only when the ranges have their owners.
 */
public class ClaimOwnerConnections(
    private val clock: Clock,
    private val selfInstance: String,
    private val ranges: () -> Collection<ClaimRangeRow>,
    private val entries: () -> Collection<String>,
    private val connect: (String) -> Boolean,
) {
    private var waitingSinceMs = clock.monotonicMs()
    private var hasKnownOwner = false

    /**
     * True once every owner was connected at the same time, and in any case [START_LIMIT_MS] after the first owner became known, or
     * after the start while none is: an owner that cannot be reached must not keep this entry from serving requests without keys.
     * Readable from any thread.
     */
    @Volatile
    public var haveBeenReady: Boolean = false
        private set

    /** Opens the connections that are missing. */
    public fun tick() {
        val known = ranges().map { it.ownerInstance }.filterTo(HashSet()) { it.isNotEmpty() }
        if (known.isNotEmpty() && !hasKnownOwner) {
            hasKnownOwner = true
            waitingSinceMs = clock.monotonicMs()
        }
        // Every owner is asked for, also after one that is not connected.
        val missingCount = known.count { it != selfInstance && !connect(it) }
        val isConnected = known.isNotEmpty() && missingCount == 0
        if (!haveBeenReady) entries().forEach { if (it != selfInstance && it !in known) connect(it) }
        if (isConnected || clock.monotonicMs() - waitingSinceMs >= START_LIMIT_MS) haveBeenReady = true
    }

    public companion object {
        /** Longest delay of the readiness of a starting entry: several times a connection on a busy machine, which takes 0.6 s. */
        public const val START_LIMIT_MS: Long = 3_000
    }
}
