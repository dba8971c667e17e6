/*
 * The single thread that owns all scheduling state. Everything that arrives from outside is posted to it.
 */
package io.corianderrock.jobs.ports

/** Runs actions one after another and supplies time. */
public interface EventLoop {
    /** Monotonic milliseconds; only differences have a meaning. */
    public val nowMs: Long

    /** Milliseconds since the epoch; may step. */
    public val wallMs: Long

    /** Runs [action] after what is already queued. Callable from any thread. */
    public fun post(action: () -> Unit)

    /** Runs [action] in [delayMs]. */
    public fun after(
        delayMs: Long,
        action: () -> Unit,
    )
}

/** Writes one structured log line for each decision. */
public fun interface DecisionLog {
    /** Logs [event] with [fields], given as key and value in turn. */
    public fun write(
        event: String,
        vararg fields: Any?,
    )
}
