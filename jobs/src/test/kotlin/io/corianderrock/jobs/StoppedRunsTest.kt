/*
 * Stops of runs whose job or task is over, where the answers to orders are lost, overtake each other or come from a worker that has
 * started again since.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.OwnerOfOneWorker.Companion.EARLIER_OWNERS_RUN
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.IN_FLIGHT_MS
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.ORDER_TIMEOUT_MS
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.SETTLE_MS
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.STOP_MS
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.WORKER
import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.ports.EndRow
import io.corianderrock.jobs.ports.RunningRow
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.TaskId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

/** Time in which a stop is sent again whose last answer was lost. */
private const val RESENT_MS = 2_000L

/** Longer than the lease of a worker that runs short tasks, and shorter than a late order may take. */
private const val SHORT_LEASE_OVER_MS = 5_000L

/** Most of the 3.2 s in which a run of a cancelled job has to be gone. */
private const val STOPS_LOST_MS = 2_600L

internal class StoppedRunsTest :
    DescribeSpec({
        fun row(
            task: TaskId,
            runNumber: Long,
        ) = RunningRow(task, runNumber, checkpoint = "", percent = 100)

        /** An owner whose worker has left the start of a task without an answer; the job was cancelled since. */
        fun ownerOfCancelledStart(): OwnerOfOneWorker {
            val owner = OwnerOfOneWorker()
            owner.areStartAnswersLost = true
            owner.startTask()
            owner.pass(ANSWER_MS + ORDER_TIMEOUT_MS + IN_FLIGHT_MS)
            owner.cancelJob()
            return owner
        }

        describe("a run of a cancelled job on a worker that answers its holds and not its stops") {
            // Guards against stops that wait for each other's timeouts, so that a few lost ones outlast the time that a run may go on (UNASKED).
            it("is stopped soon after stops are answered again (UNASKED)") {
                val owner = OwnerOfOneWorker()
                owner.startTask()
                owner.waitUntil { owner.starts.isNotEmpty() }
                owner.pass(SETTLE_MS)
                val run = owner.starts.single().runNumber
                owner.runningRows = listOf(row(owner.task.id, run))
                owner.areStopAnswersLost = true
                owner.cancelJob()
                owner.pass(STOPS_LOST_MS)
                owner.areStopAnswersLost = false
                owner.pass(STOPS_LOST_MS / 10)
                owner.answeredStops shouldContain run
            }
            it("is stopped once if the first stop is answered late") {
                val owner = OwnerOfOneWorker()
                owner.startTask()
                owner.waitUntil { owner.starts.isNotEmpty() }
                owner.pass(SETTLE_MS)
                val run = owner.starts.single().runNumber
                owner.runningRows = listOf(row(owner.task.id, run))
                owner.stopAnswerMs = 600
                owner.cancelJob()
                owner.pass(700)
                owner.runningRows = emptyList()
                owner.endedRows = listOf(EndRow(1, owner.task.id, run, EndKind.STOPPED, ""))
                owner.pass(STOP_MS)
                owner.stoppedRuns.clear()
                owner.pass(2 * STOP_MS)
                owner.stoppedRuns.shouldBeEmpty()
            }
        }
        describe("a run of a cancelled job, listed beside one of a job that this owner has to look up") {
            // Guards against a stop that waits for the read of another job (UNASKED).
            it("is stopped while the other job cannot be read (UNASKED)") {
                val owner = OwnerOfOneWorker(finder = { _, onResult -> onResult(false) })
                owner.cancelJob()
                owner.runningRows = listOf(row(owner.task.id, EARLIER_OWNERS_RUN), row(TaskId("other", 0, 0, 0), EARLIER_OWNERS_RUN))
                owner.startAgain()
                owner.passTicking(STOP_MS)
                owner.answeredStops shouldContain EARLIER_OWNERS_RUN
            }
        }
        describe("two runs of one task of a cancelled job on one worker") {
            // Guards against a stop that is not sent because another run of the task was stopped there (UNASKED).
            it("are both stopped if the second begins after the first was stopped (UNASKED)") {
                val owner = OwnerOfOneWorker()
                owner.cancelJob()
                owner.runningRows = listOf(row(owner.task.id, EARLIER_OWNERS_RUN))
                owner.startAgain()
                owner.runningRows = listOf(row(owner.task.id, EARLIER_OWNERS_RUN + 1))
                owner.pass(STOP_MS)
                owner.answeredStops shouldContain EARLIER_OWNERS_RUN + 1
            }

            // Guards against a stop without an answer that is not repeated once another run of the task is listed (UNASKED).
            it("are both stopped if one is listed while the start of the other may arrive late (UNASKED)") {
                val owner = ownerOfCancelledStart()
                val run = owner.starts.first().runNumber
                owner.areStopAnswersLost = true
                owner.runningRows = listOf(row(owner.task.id, EARLIER_OWNERS_RUN))
                owner.startAgain()
                owner.answeredStops.clear()
                owner.pass(ORDER_TIMEOUT_MS)
                owner.areStopAnswersLost = false
                owner.pass(RESENT_MS)
                owner.rejectsLateStart(run) shouldBe true
            }
        }
        describe("a start that may arrive late at a worker that has started again, of a cancelled job") {
            // Guards against a stop that the last incarnation answered and that counts for the next one (UNASKED).
            it("is stopped there if the answer to the last incarnation's stop comes afterwards (UNASKED)") {
                val owner = OwnerOfOneWorker()
                owner.areStartAnswersLost = true
                owner.stopAnswerMs = 2 * SETTLE_MS
                owner.startTask()
                owner.waitUntil { owner.answeredStops.isNotEmpty() }
                val run = owner.answeredStops.single()
                owner.cancelJob()
                owner.areStopAnswersLost = true
                owner.answeredStops.clear()
                owner.startAgain()
                owner.pass(ORDER_TIMEOUT_MS)
                owner.areStopAnswersLost = false
                owner.pass(RESENT_MS)
                owner.rejectsLateStart(run) shouldBe true
            }

            // Guards against a run that is taken for stopped because the last incarnation answered its stop (UNASKED).
            it("is stopped there if the last incarnation had answered a stop of the listed run (UNASKED)") {
                val owner = OwnerOfOneWorker()
                owner.runningRows = listOf(row(owner.task.id, EARLIER_OWNERS_RUN))
                owner.startAgain()
                owner.cancelJob()
                owner.waitUntil { EARLIER_OWNERS_RUN in owner.answeredStops }
                owner.answeredStops.clear()
                owner.startAgain()
                owner.pass(STOP_MS)
                owner.answeredStops shouldContain EARLIER_OWNERS_RUN
            }

            // Guards against a stop without an answer that is given up because the first list does not show the run yet (UNASKED).
            it("is stopped there if the worker's list does not show it yet (UNASKED)") {
                val owner = ownerOfCancelledStart()
                val run = owner.starts.first().runNumber
                owner.pass(STOP_MS)
                owner.answeredStops.clear()
                owner.areStopAnswersLost = true
                owner.startAgain()
                owner.pass(ORDER_TIMEOUT_MS)
                owner.areStopAnswersLost = false
                owner.pass(RESENT_MS)
                owner.rejectsLateStart(run) shouldBe true
            }

            // Guards against a worker that was removed, which makes the owner forget what it has sent there (UNASKED).
            it("is stopped there if the worker was removed because its instance was moved (UNASKED)") {
                val owner = ownerOfCancelledStart()
                val run = owner.starts.first().runNumber
                owner.driver.onWorkerTerminated(WORKER)
                owner.answeredStops.clear()
                owner.areStopAnswersLost = true
                owner.startAgain()
                owner.pass(ORDER_TIMEOUT_MS)
                owner.areStopAnswersLost = false
                owner.pass(RESENT_MS)
                owner.rejectsLateStart(run) shouldBe true
            }
        }
        describe("a start without an answer on a worker that is silent until its lease is over, of a cancelled job") {
            // Guards against a run that begins while nobody asks the worker for lists (UNASKED).
            it("is stopped once the worker answers and lists it (UNASKED)") {
                val owner = OwnerOfOneWorker()
                owner.areStartAnswersLost = true
                owner.areStopAnswersLost = true
                owner.startTask()
                owner.waitUntil { owner.starts.isNotEmpty() }
                val run = owner.starts.first().runNumber
                owner.isUp = false
                owner.pass(ORDER_TIMEOUT_MS + IN_FLIGHT_MS)
                owner.cancelJob()
                owner.passTicking(SHORT_LEASE_OVER_MS)
                owner.task.worker.shouldNotBeNull()
                owner.isUp = true
                owner.areStopAnswersLost = false
                owner.runningRows = listOf(row(owner.task.id, run))
                owner.passTicking(RESENT_MS)
                owner.answeredStops shouldContain run
            }
        }
        describe("a gang member whose start is on its way when another member completes the gang") {
            // Guards against a stop without an answer that is given up because no list shows the run yet (UNASKED, TWICE).
            it("is stopped until the stop is answered (UNASKED)") {
                val owner = OwnerOfOneWorker(steps = listOf(Step(2, Demand(1_000, 100), isGang = true)))
                val (first, second) = owner.tasks
                owner.startTask(first)
                owner.pass(2 * ANSWER_MS)
                owner.areStartAnswersLost = true
                owner.areStopAnswersLost = true
                owner.startTask(second)
                val run = owner.starts.last().runNumber
                owner.endedRows = listOf(EndRow(1, first.id, first.runNumber, EndKind.DONE, checkpoint = ""))
                owner.pass(STOP_MS)
                owner.areStopAnswersLost = false
                owner.pass(RESENT_MS)
                owner.answeredStops shouldContain run
            }
        }
    })
