/*
 * Starts whose answers are lost: they are sent again to the same worker under the same run number.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.OwnerOfScriptedWorkers.Companion.LOST
import io.corianderrock.jobs.ports.StartRefusal
import io.corianderrock.jobs.ports.WorkerAnswer
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.TaskPhase
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

/** Longer than a start is repeated for and its stop takes. */
private const val GIVEN_UP_MS = 6_000L

internal class RepeatedStartTest :
    DescribeSpec({
        /** An owner whose worker loses the answers to the first [lostCount] starts and answers the next ones with [answer]. */
        fun ownerWithLostAnswers(
            lostCount: Int,
            step: Step = Step(1, Demand(1_000, 100)),
            answer: OwnerOfScriptedWorkers.() -> WorkerAnswer = { done() },
        ) = OwnerOfScriptedWorkers(step).apply {
            onStart = { _, _ -> if (starts.size <= lostCount) LOST else 1L to answer() }
        }

        describe("a start of which one answer is lost") {
            // Guards against tasks that wait for a timeout, a stop and a list before they are started again (late first starts).
            it("runs on the same worker within half a second, under the same run number") {
                val owner = ownerWithLostAnswers(lostCount = 1)
                owner.driver.start(owner.tasks[0], owner.worker())
                owner.pass(500)
                owner.tasks[0].phase shouldBe TaskPhase.RUNNING
                owner.starts.mapTo(HashSet()) { it.runNumber }.size shouldBe 1
                owner.stops.shouldBeEmpty()
            }

            // Guards against a run that is taken for shorter than it was, as it may have begun by the copy without an answer.
            it("does not count as seen from its beginning") {
                val owner = ownerWithLostAnswers(lostCount = 1)
                owner.driver.start(owner.tasks[0], owner.worker())
                owner.pass(500)
                owner.tasks[0].isWholeRun shouldBe false
            }
        }
        describe("starts of which all answers are lost") {
            // Guards against a task that waits for good for a worker that answers its holds and no start (LOST).
            it("are given up after some seconds, and the task is free once its stop is answered (LOST)") {
                val owner = ownerWithLostAnswers(lostCount = Int.MAX_VALUE)
                owner.driver.start(owner.tasks[0], owner.worker())
                owner.passTicking(GIVEN_UP_MS)
                owner.stops shouldContain ("w0" to owner.starts.first().runNumber)
                owner.tasks[0].worker.shouldBeNull()
            }

            // Guards against other starts that wait for the timeouts of lost ones, as only so many are sent at a time.
            it("do not hold up the starts of other tasks") {
                val owner = OwnerOfScriptedWorkers(Step(4, Demand(1_000, 100)))
                val lost = owner.tasks.take(2).map { it.id }
                owner.onStart = { _, order -> if (order.task in lost) LOST else 1L to owner.done() }
                owner.tasks.forEach { owner.driver.start(it, owner.worker()) }
                owner.pass(400)
                owner.tasks.drop(2).map { it.phase } shouldBe List(2) { TaskPhase.RUNNING }
            }
        }
        describe("a worker that answers its holds and no start") {
            // Guards against a worker that is given the same tasks again and again (late first starts).
            it("counts as failing, and is avoided once a start is given up") {
                val owner = ownerWithLostAnswers(lostCount = Int.MAX_VALUE)
                owner.driver.start(owner.tasks[0], owner.worker())
                owner.pass(1_000)
                owner.worker().record.failureEvidence shouldBeGreaterThan 0.0
                owner.passUntil { owner.stops.isNotEmpty() }
                owner.worker().avoidUntilMs shouldBeGreaterThan owner.time.nowMs
            }
        }
        describe("a worker that falls silent with starts in its queue") {
            // Guards against tasks that wait where they may be started late, although they were never sent (LOST).
            it("is sent only a few of them, and the others are free") {
                val owner = OwnerOfScriptedWorkers(Step(20, Demand(100, 100)))
                owner.onStart = { _, _ -> LOST }
                owner.onHold = { _, _ -> LOST }
                owner.tasks.forEach { owner.driver.start(it, owner.worker()) }
                owner.passTicking(3_000)
                owner.starts.mapTo(HashSet()) { it.task }.size shouldBeLessThan 9
                owner.tasks.count { it.phase == TaskPhase.WAITING } shouldBeGreaterThan 10
            }
        }
        describe("a start that is refused while an earlier run of its task may arrive late") {
            // Guards against a task that is started elsewhere while the earlier run may be what occupies the worker (TWICE).
            it("keeps the task on the worker until a stop is answered (TWICE)") {
                val owner = ownerWithLostAnswers(lostCount = Int.MAX_VALUE)
                owner.driver.start(owner.tasks[0], owner.worker())
                owner.passTicking(GIVEN_UP_MS)
                owner.tasks[0].worker.shouldBeNull()
                owner.onStop = { _, _ -> LOST }
                owner.onStart = { _, _ -> 1L to WorkerAnswer.Refused(StartRefusal.NO_CAPACITY, 0) }
                owner.driver.start(owner.tasks[0], owner.worker())
                owner.pass(500)
                owner.tasks[0].worker.shouldNotBeNull()
            }
        }
        describe("a repeated start that is refused") {
            // Guards against a task that is started elsewhere while the first copy may still be carried out (TWICE).
            it("keeps the task on the worker until a stop is answered (TWICE)") {
                val owner = ownerWithLostAnswers(lostCount = 1) { WorkerAnswer.Refused(StartRefusal.NO_CAPACITY, 0) }
                owner.onStop = { _, _ -> LOST }
                owner.driver.start(owner.tasks[0], owner.worker())
                owner.passTicking(1_000)
                owner.tasks[0].worker.shouldNotBeNull()
                owner.stops shouldContain ("w0" to owner.starts.first().runNumber)
            }
        }
        describe("a start on its way whose job is cancelled") {
            // Guards against copies of a start that are sent after the end of its job (UNASKED).
            it("is not repeated (UNASKED)") {
                val owner = ownerWithLostAnswers(lostCount = Int.MAX_VALUE)
                owner.driver.start(owner.tasks[0], owner.worker())
                owner.pass(100)
                val sent = owner.starts.size
                owner.cancelJob()
                owner.passTicking(GIVEN_UP_MS)
                owner.starts.size shouldBe sent
            }
        }
        describe("a worker that was removed and is listed again") {
            // Guards against an owner that takes the refusal of an order to the removed worker for the sight of a later owner.
            it("does not suspend the owner by refusing an order from before") {
                val owner = OwnerOfScriptedWorkers()
                owner.onStart = { _, _ -> 100L to WorkerAnswer.Refused(StartRefusal.FENCE, 0) }
                owner.driver.start(owner.tasks[0], owner.worker())
                owner.pass(20)
                owner.driver.onWorkerTerminated("w0")
                owner.driver.onListed(owner.entry())
                owner.pass(200)
                owner.fencedCount shouldBe 0
            }
        }
        describe("a worker that has started again under its id") {
            // Guards against late orders to the last incarnation, which a new one takes as it has seen no fence (TWICE).
            it("is sent orders under a higher fence, so that it rejects all earlier ones (TWICE)") {
                val owner = OwnerOfOneWorker()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.startAgain()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                val (first, second) = owner.starts
                first.fence.compareTo(second.fence) shouldBeLessThan 0
            }

            // Guards against an owner that takes the refusal of an order to the last incarnation for the sight of a later owner.
            it("does not suspend the owner by refusing an order to the last incarnation") {
                val owner = OwnerOfScriptedWorkers()
                owner.onStart = { _, _ -> 100L to WorkerAnswer.Refused(StartRefusal.FENCE, 0) }
                owner.driver.start(owner.tasks[0], owner.worker())
                owner.pass(20)
                owner.driver.onListed(owner.worker().entry.copy(bornWallMs = owner.worker().entry.bornWallMs + 1))
                owner.pass(200)
                owner.fencedCount shouldBe 0
            }
        }
    })
