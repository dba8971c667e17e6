/*
 * The source of time, an interface so that tests can control it.
 */
package io.corianderrock.coordination

/** A source of time. Thread-safe. */
public interface Clock {
    /** Monotonic time in nanoseconds; only differences have a meaning. */
    public fun monotonicNs(): Long

    /** Wall-clock time in milliseconds since the Unix epoch; may jump in either direction. */
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
