/*
 * An atomic reference to the latest version of an immutable snapshot.
 */
package io.corianderrock.state

import java.util.concurrent.atomic.AtomicReference

/**
 * Holds the published snapshot with the highest version, as given by [versionOf]. Readers never observe a decreasing
 * version. All functions are lock-free and may be called from any thread.
 */
public class VersionedReference<T : Any>(
    initial: T,
    private val versionOf: (T) -> Long,
) {
    private val current = AtomicReference(initial)

    public fun get(): T = current.get()

    /** Publishes [next] if its version is higher than the current one, and returns whether it was published. */
    public fun publishIfNewer(next: T): Boolean {
        while (true) {
            val previous = current.get()
            if (versionOf(next) <= versionOf(previous)) return false
            if (current.compareAndSet(previous, next)) return true
        }
    }
}
