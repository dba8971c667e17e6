/*
 * Starts that need a ticket of the advice service, and workers that refuse them.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.ports.StartRefusal
import io.corianderrock.jobs.ports.WorkerAnswer
import io.corianderrock.jobs.state.AdviceStanding
import io.corianderrock.jobs.state.AdvisedWorker
import io.corianderrock.jobs.state.StepAdvice
import io.corianderrock.jobs.state.TaskPhase
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe

private const val VALID_MS = 3_000L

private fun StepAdvice.grant(
    owner: OwnerOfScriptedWorkers,
    vararg indices: Int,
    validMs: Long = VALID_MS,
) = onAnswer(
    asked = indices.map { AdvisedWorker(owner.worker(it)) },
    tickets = indices.associate { "w$it" to "ticket" },
    expiresAtMs = owner.loop.nowMs + validMs,
)

private fun OwnerOfScriptedWorkers.standing(index: Int = 0) =
    tasks
        .first()
        .stepRun.advice
        .standing(worker(index), loop.nowMs)

private fun refusal() = 1L to WorkerAnswer.Refused(StartRefusal.TICKET, workerClockMs = null)

internal class AdvisedStartTest :
    DescribeSpec({
        describe("a start that is refused for want of a ticket") {
            // Guards against starts without a ticket that are sent and refused again and again after the queue has got a policy.
            it("shows that the step needs advice, whatever the queue was when the job was accepted") {
                val owner = OwnerOfScriptedWorkers().apply { onStart = { _, _ -> refusal() } }
                owner.driver.start(owner.tasks.first(), owner.worker())
                owner.pass(100)
                owner.tasks
                    .first()
                    .stepRun.needsAdvice shouldBe true
            }
            // Guards against a worker whose refusal makes the tickets of all others void.
            it("leaves the tickets of other workers valid") {
                val owner = OwnerOfScriptedWorkers(workerCount = 2).apply { onStart = { _, _ -> refusal() } }
                val stepRun = owner.tasks.first().stepRun
                stepRun.needsAdvice = true
                stepRun.advice.grant(owner, 0, 1)
                owner.driver.start(owner.tasks.first(), owner.worker(0))
                owner.pass(100)
                owner.standing(0) shouldBe AdviceStanding.TICKET_EXPIRED
                owner.standing(1) shouldBe AdviceStanding.TICKET_VALID
            }
            // Guards against a worker that refuses each ticket, for which a call and a start are spent over and over.
            it("is followed by longer and longer pauses while the worker refuses new tickets, until it takes one") {
                val owner = OwnerOfScriptedWorkers()
                val advice =
                    owner.tasks
                        .first()
                        .stepRun.advice
                val pausesMs =
                    List(6) {
                        advice.grant(owner, 0)
                        val refusedAtMs = owner.loop.nowMs
                        advice.onTicketRefused(owner.worker(), refusedAtMs)
                        owner.passUntil { owner.standing() == AdviceStanding.TICKET_EXPIRED }
                        owner.loop.nowMs - refusedAtMs
                    }
                pausesMs shouldBe listOf(0, 250, 500, 1_000, 2_000, 2_000)
                advice.grant(owner, 0)
                advice.onTicketAccepted(owner.worker())
                advice.onTicketRefused(owner.worker(), owner.loop.nowMs)
                owner.standing() shouldBe AdviceStanding.TICKET_EXPIRED
            }
        }

        describe("a start that waits for the store") {
            // Guards against a start with a ticket that has expired meanwhile, which the worker rejects.
            it("is not sent once its ticket has expired") {
                val owner = OwnerOfScriptedWorkers()
                val task = owner.tasks.first()
                task.stepRun.needsAdvice = true
                task.stepRun.advice.grant(owner, 0, validMs = 2)
                owner.driver.start(task, owner.worker())
                owner.pass(100)
                owner.starts.shouldBeEmpty()
                task.phase shouldBe TaskPhase.WAITING
            }
        }
    })
