/*
 * Orders to workers and their answers. An unanswered order may have been carried out or may still be carried out. Each
 * order has a fence; a worker refuses an order whose fence is lower than one it has seen.
 */
package io.corianderrock.jobs.ports

import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.TaskId

/** A worker as listed by discovery. */
public data class WorkerEntry(
    val id: String,
    val address: String,
    val pool: String,
    val dataCentre: String,
    val instanceId: String?,
    val capacity: Demand,
    val labels: List<String>,
    val isDraining: Boolean,
    /** Least time until a draining worker leaves; null when the worker is not draining or the time is unknown. */
    val leavesInMs: Long?,
    /** Start of the worker's current incarnation, in milliseconds since the Unix epoch; zero when unknown. */
    val bornWallMs: Long,
)

/** Starts run [runNumber] of a task. The worker refuses the order after [expiresAtWorkerMs] on its own clock. */
public data class StartOrder(
    val task: TaskId,
    val runNumber: Long,
    val spec: String,
    val expiresAtWorkerMs: Long,
    val fence: Long,
    val checkpoint: String?,
    val ticket: String?,
)

/** Stops run [runNumber] of a task. The worker rejects a start of that run that arrives later. */
public data class StopOrder(
    val task: TaskId,
    val runNumber: Long,
    val fence: Long,
)

/**
 * Lists the runs of a worker, as a long poll: the answer is delayed by up to [waitMs] until a run ends whose number is
 * above [acknowledgedEnd]. Ends up to [acknowledgedEnd] are dropped from the list. If [expiresAtWorkerMs] is not null,
 * extends the lease of all runs to that time on the worker's clock.
 */
public data class HoldOrder(
    val expiresAtWorkerMs: Long?,
    val fence: Long,
    val acknowledgedEnd: Long,
    val waitMs: Int,
)

/** Lets run [runNumber] of a task work, and disturb others on its worker, at [percent] of what it could. */
public data class PaceOrder(
    val task: TaskId,
    val runNumber: Long,
    val percent: Int,
    val fence: Long,
)

/** A run that a worker reports as running. */
public data class RunningRow(
    val task: TaskId,
    val runNumber: Long,
    val checkpoint: String,
    val percent: Int,
    /**
     * A rough figure for the last half second: the tail of the response times in milliseconds for a task with a response time target,
     * the processor time in use for any other; null if the worker gives none.
     */
    val load: Long? = null,
)

/** How a run ended, as reported by the worker. */
public enum class EndKind { DONE, FAILED, STOPPED, LAPSED, BROKEN, ALONE }

/** A run that a worker reports as ended. [number] counts the ended runs of one incarnation from 1. */
public data class EndRow(
    val number: Long,
    val task: TaskId,
    val runNumber: Long,
    val kind: EndKind,
    val checkpoint: String,
)

/** Why a worker refused a start. */
public enum class StartRefusal { FENCE, OLD_RUN, EXPIRED, NO_CAPACITY, TICKET, UNHEALTHY, INVALID, OTHER_INCARNATION }

/** The answer to an order to a worker. */
public sealed interface WorkerAnswer {
    /** True if the order may still be carried out, also by a later incarnation of the worker. */
    public val mayArriveLate: Boolean get() = this is Unanswered && mayBeCarriedOut

    /** The order was carried out. */
    public data class Done(
        val workerClockMs: Long,
    ) : WorkerAnswer

    /** The order was refused; no run was started or stopped. */
    public data class Refused(
        val refusal: StartRefusal,
        val workerClockMs: Long?,
    ) : WorkerAnswer

    /** Answer to a [HoldOrder]: the running runs and the ended runs that are not acknowledged yet. */
    public data class Listed(
        val workerClockMs: Long,
        val bornWallMs: Long,
        val running: List<RunningRow>,
        val ended: List<EndRow>,
    ) : WorkerAnswer

    /** No usable answer. If [mayBeCarriedOut], the order may have been carried out or may still be. */
    public data class Unanswered(
        val reason: String,
        val mayBeCarriedOut: Boolean,
    ) : WorkerAnswer
}

/** Sends orders to workers. Each order gets exactly one answer, delivered on the event loop. */
public interface WorkerLink {
    public fun start(
        entry: WorkerEntry,
        order: StartOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    )

    public fun stop(
        entry: WorkerEntry,
        order: StopOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    )

    public fun hold(
        entry: WorkerEntry,
        order: HoldOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    )

    public fun pace(
        entry: WorkerEntry,
        order: PaceOrder,
        onAnswer: (WorkerAnswer) -> Unit,
    )
}
