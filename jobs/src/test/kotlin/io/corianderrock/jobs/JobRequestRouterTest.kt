/*
 * Covers what callers are told while the scheduler or the store cannot be reached or is slow: a request of which nothing was sent is
 * refused at once, one whose answer was lost is asked again until its outcome is known and never reported as not carried out.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.entry.CallerAnswer
import io.corianderrock.jobs.entry.EntryReach
import io.corianderrock.jobs.entry.JobRequest
import io.corianderrock.jobs.entry.JobRequestRouter
import io.corianderrock.jobs.entry.SchedulerClient
import io.corianderrock.jobs.entry.SchedulerReply
import io.corianderrock.jobs.entry.StoredJobService
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.world.SilentTables
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

internal class JobRequestRouterTest :
    DescribeSpec({
        describe("while neither the scheduler nor the store can be reached") {
            it("refuses a submission of which nothing was sent, at once and with a retry delay") {
                val caller = Caller { SchedulerReply.NotHandled("no owner") }
                caller.submit(runForMs = 5)
                caller.answer
                    .shouldBeInstanceOf<CallerAnswer.NotApplied>()
                    .retryAfterMs
                    .toInt() shouldBeGreaterThan 0
            }
            it("sends nothing while no peer answers either, so that the refusal is certain") {
                var attempts = 0
                val caller =
                    Caller(isWithoutPeers = true) {
                        attempts++
                        SchedulerReply.Unanswered("lost")
                    }
                caller.submit(runForMs = 5)
                caller.answer.shouldBeInstanceOf<CallerAnswer.NotApplied>()
                attempts shouldBe 0
            }
            it("does not report a submission as refused once an answer to it was lost") {
                var attempts = 0
                val caller = Caller { if (attempts++ == 0) SchedulerReply.Unanswered("lost") else SchedulerReply.NotHandled("no owner") }
                caller.submit(runForMs = 5_000)
                caller.answer.shouldBeInstanceOf<CallerAnswer.Uncertain>()
                attempts shouldBeGreaterThan 2
            }
            it("does not report a cancellation as refused once an answer to it was lost") {
                var attempts = 0
                val caller = Caller { if (attempts++ == 0) SchedulerReply.Unanswered("lost") else SchedulerReply.NotHandled("no owner") }
                caller.cancel(runForMs = 5_000)
                caller.answer.shouldBeInstanceOf<CallerAnswer.Uncertain>()
            }
            it("does not pass on a refusal by the next owner after an answer was lost") {
                var attempts = 0
                val refusal = SchedulerReply.Answer(CallerAnswer.NotApplied("full", 1_000))
                val caller = Caller { if (attempts++ == 0) SchedulerReply.Unanswered("lost") else refusal }
                caller.submit(runForMs = 5_000)
                caller.answer.shouldBeInstanceOf<CallerAnswer.Uncertain>()
            }
            it("finds the outcome through the next owner after an answer was lost") {
                var attempts = 0
                val caller =
                    Caller { if (attempts++ < 3) SchedulerReply.Unanswered("lost") else SchedulerReply.Answer(CallerAnswer.Applied) }
                caller.submit(runForMs = 5_000)
                caller.answer shouldBe CallerAnswer.Applied
            }
        }
        describe("while no owner is known and the store has just stopped to answer, which is not noticed yet") {
            it("refuses a submission within 150 ms and writes nothing that could still be applied") {
                val tables = SlowTables(SimTime())
                val caller = Caller(isReachable = true, tables = tables) { SchedulerReply.NotHandled("no owner") }
                caller.submit(runForMs = 152)
                caller.answer.shouldBeInstanceOf<CallerAnswer.NotApplied>()
                tables.changes.shouldBeEmpty()
            }
        }
        describe("while the store answers slowly") {
            it("asks the scheduler again and stores no job around it") {
                var attempts = 0
                val caller =
                    Caller(isSlowOnly = true) {
                        if (attempts++ < 3) SchedulerReply.Unanswered("late") else SchedulerReply.Answer(CallerAnswer.Applied)
                    }
                caller.submit(runForMs = 5_000)
                caller.answer shouldBe CallerAnswer.Applied
            }
            it("refuses a submission that no scheduler has taken by the end of the caller's time") {
                val caller = Caller(isSlowOnly = true) { SchedulerReply.NotHandled("no owner") }
                caller.submit(runForMs = 3_000)
                caller.answer.shouldBeInstanceOf<CallerAnswer.NotApplied>()
            }
        }
    })

/**
 * A caller of an entry that has lost the store, or with [isSlowOnly] of one whose store is slow, or with [isReachable] of one that
 * takes its store for sound; [reply] is what the scheduler says to each attempt. No read of the store is answered.
 */
private class Caller(
    isWithoutPeers: Boolean = false,
    isSlowOnly: Boolean = false,
    isReachable: Boolean = false,
    tables: JobTables = SilentTables,
    reply: () -> SchedulerReply,
) {
    private val time = SimTime()
    private val loop = SimLoop(time)
    private val scheduler = SchedulerClient { _, onReply -> loop.after(1) { onReply(reply()) } }
    private val reach =
        object : EntryReach {
            override val isStoreLost = !isSlowOnly && !isReachable
            override val isStoreSlow = isSlowOnly
            override val isCutOff = isWithoutPeers
        }
    private val router = JobRequestRouter(loop, scheduler, StoredJobService(loop, tables), reach) { _, _ -> }
    var answer: CallerAnswer? = null

    fun submit(runForMs: Long) {
        val job = JobSubmission("job", Queue("queue", "pool"), "work", listOf(Step(1, Demand(1_000, 1_000))))
        ask(JobRequest.Submit(job), runForMs)
    }

    fun cancel(runForMs: Long) = ask(JobRequest.Cancel("job", "queue"), runForMs)

    private fun ask(
        request: JobRequest,
        runForMs: Long,
    ) {
        router.handle(request) { answer = it }
        time.runUntil(time.nowMs + runForMs)
    }
}
