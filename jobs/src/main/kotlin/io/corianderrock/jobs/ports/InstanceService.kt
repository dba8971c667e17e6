/*
 * The platform's instances and what may be done to them.
 */
package io.corianderrock.jobs.ports

import io.corianderrock.jobs.state.Demand

/** The state of an instance. */
public enum class InstanceState { UP, MOVING, MAINTENANCE, DOWN }

/** An instance as the platform lists it; [workerId] is its present worker. */
public data class Instance(
    val id: String,
    val pool: String,
    val state: InstanceState,
    val dataCentre: String,
    val labels: List<String>,
    val capacity: Demand,
    val workerId: String?,
)

/** The answer to an order to an instance. */
public sealed interface InstanceOrderAnswer {
    /** Done, or done before. */
    public data object Accepted : InstanceOrderAnswer

    /** Not done, for [reason]. */
    public data class Refused(
        val reason: String,
    ) : InstanceOrderAnswer

    /** No answer; the order may have been carried out. */
    public data class Lost(
        val reason: String,
    ) : InstanceOrderAnswer
}

/** Lists instances and orders moves and maintenance. Both end at once all that runs on the instance. */
public interface InstanceService {
    /** Lists all instances; null when the list could not be read. */
    public fun list(onResult: (List<Instance>?) -> Unit)

    /** Moves an instance to [pool] under [token], which never falls. */
    public fun move(
        instanceId: String,
        pool: String,
        token: Long,
        onAnswer: (InstanceOrderAnswer) -> Unit,
    )

    /** Gives an instance its maintenance of wave [waveNumber] under [token]. */
    public fun maintain(
        instanceId: String,
        waveNumber: Int,
        token: Long,
        onAnswer: (InstanceOrderAnswer) -> Unit,
    )
}

/** A permission to run a step on a worker. */
public data class Ticket(
    val workerId: String,
    val ticket: String,
)

/** The answer of the policy service; null [granted] when there was none. */
public data class AdviceAnswer(
    val granted: List<Ticket>?,
    val validForMs: Long,
)

/** Names the workers that may run a step. */
public fun interface AdviceService {
    /** Asks which of [workerIds] may run [step] of an occurrence. */
    public fun ask(
        step: String,
        workerIds: List<String>,
        onAnswer: (AdviceAnswer) -> Unit,
    )
}
