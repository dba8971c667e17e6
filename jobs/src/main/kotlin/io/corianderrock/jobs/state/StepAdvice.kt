/*
 * What the advice service has said of one step of an occurrence. Whether a worker may run the step holds for the life of the worker,
 * while the ticket that a start carries expires. Confined to the event loop.
 */
package io.corianderrock.jobs.state

import java.util.WeakHashMap

/** What is known of one step and one worker. */
internal enum class AdviceStanding {
    /** The service was not asked about this incarnation of the worker. */
    UNKNOWN,

    /** The worker may run the step, but a start needs a new ticket. */
    TICKET_EXPIRED,

    /** The worker may run the step, and its ticket is valid. */
    TICKET_VALID,

    /** The worker refused a valid ticket and is not asked about again yet. */
    TICKET_REFUSED,

    /** The worker may not run the step. */
    DENIED,
}

/** A worker in the incarnation that the advice service is asked about. */
internal class AdvisedWorker(
    val worker: WorkerView,
) {
    val incarnation: Long = worker.incarnation
}

internal class StepAdvice {
    private class Verdict(
        val incarnation: Long,
        /** Null if the worker may not run the step. */
        val ticket: String?,
        /** Loop time. */
        var expiresAtMs: Long,
        /** Tickets that the worker has refused in a row. */
        var refusalCount: Int,
        /** Loop time before which no ticket is asked for after a refusal. */
        var askAgainAtMs: Long = 0,
    )

    /** Weak, since a long-running step outlives many workers. */
    private val verdicts = WeakHashMap<WorkerView, Verdict>()

    /** True while a question about this step is not answered. */
    var isInFlight: Boolean = false

    /** Number of workers of which it is known whether they may run the step. */
    val knownCount: Int get() = verdicts.size

    /** Number of workers that may run the step. */
    val allowedCount: Int get() = verdicts.values.count { it.ticket != null }

    fun standing(
        worker: WorkerView,
        nowMs: Long,
    ): AdviceStanding {
        val verdict = verdictOf(worker)
        return when {
            verdict == null -> AdviceStanding.UNKNOWN
            verdict.ticket == null -> AdviceStanding.DENIED
            nowMs < verdict.expiresAtMs -> AdviceStanding.TICKET_VALID
            nowMs < verdict.askAgainAtMs -> AdviceStanding.TICKET_REFUSED
            else -> AdviceStanding.TICKET_EXPIRED
        }
    }

    /** The ticket with which [worker] may start the step at loop time [nowMs]; null if there is none. */
    fun ticket(
        worker: WorkerView,
        nowMs: Long,
    ): String? = verdictOf(worker)?.takeIf { nowMs < it.expiresAtMs }?.ticket

    /** Records that of the [asked] workers those in [tickets], by id, may run the step, and the others may not. */
    fun onAnswer(
        asked: List<AdvisedWorker>,
        tickets: Map<String, String>,
        expiresAtMs: Long,
    ) {
        verdicts.entries.removeIf { (worker, verdict) -> worker.incarnation != verdict.incarnation }
        for (question in asked) {
            if (question.worker.incarnation != question.incarnation) continue
            val refusalCount = verdictOf(question.worker)?.refusalCount ?: 0
            verdicts[question.worker] = Verdict(question.incarnation, tickets[question.worker.id], expiresAtMs, refusalCount)
        }
    }

    /** Called when [worker] has refused its ticket. After the first refusal in a row a new one is asked for at once. */
    fun onTicketRefused(
        worker: WorkerView,
        nowMs: Long,
    ) {
        val verdict = verdictOf(worker)?.takeIf { it.expiresAtMs > 0 } ?: return
        verdict.expiresAtMs = 0
        verdict.askAgainAtMs =
            if (verdict.refusalCount ==
                0
            ) {
                nowMs
            } else {
                nowMs + (FIRST_REFUSAL_DELAY_MS shl minOf(verdict.refusalCount - 1, MAX_REFUSAL_DOUBLINGS))
            }
        verdict.refusalCount++
    }

    /** Called when [worker] has taken a start with its ticket. */
    fun onTicketAccepted(worker: WorkerView) {
        verdictOf(worker)?.refusalCount = 0
    }

    private fun verdictOf(worker: WorkerView): Verdict? = verdicts[worker]?.takeIf { it.incarnation == worker.incarnation }

    private companion object {
        const val FIRST_REFUSAL_DELAY_MS = 250L

        /** Delays stay within 2 s, below the 3 s for which a task may wait while a worker has room for it. */
        const val MAX_REFUSAL_DOUBLINGS = 3
    }
}
