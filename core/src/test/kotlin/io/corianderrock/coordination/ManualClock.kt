/*
 * A clock that only the test advances. Monotonic and wall-clock time are equal.
 */
package io.corianderrock.coordination

import java.util.concurrent.atomic.AtomicLong

internal class ManualClock : Clock {
    private val now = AtomicLong(1_000_000_000)

    override fun monotonicNs(): Long = now.get()

    override fun wallMs(): Long = now.get() / NS_PER_MS

    fun advanceMs(ms: Long) {
        now.addAndGet(ms * NS_PER_MS)
    }
}
