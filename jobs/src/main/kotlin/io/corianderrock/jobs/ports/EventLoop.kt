/*
 * The single thread to which all scheduling state is confined. Input from other threads is posted to it.
 */
package io.corianderrock.jobs.ports

/** Runs actions sequentially and provides the time. */
public interface EventLoop {
    /** Monotonic time in milliseconds with an arbitrary origin. */
    public val nowMs: Long

    /** Wall-clock time in milliseconds since the Unix epoch; may jump. */
    public val wallMs: Long

    /** Queues [action] behind all pending actions. May be called from any thread. */
    public fun post(action: () -> Unit)

    /** Runs [action] after [delayMs] milliseconds. */
    public fun after(
        delayMs: Long,
        action: () -> Unit,
    )
}

/** Writes one structured log line for each decision. */
public fun interface DecisionLog {
    /** Logs [event] with [fields], given as alternating keys and values. */
    public fun write(
        event: String,
        vararg fields: Any?,
    )
}
