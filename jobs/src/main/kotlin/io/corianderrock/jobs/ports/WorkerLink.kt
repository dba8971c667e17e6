/*
 * Orders to workers and what they answer. An order without an answer may have been carried out, or may be later.
 */
package io.corianderrock.jobs.ports

import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.TaskId

/** A worker as discovery lists it. */
public data class WorkerEntry(
    val id: String,
    val address: String,
    val pool: String,
    val dataCentre: String,
    val instanceId: String?,
    val capacity: Demand,
    val labels: List<String>,
    val isDraining: Boolean,
    /** The least time until a draining worker leaves; null when it is not draining or not known. */
    val leavesInMs: Long?,
    /** Start of the worker's present incarnation, in milliseconds since the epoch; zero when not known. */
    val bornWallMs: Long,
)

/** Starts run [runNumber] of a task. The worker refuses it after [expiresAtWorkerMs] of its own clock. */
public data class StartOrder(
    val task: TaskId,
    val runNumber: Long,
    val spec: String,
    val expiresAtWorkerMs: Long,
    val fence: Long,
    val checkpoint: String?,
    val ticket: String?,
)

/** Stops run [runNumber] of a task; a run that has not arrived yet is rejected from then on. */
public data class StopOrder(
    val task: TaskId,
    val runNumber: Long,
    val fence: Long,
)

/** Extends the lease of all runs to [expiresAtWorkerMs] and waits up to [waitMs] for an end after [acknowledgedEnd]. */
public data class HoldOrder(
    val expiresAtWorkerMs: Long?,
    val fence: Long,
    val acknowledgedEnd: Long,
    val waitMs: Int,
)

/** A run that a worker lists as running. */
public data class RunningRow(
    val task: TaskId,
    val runNumber: Long,
    val checkpoint: String,
    val percent: Int,
)

/** How a run ended. */
public enum class EndKind { DONE, FAILED, STOPPED, LAPSED, BROKEN, ALONE }

/** A run that a worker lists as ended. [number] counts the ends of one incarnation from 1. */
public data class EndRow(
    val number: Long,
    val task: TaskId,
    val runNumber: Long,
    val kind: EndKind,
    val checkpoint: String,
)

/** Why a worker refused a start. */
public enum class StartRefusal { FENCE, OLD_RUN, EXPIRED, NO_CAPACITY, TICKET, UNHEALTHY, INVALID, OTHER_INCARNATION }

/** The answer to an order. */
public sealed interface WorkerAnswer {
    /** Carried out. */
    public data class Done(
        val workerClockMs: Long,
    ) : WorkerAnswer

    /** Refused; nothing was started. */
    public data class Refused(
        val refusal: StartRefusal,
        val workerClockMs: Long?,
    ) : WorkerAnswer

    /** The lists of a worker. */
    public data class Listed(
        val workerClockMs: Long,
        val bornWallMs: Long,
        val running: List<RunningRow>,
        val ended: List<EndRow>,
    ) : WorkerAnswer

    /** No answer; the order may be carried out later when [mayBeCarriedOut]. */
    public data class Lost(
        val reason: String,
        val mayBeCarriedOut: Boolean,
    ) : WorkerAnswer
}

/** Sends orders to workers. Answers are delivered on the event loop, one for each order. */
public interface WorkerLink {
    /** Sends [order] to the worker [entry]. */
    public fun start(
        entry: WorkerEntry,
        order: StartOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    )

    /** Sends [order] to the worker [entry]. */
    public fun stop(
        entry: WorkerEntry,
        order: StopOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    )

    /** Sends [order] to the worker [entry]. */
    public fun hold(
        entry: WorkerEntry,
        order: HoldOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    )
}
