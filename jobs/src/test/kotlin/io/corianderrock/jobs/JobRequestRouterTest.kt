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
import io.corianderrock.jobs.ports.ChangeResult
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.ReadResult
import io.corianderrock.jobs.ports.RowChange
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoreRefusal
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobState
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.world.SilentTables
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.nulls.shouldBeNull
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
        describe("while there is no owner and the store refuses for its load") {
            it("passes its delay on, spread, so that the callers do not return together") {
                val delaysMs =
                    List(50) {
                        val caller = Caller(isReachable = true, tables = RefusingTables) { SchedulerReply.NotHandled("no owner") }
                        caller.ask(JobRequest.State("job", "queue"), runForMs = 5)
                        (caller.answer as CallerAnswer.NotApplied).retryAfterMs
                    }
                delaysMs.toSet() shouldBe setOf(4_000L, 5_000L, 6_000L)
            }
            it("does not refuse a submission of which an answer was lost") {
                var attempts = 0
                val caller =
                    Caller(isReachable = true, tables = RefusingTables) {
                        if (attempts++ == 0) SchedulerReply.Unanswered("lost") else SchedulerReply.NotHandled("no owner")
                    }
                caller.submit(runForMs = 5_000)
                caller.answer.shouldBeInstanceOf<CallerAnswer.Uncertain>()
                attempts shouldBeInRange 3..14
            }
        }
        describe("just after the ownership has passed to another entry") {
            // Guards against counts that are refused, and jobs that wait for the next read of the inbox, in a takeover that has ended.
            it("asks the next owner when the last one says that it is none") {
                var attempts = 0
                val caller =
                    Caller(isReachable = true) {
                        if (attempts++ ==
                            0
                        ) {
                            SchedulerReply.NotHandled("no", isNotOwner = true)
                        } else {
                            SchedulerReply.Answer(CallerAnswer.Pending(3))
                        }
                    }
                caller.ask(JobRequest.Pending("queue"), runForMs = 60)
                caller.answer shouldBe CallerAnswer.Pending(3)
            }
            it("refuses within 150 ms when no next owner is found") {
                val caller = Caller(isReachable = true) { SchedulerReply.NotHandled("no", isNotOwner = true) }
                caller.ask(JobRequest.Pending("queue"), runForMs = 150)
                caller.answer.shouldBeInstanceOf<CallerAnswer.NotApplied>()
            }
        }
        describe("while the owner neither answers nor refuses connections and the store is sound") {
            it("stores a submission without waiting for the owner's timeout") {
                val caller = Caller(isReachable = true, tables = SoundTables(), bypassesOwner = true, replyAfterMs = 1_000, reply = ::lost)
                caller.submit(runForMs = 260)
                caller.answer shouldBe CallerAnswer.Applied
            }
            it("sends it no further submissions, which are stored at once") {
                var attempts = 0
                val caller =
                    Caller(
                        isReachable = true,
                        tables = SoundTables(),
                        bypassesOwner = true,
                        replyAfterMs = 1_000,
                    ) { lost().also { attempts++ } }
                caller.submit(runForMs = 260)
                caller.submit(runForMs = 5)
                caller.answer shouldBe CallerAnswer.Applied
                caller.runFor(1_000)
                attempts shouldBe 1
            }
            it("answers a state from the store and refuses a count, which the store does not have, within 155 ms") {
                val caller = Caller(isReachable = true, tables = SoundTables(), bypassesOwner = true, replyAfterMs = 1_000, reply = ::lost)
                caller.ask(JobRequest.State("job", "queue"), runForMs = 155)
                caller.answer shouldBe CallerAnswer.NotFound
                caller.ask(JobRequest.Pending("queue"), runForMs = 155)
                caller.answer.shouldBeInstanceOf<CallerAnswer.NotApplied>()
            }
            it("delivers an answer of the owner that comes while the store is asked") {
                val caller =
                    Caller(isReachable = true, bypassesOwner = true, replyAfterMs = 140) {
                        SchedulerReply.Answer(CallerAnswer.State(JobState.COMPLETE))
                    }
                caller.ask(JobRequest.State("job", "queue"), runForMs = 145)
                caller.answer shouldBe CallerAnswer.State(JobState.COMPLETE)
            }
            // Guards against a refusal while the write beside the request to the owner may still be applied.
            it("does not refuse a submission whose write to the store is still open") {
                val tables = SoundTables(answersCommits = false)
                val caller =
                    Caller(
                        isReachable = true,
                        tables = tables,
                        bypassesOwner = true,
                        replyAfterMs = 400,
                    ) { SchedulerReply.NotHandled("no") }
                caller.submit(runForMs = 5_000)
                (caller.answer is CallerAnswer.NotApplied) shouldBe false
                tables.changes.size shouldBeGreaterThan 0
            }
            it("waits for the owner as before where the setting is off") {
                val caller = Caller(isReachable = true, tables = SoundTables(), replyAfterMs = 900, reply = ::lost)
                caller.submit(runForMs = 890)
                caller.answer.shouldBeNull()
            }
        }
        describe("while the owner does not answer and the store is lost") {
            it("refuses further submissions at once, having sent nothing") {
                var attempts = 0
                val caller = Caller(bypassesOwner = true, replyAfterMs = 1_000) { lost().also { attempts++ } }
                caller.ask(JobRequest.State("job", "queue"), runForMs = 260)
                caller.submit(runForMs = 5)
                caller.answer.shouldBeInstanceOf<CallerAnswer.NotApplied>()
                caller.runFor(1_000)
                attempts shouldBe 1
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

private fun lost() = SchedulerReply.Unanswered("lost")

private object RefusingTables : JobTables by SilentTables {
    override fun read(
        key: RowKey,
        onResult: (ReadResult) -> Unit,
    ) = onResult(ReadResult.Failed("status 429", StoreRefusal(3_200)))
}

/** A store without rows that answers at once, with [answersCommits] false only reads. */
private class SoundTables(
    private val answersCommits: Boolean = true,
) : JobTables by SilentTables {
    val changes = ArrayList<RowChange>()

    override fun read(
        key: RowKey,
        onResult: (ReadResult) -> Unit,
    ) = onResult(ReadResult.Rows(emptyList(), 1))

    override fun commit(
        change: RowChange,
        onResult: (ChangeResult) -> Unit,
    ) {
        changes.add(change)
        if (answersCommits) onResult(ChangeResult.Committed(1))
    }
}

/**
 * A caller of an entry that has lost the store, or with [isSlowOnly] of one whose store is slow, or with [isReachable] of one that
 * takes its store for sound; [reply] is what the scheduler says to each attempt, [replyAfterMs] later. Unless [tables] are given, no
 * read of the store is answered.
 */
private class Caller(
    isWithoutPeers: Boolean = false,
    isSlowOnly: Boolean = false,
    isReachable: Boolean = false,
    tables: JobTables = SilentTables,
    bypassesOwner: Boolean = false,
    replyAfterMs: Long = 1,
    reply: () -> SchedulerReply,
) {
    private val time = SimTime()
    private val loop = SimLoop(time)
    private val scheduler = SchedulerClient { _, onReply -> loop.after(replyAfterMs) { onReply(reply()) } }
    private val reach =
        object : EntryReach {
            override val isStoreLost = !isSlowOnly && !isReachable
            override val isStoreSlow = isSlowOnly
            override val isCutOff = isWithoutPeers
        }
    private val router =
        JobRequestRouter(
            loop = loop,
            scheduler = scheduler,
            store = StoredJobService(loop, tables),
            reach = reach,
            mayBypassOwner = { bypassesOwner },
        ) { _, _ -> }
    var answer: CallerAnswer? = null

    fun submit(runForMs: Long) {
        val job = JobSubmission("job", Queue("queue", "pool"), "work", listOf(Step(1, Demand(1_000, 1_000))))
        ask(JobRequest.Submit(job), runForMs)
    }

    fun cancel(runForMs: Long) = ask(JobRequest.Cancel("job", "queue"), runForMs)

    fun ask(
        request: JobRequest,
        runForMs: Long,
    ) {
        answer = null
        router.handle(request) { answer = it }
        runFor(runForMs)
    }

    fun runFor(durationMs: Long) = time.runUntil(time.nowMs + durationMs)
}
