/*
 * A monotonic atomic reference. Writers publish whole snapshots; readers never see a version step back.
 */
package io.corianderrock.state

import java.util.concurrent.atomic.AtomicReference

/** Holds the newest snapshot of [T] by the version that [versionOf] reads from it. */
public class VersionedReference<T : Any>(
    initial: T,
    private val versionOf: (T) -> Long,
) {
    private val current = AtomicReference(initial)

    /** Returns the newest published snapshot without taking a lock. */
    public fun get(): T = current.get()

    /** Publishes [next] if its version is higher than the current one. Returns false when it is not. */
    public fun publishIfNewer(next: T): Boolean {
        while (true) {
            val seen = current.get()
            if (versionOf(next) <= versionOf(seen)) return false
            if (current.compareAndSet(seen, next)) return true
        }
    }
}
