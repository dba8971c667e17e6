/*
 * The platform's services for instances: listing, moves and maintenance, and placement advice.
 */
package io.corianderrock.jobs.ports

import io.corianderrock.jobs.state.Demand

/** [UNKNOWN] is a state that this version does not know; nothing follows from it. */
public enum class InstanceState { UP, MOVING, MAINTENANCE, DOWN, UNKNOWN }

/** An instance as listed by the platform. [workerId] is its current worker, if any. */
public data class Instance(
    val id: String,
    val pool: String,
    val state: InstanceState,
    val dataCentre: String,
    val labels: List<String>,
    val capacity: Demand,
    val workerId: String?,
)

/** The answer to a move or maintenance order. */
public sealed interface InstanceOrderAnswer {
    /** The order was carried out, now or by an earlier call. */
    public data object Accepted : InstanceOrderAnswer

    /** The order was not and will not be carried out. */
    public data class Refused(
        val reason: String,
    ) : InstanceOrderAnswer

    /** No usable answer; the order may have been carried out or may still be. */
    public data class Unanswered(
        val reason: String,
    ) : InstanceOrderAnswer
}

/**
 * Lists instances and orders moves and maintenance. Both orders immediately end all runs on the instance. Results are
 * delivered on the event loop.
 */
public interface InstanceService {
    /** Lists all instances; [onResult] gets null when the list could not be read. */
    public fun list(onResult: (List<Instance>?) -> Unit)

    /** Moves an instance to [pool]. [token] is a fencing token and never decreases. */
    public fun move(
        instanceId: String,
        pool: String,
        token: Long,
        onAnswer: (InstanceOrderAnswer) -> Unit,
    )

    /** Starts maintenance of an instance in wave [waveNumber]. [token] is a fencing token and never decreases. */
    public fun maintain(
        instanceId: String,
        waveNumber: Int,
        token: Long,
        onAnswer: (InstanceOrderAnswer) -> Unit,
    )
}

/** Permits running a step on [workerId]; [ticket] is sent with the start order. */
public data class Ticket(
    val workerId: String,
    val ticket: String,
)

/**
 * Answer of the advice service. [granted] is null when the call failed, for the reason in [failure]; tickets are valid for
 * [validForMs] milliseconds.
 */
public data class AdviceAnswer(
    val granted: List<Ticket>?,
    val validForMs: Long,
    val failure: String? = null,
)

/** Decides which workers may run a step. */
public fun interface AdviceService {
    /** Asks which of [workerIds] may run [step] of an occurrence. [onAnswer] is called on the event loop. */
    public fun ask(
        step: String,
        workerIds: List<String>,
        onAnswer: (AdviceAnswer) -> Unit,
    )
}
