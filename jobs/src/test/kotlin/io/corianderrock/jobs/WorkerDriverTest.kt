/*
 * A worker that ends and starts again under its id within moments, while orders and rows of its last incarnation are on their way.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.OwnerOfOneWorker.Companion.EARLIER_OWNERS_RUN
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.IN_FLIGHT_MS
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.LAST_END
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.LATEST_ORDER_MS
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.LONGEST_LEASE_MS
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.ORDER_TIMEOUT_MS
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.OTHER
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.SETTLE_MS
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.START_GIVEN_UP_MS
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.STOP_MS
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.WORKER
import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.ports.EndRow
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.RunningRow
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.Step
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

/** Allowance of the owner for slow clocks and timeouts over the end of a late lease. */
private const val LATE_MARGIN_MS = 2_000L

/** Time in which a worker that does not answer is asked again. */
private const val RETRY_MS = 1_200L

/** A step of a worker's time of day, longer than the worker has been up. */
private const val CLOCK_STEP_MS = 60_000L

internal class WorkerDriverTest :
    DescribeSpec({
        describe("a term that has ended") {
            // Guards against looks at workers and timers that go on for good, one set for each term of an entry.
            it("neither asks workers for lists nor repeats stops") {
                val owner = OwnerOfOneWorker()
                owner.areStopAnswersLost = true
                owner.startTask()
                owner.pass(2 * ANSWER_MS)
                owner.cancelJob()
                owner.pass(SETTLE_MS)
                owner.mayOrder = false
                owner.driver.close()
                owner.pass(ORDER_TIMEOUT_MS)
                val holdCount = owner.holdCount
                val mayOrderCount = owner.mayOrderCount
                owner.pass(60_000)
                owner.holdCount shouldBe holdCount
                owner.mayOrderCount shouldBe mayOrderCount
            }
        }
        describe("a worker that is removed and listed again under its id") {
            // Guards against a start that no stored row records: the next owner would not wait for its run (TWICE).
            it("gets a start only once its new row is stored") {
                val owner = OwnerOfOneWorker()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.committer.put(RowKey(Table.PROGRESS, "other")) { "row" }
                owner.pass(IN_FLIGHT_MS)
                owner.driver.onWorkerTerminated(WORKER)
                owner.startAgain()
                owner.startTask()
                owner.pass(6 * ANSWER_MS)
                owner.wasRowStoredAtStart shouldBe listOf(true, true)
            }
        }
        describe("a worker beside whose row another program lists one of the same instance") {
            // Guards against runs that are started again because a row without a start names the instance of a running worker (TWICE).
            it("keeps its tasks if that row does not tell when its worker started") {
                val owner = OwnerOfOneWorker()
                owner.startAgain()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.listOther(bornWallMs = 0)
                owner.pass(ANSWER_MS)
                owner.task.worker?.id shouldBe WORKER
            }
            // Guards against runs that are started again because a program beside a running worker lists itself with a later start (TWICE).
            it("keeps its tasks and its instance while the other one does not answer as a worker") {
                val owner = OwnerOfOneWorker()
                owner.startAgain()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.isOtherWorker = false
                owner.listOther(bornWallMs = owner.time.nowMs)
                repeat(40) {
                    owner.passTicking(500)
                    owner.task.worker?.id shouldBe WORKER
                    owner.workerOfInstance shouldBe WORKER
                }
            }
            it("loses them if that worker started later") {
                val owner = OwnerOfOneWorker()
                owner.startAgain()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.listOther(bornWallMs = owner.time.nowMs)
                owner.pass(ANSWER_MS)
                owner.task.worker shouldBe null
            }
        }
        describe("a worker that ends, by the platform's list, while a start is on its way") {
            // Guards against a start that reaches the new incarnation while the task runs elsewhere (TWICE).
            it("keeps the task, and rejects the start when it starts again under its id (TWICE)") {
                val owner = OwnerOfOneWorker()
                owner.isUp = false
                owner.startTask()
                val run = owner.task.runNumber
                owner.pass(ANSWER_MS + IN_FLIGHT_MS)
                owner.wasRowStoredAtStart.size shouldBe 1
                owner.listInstanceAsDown()
                owner.pass(IN_FLIGHT_MS)
                owner.listInstanceAsDown()
                owner.task.worker?.id shouldBe WORKER
                owner.startAgain()
                owner.rejectsLateStart(run) shouldBe true
                owner.task.worker shouldBe null
            }

            // Guards against a task that waits for good for a worker that does not come back (LOST).
            it("frees the task once the start can no longer arrive (LOST)") {
                val owner = OwnerOfOneWorker()
                owner.isUp = false
                owner.startTask()
                owner.pass(ANSWER_MS + IN_FLIGHT_MS)
                repeat(2) {
                    owner.listInstanceAsDown()
                    owner.pass(IN_FLIGHT_MS)
                }
                owner.passTicking(LATEST_ORDER_MS + LATE_MARGIN_MS)
                owner.listInstanceAsDown()
                owner.task.worker shouldBe null
            }

            // Guards against a long-running task that is away for longer than the platform allows because an instance is down (LOST).
            it("frees a long-running task within 7 s (LOST)") {
                val owner = OwnerOfOneWorker(steps = listOf(Step(1, Demand(1_000, 100), isLongRunning = true)))
                owner.isUp = false
                owner.startTask()
                owner.pass(ANSWER_MS + IN_FLIGHT_MS)
                repeat(14) {
                    owner.passTicking(500)
                    owner.listInstanceAsDown()
                }
                owner.task.worker shouldBe null
            }

            // Guards against an instance that counts as down by old lists while its worker is back and begins a late start (TWICE).
            it("keeps the task for a whole lease longer if lists come no more (TWICE)") {
                val owner = OwnerOfOneWorker()
                owner.isUp = false
                owner.startTask()
                owner.pass(ANSWER_MS + IN_FLIGHT_MS)
                repeat(2) {
                    owner.listInstanceAsDown()
                    owner.pass(IN_FLIGHT_MS)
                }
                owner.passTicking(LATEST_ORDER_MS + LATE_MARGIN_MS)
                owner.task.worker.shouldNotBeNull()
                owner.passTicking(LONGEST_LEASE_MS)
                owner.task.worker.shouldBeNull()
            }

            // Guards against the same wait where the instance has another worker, which proves that this one has left.
            it("frees the task at once if its instance has another worker") {
                val owner = OwnerOfOneWorker()
                owner.isUp = false
                owner.startTask()
                owner.pass(ANSWER_MS + IN_FLIGHT_MS)
                repeat(2) {
                    owner.listInstanceWith(OTHER)
                    owner.pass(IN_FLIGHT_MS)
                }
                owner.task.worker shouldBe null
            }
        }
        describe("a worker whose unanswered start was stopped") {
            // Guards against a late start in a new incarnation, which has no record of the stop, while the task runs elsewhere (TWICE).
            it("rejects that run as well when it starts again under its id") {
                val owner = OwnerOfOneWorker()
                owner.areStartAnswersLost = true
                owner.startTask()
                val run = owner.task.runNumber
                owner.pass(ANSWER_MS + START_GIVEN_UP_MS + STOP_MS)
                owner.stoppedRuns shouldContain run
                owner.task.worker shouldBe null
                owner.startAgain()
                owner.rejectsLateStart(run) shouldBe true
            }
        }
        describe("a worker of which one answer to a hold is lost") {
            // Guards against a pool that loses a fifth of its capacity when one order in 20 gets no answer.
            it("takes new tasks as soon as it answers the next hold") {
                val owner = OwnerOfOneWorker()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.lostHoldAnswers = 1
                owner.waitUntil { owner.lostHoldAnswers == 0 }
                owner.pass(ORDER_TIMEOUT_MS + ANSWER_MS)
                owner.isUsable shouldBe true
            }
            it("takes no new tasks once it leaves two holds in a row unanswered") {
                val owner = OwnerOfOneWorker()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.lostHoldAnswers = 2
                owner.waitUntil { owner.lostHoldAnswers == 0 }
                owner.pass(ORDER_TIMEOUT_MS + ANSWER_MS)
                owner.isUsable shouldBe false
            }
        }
        describe("a worker that starts again under its id after the answer to a lease extension was lost") {
            // Guards against a task started elsewhere while a late hold, by the clock of the last incarnation, keeps its run going (TWICE).
            it("keeps its tasks while that order can still extend their lease, and no longer") {
                val owner = OwnerOfOneWorker()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.lostHoldAnswers = 1
                owner.waitUntil { owner.lostHoldAnswers == 0 }
                val lostAtMs = owner.time.nowMs
                owner.startAgain()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.isUp = false
                owner.passTicking(lostAtMs + LATEST_ORDER_MS + LONGEST_LEASE_MS - owner.time.nowMs)
                owner.task.worker.shouldNotBeNull()
                owner.passTicking(LATE_MARGIN_MS)
                owner.task.worker.shouldBeNull()
            }
            it("frees its tasks at the end of their lease if that order was answered") {
                val owner = OwnerOfOneWorker()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.isUp = false
                owner.passTicking(LONGEST_LEASE_MS)
                owner.task.worker.shouldBeNull()
                owner.startAgain()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.isUp = false
                owner.passTicking(LONGEST_LEASE_MS)
                owner.task.worker.shouldBeNull()
            }
        }
        describe("a worker that starts again under its id and is not reached") {
            // Guards against a task started elsewhere while a late start of an earlier owner runs in the new incarnation (TWICE).
            it("keeps its tasks until the new incarnation has answered") {
                val owner = OwnerOfOneWorker()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.startAgainUnreached()
                owner.task.worker.shouldNotBeNull()
                owner.isUp = true
                owner.pass(RETRY_MS)
                owner.task.worker.shouldBeNull()
            }

            // Guards against the same where the new incarnation is found to run the task: it must not be started elsewhere beside it.
            it("goes on with the run of a task that the new incarnation lists, whatever its number") {
                val owner = OwnerOfOneWorker()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.runningRows = listOf(RunningRow(owner.task.id, EARLIER_OWNERS_RUN, checkpoint = "", percent = 100))
                owner.startAgain()
                owner.task.worker.shouldNotBeNull()
                owner.task.runNumber shouldBe EARLIER_OWNERS_RUN
                owner.stoppedRuns.shouldBeEmpty()
            }
        }
        describe("a worker that starts again under its id after its clock was set back") {
            // Guards against lists that are taken for those of an earlier incarnation, so that runs count as going on for good (LOST).
            it("frees the tasks that it does not list") {
                val owner = OwnerOfOneWorker()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.isUp = false
                owner.pass(RETRY_MS)
                owner.startAgain(clockStepMs = CLOCK_STEP_MS)
                owner.pass(RETRY_MS)
                owner.task.worker.shouldBeNull()
            }
        }
        describe("an acknowledgement of ended runs") {
            /** An owner that has read the last end of its worker and has not stored it yet. */
            fun ownerWithLastEnd(): OwnerOfOneWorker {
                val owner = OwnerOfOneWorker()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                owner.endedRows = listOf(EndRow(LAST_END, owner.task.id, owner.task.runNumber, EndKind.STOPPED, checkpoint = ""))
                owner.waitUntil { owner.driver.find(WORKER)?.processedEnd == LAST_END }
                owner.acknowledgements.clear()
                return owner
            }

            // Guards against an order by the count of the last incarnation that makes the next one drop ends nobody has read (TWICE).
            it("is not repeated once the worker has answered it") {
                val owner = ownerWithLastEnd()
                owner.waitUntil { LAST_END in owner.acknowledgements }
                owner.pass(SETTLE_MS)
                owner.acknowledgements.clear()
                owner.startTask()
                owner.pass(STOP_MS)
                owner.acknowledgements.toSet() shouldBe setOf(0L)
            }

            // Guards against the same by the first order after a silence, in which the worker may have started again.
            it("is not sent to a worker that left the last order unanswered") {
                val owner = ownerWithLastEnd()
                owner.lostHoldAnswers = 1
                owner.waitUntil { owner.lostHoldAnswers == 0 }
                owner.acknowledgements shouldBe listOf(LAST_END)
                owner.pass(ORDER_TIMEOUT_MS + RETRY_MS)
                owner.acknowledgements.take(3) shouldBe listOf(LAST_END, 0L, LAST_END)
            }
        }
        describe("a start without an answer on a worker that runs other tasks") {
            // Guards against a task that waits for the end of another run before it may start elsewhere.
            it("frees the task as soon as the stop is answered") {
                val owner = OwnerOfOneWorker()
                owner.areStartAnswersLost = true
                owner.startTask()
                owner.pass(ANSWER_MS + START_GIVEN_UP_MS + SETTLE_MS)
                owner.task.worker shouldBe null
            }
        }
        describe("a worker that starts again under its id while a hold of its last incarnation is on its way") {
            // Guards against a start of an earlier owner that the new incarnation still takes, as it has seen no fence (TWICE).
            it("is held at once") {
                val owner = OwnerOfOneWorker()
                owner.startTask()
                owner.pass(4 * ANSWER_MS)
                val before = owner.holdCount
                owner.startAgain()
                owner.holdCount shouldBeGreaterThan before
            }

            // Guards against the same where this owner has not heard of the last incarnation.
            it("is held at once by an owner that has not reached it before") {
                val owner = OwnerOfOneWorker(isUp = false, failedHoldMs = ORDER_TIMEOUT_MS)
                val before = owner.holdCount
                owner.startAgain()
                owner.holdCount shouldBeGreaterThan before
            }
        }
    })
