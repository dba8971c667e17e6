/*
 * Asks the advice service on which workers waiting tasks may start. The service takes calls of one entry in turn, each of a length that
 * grows with the workers named, so that few are in flight, a worker is named again only for a new ticket, and the next question names
 * workers that no earlier one did.
 */
package io.corianderrock.jobs.placement

import io.corianderrock.jobs.ports.AdviceAnswer
import io.corianderrock.jobs.ports.AdviceService
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.state.AdviceStanding
import io.corianderrock.jobs.state.AdvisedWorker
import io.corianderrock.jobs.state.StepAdvice
import io.corianderrock.jobs.state.StepRun
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.storerate.RetryBackoff
import kotlin.math.ceil

/** Used on the event loop only. */
internal class StepAdviser(
    private val loop: EventLoop,
    private val service: AdviceService,
    private val choice: WorkerChoice,
    private val log: DecisionLog,
    /** Called with the pool of a step after each answer about it. */
    private val onAnswer: (String) -> Unit,
) {
    private val backoff = RetryBackoff(FIRST_RETRY_WINDOW_MS, LONGEST_RETRY_WINDOW_MS, LEAST_RETRY_MS)
    private var inFlightCount = 0

    /** Loop time before which nothing is asked, after a call that failed. */
    private var retryAtMs = 0L

    /**
     * Called when [task] may start on no worker with a valid ticket. True if it waits for advice on others that have room for it, which
     * is asked for unless that has been done or two questions are in flight. False if advice would not help now.
     */
    fun awaitsAdvice(
        task: TaskRun,
        capacities: List<WorkerCapacity>,
    ): Boolean {
        val stepRun = task.stepRun
        if (!stepRun.needsAdvice) return false
        val nowMs = loop.nowMs
        val open = capacities.filter { isOpen(stepRun.advice.standing(it.worker, nowMs)) && choice.mayRunWithAdvice(task, it, 0) }
        val (withRoom, withoutRoom) = open.partition { choice.hasRoom(task, it) }
        if (withRoom.isEmpty()) return false
        if (stepRun.advice.isInFlight || inFlightCount >= MAX_IN_FLIGHT || nowMs < retryAtMs) return true
        // Those without room come last: a ticket may be of use there when a run ends.
        ask(stepRun, preferred(task, withRoom) + preferred(task, withoutRoom), capacities.size)
        return true
    }

    private fun isOpen(standing: AdviceStanding) = standing == AdviceStanding.UNKNOWN || standing == AdviceStanding.TICKET_EXPIRED

    /** Workers that are known to be allowed come first, then by cost. */
    private fun preferred(
        task: TaskRun,
        candidates: List<WorkerCapacity>,
    ): List<WorkerCapacity> =
        choice
            .sortedByCost(task, candidates)
            .sortedBy { task.stepRun.advice.standing(it.worker, loop.nowMs) == AdviceStanding.UNKNOWN }

    private fun ask(
        stepRun: StepRun,
        candidates: List<WorkerCapacity>,
        usableCount: Int,
    ) {
        val advice = stepRun.advice
        val question =
            Question(stepRun, candidates.take(questionSize(advice)).map { AdvisedWorker(it.worker) }, candidates.size, usableCount)
        advice.isInFlight = true
        inFlightCount++
        service.ask(question.name, question.asked.map { it.worker.id }) { answer ->
            inFlightCount--
            advice.isInFlight = false
            onAnswered(question, answer)
            onAnswer(stepRun.job.queue.pool)
        }
    }

    /** A question about [asked], of [openCount] workers that could be asked about and [usableCount] that could take tasks. */
    private inner class Question(
        val stepRun: StepRun,
        val asked: List<AdvisedWorker>,
        val openCount: Int,
        val usableCount: Int,
    ) {
        val name = "${stepRun.job.id}.${stepRun.occurrence}.${stepRun.number}"
        val sentAtMs = loop.nowMs
        val newCount = asked.count { stepRun.advice.standing(it.worker, sentAtMs) == AdviceStanding.UNKNOWN }
    }

    /** As many workers as are expected to give what a question about [USUAL_QUESTION_SIZE] gives where all are allowed. */
    private fun questionSize(advice: StepAdvice): Int {
        val allowedShare = (advice.allowedCount + 1.0) / (advice.knownCount + 1.0)
        return minOf(MAX_QUESTION_SIZE, ceil(USUAL_QUESTION_SIZE / allowedShare).toInt())
    }

    private fun onAnswered(
        question: Question,
        answer: AdviceAnswer,
    ) {
        logAnswer(question, answer)
        val granted = answer.granted
        // Tickets that are never valid would be asked for with each answer.
        if (granted == null || answer.validForMs <= 0) retryAtMs = loop.nowMs + backoff.nextDelayMs() else backoff.reset()
        if (granted == null) return
        question.stepRun.advice.onAnswer(question.asked, granted.associate { it.workerId to it.ticket }, expiryMs(question, answer))
    }

    /**
     * Loop time at which the tickets of [answer] count as expired. Their validity may have begun as early as the call was sent; what a
     * long call leaves of that is raised to a part of it, as a ticket that is never used would be asked for again and again.
     */
    private fun expiryMs(
        question: Question,
        answer: AdviceAnswer,
    ): Long {
        val marginMs = minOf(EXPIRY_MARGIN_MS, answer.validForMs / LEAST_VALIDITY_DIVISOR)
        return maxOf(question.sentAtMs + answer.validForMs - marginMs, loop.nowMs + answer.validForMs / LEAST_VALIDITY_DIVISOR)
    }

    private fun logAnswer(
        question: Question,
        answer: AdviceAnswer,
    ) = log.write(
        "advice",
        "step",
        question.name,
        "usable",
        question.usableCount,
        "open",
        question.openCount,
        "asked",
        question.asked.size,
        "askedFirstTime",
        question.newCount,
        "known",
        question.stepRun.advice.knownCount,
        "knownAllowed",
        question.stepRun.advice.allowedCount,
        "granted",
        answer.granted?.size,
        "validMs",
        answer.validForMs,
        "failure",
        answer.failure,
        "tookMs",
        loop.nowMs - question.sentAtMs,
    )

    private companion object {
        /** The size of the question that the objectives of jobs account for, one a step. */
        const val USUAL_QUESTION_SIZE = 30

        /** The service accepts no more workers in one call. */
        const val MAX_QUESTION_SIZE = 100

        /** One that the service works on and one that it has next; more would only age in its line. */
        const val MAX_IN_FLIGHT = 2

        const val LEAST_RETRY_MS = 20L
        const val FIRST_RETRY_WINDOW_MS = 100L
        const val LONGEST_RETRY_WINDOW_MS = 1_000L

        /** Tickets count as expired this long before their validity ends, or a quarter of it where that is less. */
        const val EXPIRY_MARGIN_MS = 300L
        const val LEAST_VALIDITY_DIVISOR = 4
    }
}
