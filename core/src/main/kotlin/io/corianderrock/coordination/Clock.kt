/*
 * Time as the decisions see it. Tests hand in a clock that they move by hand.
 */
package io.corianderrock.coordination

/** A source of time. */
public interface Clock {
    /** Monotonic time in nanoseconds; only differences have a meaning. */
    public fun monotonicNs(): Long

    /** Wall-clock time in milliseconds since the epoch; may step. */
    public fun wallMs(): Long

    public companion object {
        /** The clock of this process. */
        public val SYSTEM: Clock =
            object : Clock {
                override fun monotonicNs(): Long = System.nanoTime()

                override fun wallMs(): Long = System.currentTimeMillis()
            }
    }
}

/** Nanoseconds in a millisecond. */
public const val NS_PER_MS: Long = 1_000_000

/** Monotonic time in milliseconds. */
public fun Clock.monotonicMs(): Long = monotonicNs() / NS_PER_MS
