/*
 * Records for each move into a serving pool whether the instance ran work within the demand peak for which it was ordered,
 * so that moves that only cost instance time can be told from those that served callers. The ledger is held in memory: a new
 * owner evaluates only the moves that it orders itself.
 */
package io.corianderrock.jobs.fleet

import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.ports.InstanceOrderAnswer
import io.corianderrock.jobs.ports.InstanceState
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.WorkerView

internal class MoveLedger(
    private val loop: EventLoop,
    private val log: DecisionLog,
    private val workerOf: (InstanceView) -> WorkerView?,
) {
    /** Why a move is counted as it is; the values of the field `reason`. */
    private enum class Reason(
        val label: String,
        val served: String,
    ) {
        RAN("ran", "true"),
        NO_RUN("no_run", "false"),
        NOT_JOINED("not_joined", "false"),

        /** Ordered to another pool or to maintenance before it ran anything. */
        LEFT("left", "false"),

        /** The order had no answer or the instance is no longer listed: whether it moved is not known. */
        UNKNOWN("unknown", "unknown"),
    }

    /** A move that is not evaluated yet; times are loop times. */
    private class OpenMove(
        val pool: String,
        val from: String,
        val isForCurrentWork: Boolean,
        val wantedInstances: Int,
        val supplyInstances: Int,
        val orderedAtMs: Long,
        val neededUntilMs: Long,
    ) {
        var joinedAtMs: Long? = null
        var isUnanswered = false
    }

    private val open = LinkedHashMap<String, OpenMove>()

    /** Records that the instance was ordered from pool [from] to the pool of [state], for its current work or for the forecast. */
    fun onOrdered(
        instanceId: String,
        from: String,
        state: PoolState,
        isForCurrentWork: Boolean,
    ) {
        open[instanceId] =
            OpenMove(
                pool = state.pool,
                from = from,
                isForCurrentWork = isForCurrentWork,
                wantedInstances = state.need.instanceCount,
                supplyInstances = state.supply.size,
                orderedAtMs = loop.nowMs,
                neededUntilMs = loop.nowMs + PEAK_MS + if (isForCurrentWork) 0 else PeakForecast.LEAD_TIME_MS,
            )
    }

    /** A refused order is no move; one without an answer may still be carried out. */
    fun onAnswered(
        instanceId: String,
        answer: InstanceOrderAnswer,
    ) {
        when (answer) {
            is InstanceOrderAnswer.Accepted -> return
            is InstanceOrderAnswer.Refused -> open.remove(instanceId)
            is InstanceOrderAnswer.Unanswered -> open[instanceId]?.isUnanswered = true
        }
    }

    /** Evaluates the last move of an instance that is now ordered elsewhere. */
    fun onLeaving(instanceId: String) {
        val move = open[instanceId] ?: return
        close(instanceId, move, if (move.joinedAtMs == null && move.isUnanswered) Reason.UNKNOWN else Reason.LEFT)
    }

    /** Evaluates the moves whose instances have run work since, or whose peak has ended. */
    fun tick(find: (String) -> InstanceView?) {
        for ((instanceId, move) in open.toList()) {
            val view = find(instanceId)
            if (view == null) {
                close(instanceId, move, Reason.UNKNOWN)
                continue
            }
            val worker = workerIn(view, move)
            if (worker != null && move.joinedAtMs == null) move.joinedAtMs = loop.nowMs
            when {
                loop.nowMs > move.neededUntilMs -> close(instanceId, move, reasonWithoutRun(move))
                worker != null && worker.runs.values.any { it.phase == TaskPhase.RUNNING } -> close(instanceId, move, Reason.RAN)
            }
        }
    }

    /** The usable worker of an instance that has joined the pool of [move]. */
    private fun workerIn(
        view: InstanceView,
        move: OpenMove,
    ): WorkerView? {
        val hasJoined = !view.isOrdered && view.instance.pool == move.pool && view.instance.state == InstanceState.UP
        return if (hasJoined) workerOf(view)?.takeIf { it.isListed && it.isReconciled } else null
    }

    private fun reasonWithoutRun(move: OpenMove): Reason =
        when {
            move.joinedAtMs != null -> Reason.NO_RUN
            move.isUnanswered -> Reason.UNKNOWN
            else -> Reason.NOT_JOINED
        }

    private fun close(
        instanceId: String,
        move: OpenMove,
        reason: Reason,
    ) {
        open.remove(instanceId)
        log.write(
            "move_outcome",
            "instance",
            instanceId,
            "pool",
            move.pool,
            "from",
            move.from,
            "orderedForCurrentWork",
            move.isForCurrentWork,
            "wantedInstances",
            move.wantedInstances,
            "supplyInstances",
            move.supplyInstances,
            "joinedAfterMs",
            move.joinedAtMs?.let { it - move.orderedAtMs },
            "firstRunAfterMs",
            if (reason == Reason.RAN) loop.nowMs - move.orderedAtMs else null,
            "served",
            reason.served,
            "reason",
            reason.label,
        )
    }

    companion object {
        /** A queue's demand stays at its peak for this long; later runs are not what the instance was ordered for. */
        const val PEAK_MS = 4_500L
    }
}
