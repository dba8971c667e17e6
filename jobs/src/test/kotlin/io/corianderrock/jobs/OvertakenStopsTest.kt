/*
 * Stops, starts and lists whose answers overtake each other, in one incarnation of a worker.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.OwnerOfScriptedWorkers.Companion.LOST
import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.ports.EndRow
import io.corianderrock.jobs.ports.RunningRow
import io.corianderrock.jobs.ports.StartRefusal
import io.corianderrock.jobs.ports.WorkerAnswer
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobState
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

/** Longer than the retries of orders and lists take. */
private const val LONG_MS = 5_000L

/** Time after which a stop is sent again that a responsive worker has not answered. */
private const val STOP_INTERVAL_MS = 250

internal class OvertakenStopsTest :
    DescribeSpec({
        describe("the stop of an earlier run that is answered after the run's end was listed") {
            // Guards against a place that is freed by the answered stop of another run while start and stop are on their way (LIMIT).
            it("does not free the place of the next run (LIMIT)") {
                val owner = ownerWithAnsweredStopOfEarlierRun()
                owner.cancelJob()
                owner.pass(100)
                owner.tasks[0].worker.shouldNotBeNull()
            }

            // Guards against a lost stop that is not repeated, as the answered stop of another run counts for it (UNASKED).
            it("does not end the stops of the next run (UNASKED)") {
                val owner = ownerWithAnsweredStopOfEarlierRun()
                val run = owner.tasks[0].runNumber
                owner.cancelJob()
                owner.passTicking(200)
                owner.running["w0"] = listOf(owner.tasks[0].row())
                owner.passTicking(LONG_MS)
                owner.stops.count { it.second == run } shouldBeGreaterThan 1
            }
        }
        describe("a start on its way whose task is completed by the end of another run") {
            /** An owner whose list ends the task while its start is not answered and its stops are lost. */
            fun owner() =
                OwnerOfScriptedWorkers().apply {
                    onStart = { _, _ -> LOST }
                    onStop = { _, _ -> LOST }
                    ended = listOf(EndRow(1, tasks[0].id, 7, EndKind.DONE, ""))
                    driver.start(tasks[0], worker())
                    passUntil { tasks[0].phase == TaskPhase.DONE }
                }

            // Guards against a place that counts as free by a list that was made before the stop, while the run may still begin (LIMIT).
            it("keeps its place until its stop is answered (LIMIT)") {
                val owner = owner()
                owner.pass(20)
                owner.worker().isEmpty shouldBe false
            }
            // Guards against a lost stop that is not repeated because no list shows the run yet (UNASKED).
            it("is told to stop until that is answered") {
                val owner = owner()
                owner.passTicking(3_000)
                owner.stops.size shouldBeGreaterThan 1
            }
        }
        describe("a gang of which one member was not started") {
            // Guards against members that wait for the others until their timeout (GANG).
            it("has its other members stopped (GANG)") {
                val owner = OwnerOfScriptedWorkers(Step(2, Demand(1_000, 100), isGang = true), workerCount = 2)
                owner.onStart = { entry, _ ->
                    1L to if (entry.id == "w1") WorkerAnswer.Refused(StartRefusal.EXPIRED, 0) else owner.done()
                }
                owner.tasks.forEachIndexed { index, task -> owner.driver.start(task, owner.worker(index)) }
                val run = owner.tasks[0].runNumber
                owner.running["w0"] = listOf(owner.tasks[0].row())
                owner.passTicking(LONG_MS)
                owner.stops shouldContain ("w0" to run)
            }
        }
        describe("a start whose answer is overtaken") {
            // Guards against a refusal that takes away a run that a list has shown (TWICE).
            it("keeps its run if a list has shown it and the answer is a refusal (TWICE)") {
                val owner = OwnerOfScriptedWorkers()
                val task = owner.tasks[0]
                owner.onStart = { _, _ -> 690L to WorkerAnswer.Refused(StartRefusal.OLD_RUN, 0) }
                owner.running["w0"] = listOf(task.row(runNumber = 1_001))
                owner.driver.start(task, owner.worker())
                owner.passUntil { task.phase == TaskPhase.RUNNING }
                owner.pass(700)
                task.phase shouldBe TaskPhase.RUNNING
                task.runNumber shouldBe 1_001
            }
            // Guards against a place that stays occupied by a run that the stop has kept from beginning (LOST).
            it("frees its place if it is refused because the stop came first") {
                val owner = OwnerOfScriptedWorkers()
                owner.onStart = { _, _ -> 300L to WorkerAnswer.Refused(StartRefusal.OLD_RUN, 0) }
                owner.onStop = { _, _ -> LOST }
                owner.driver.start(owner.tasks[0], owner.worker())
                owner.pass(20)
                owner.cancelJob()
                owner.pass(350)
                owner.tasks[0].worker.shouldBeNull()
            }

            // Guards against two series of stops for one run, at twice the calls.
            it("has its stop repeated in one series if neither is answered") {
                val owner = OwnerOfScriptedWorkers()
                owner.onStart = { _, _ -> LOST }
                owner.onStop = { _, _ -> LOST }
                owner.driver.start(owner.tasks[0], owner.worker())
                owner.pass(20)
                owner.cancelJob()
                owner.passTicking(3_000)
                owner.stops.size shouldBe 1 + 3_000 / STOP_INTERVAL_MS
            }
        }
        describe("a run that is listed although it has to be gone") {
            // Guards against a stop that counts for good once it was answered, whatever lists show (UNASKED).
            it("is stopped again if it is listed long after its stop was answered (UNASKED)") {
                val owner = OwnerOfScriptedWorkers()
                val task = owner.tasks[0]
                owner.driver.start(task, owner.worker())
                owner.pass(50)
                owner.running["w0"] = listOf(task.row())
                owner.cancelJob()
                owner.passTicking(LONG_MS)
                owner.stops.size shouldBeGreaterThan 1
            }

            // Guards against a run that goes on for good because the end of its job, which sends the stops, did not reach it (UNASKED).
            it("is stopped if its job has ended without a stop (UNASKED)") {
                val owner = OwnerOfScriptedWorkers()
                val task = owner.tasks[0]
                owner.driver.start(task, owner.worker())
                owner.pass(50)
                owner.running["w0"] = listOf(task.row())
                owner.job.state = JobState.CANCELLED
                owner.passTicking(LONG_MS)
                owner.stops shouldContain ("w0" to task.runNumber)
            }
        }
        describe("a stop that is refused for its fence") {
            // Guards against an owner that goes on ordering other workers after a worker has seen the next owner.
            it("suspends the orders of the owner") {
                val owner = OwnerOfScriptedWorkers()
                owner.driver.start(owner.tasks[0], owner.worker())
                owner.pass(50)
                owner.onStop = { _, _ -> 1L to WorkerAnswer.Refused(StartRefusal.FENCE, 0) }
                owner.cancelJob()
                owner.pass(10)
                owner.fencedCount shouldBeGreaterThan 0
            }
        }
    })

private fun TaskRun.row(runNumber: Long = this.runNumber) = RunningRow(id, runNumber, checkpoint = "", percent = 100)

/** An owner with a start on its way whose task had an earlier run: its stop was answered after a list had shown its end. */
private fun ownerWithAnsweredStopOfEarlierRun(): OwnerOfScriptedWorkers {
    val owner = OwnerOfScriptedWorkers()
    val task = owner.tasks[0]
    owner.driver.start(task, owner.worker())
    owner.pass(50)
    val first = task.runNumber
    owner.running["w0"] = listOf(task.row())
    owner.pass(700)
    owner.onStop = { _, order -> if (order.runNumber == first) 690L to owner.done() else LOST }
    owner.driver.stop(task)
    owner.running["w0"] = emptyList()
    owner.ended = listOf(EndRow(1, task.id, first, EndKind.STOPPED, ""))
    owner.passUntil { task.phase == TaskPhase.WAITING }
    owner.holdMs = 30
    owner.passUntil { owner.logged.any { "run_stopped" in it } }
    owner.onStart = { _, _ -> LOST }
    owner.driver.start(task, owner.worker())
    owner.pass(2)
    return owner
}
