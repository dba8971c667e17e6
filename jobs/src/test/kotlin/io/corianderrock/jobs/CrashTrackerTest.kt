/*
 * Covers to whom crashes are attributed: those of several workers of one rack at a time to the rack, others to the tasks there.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.runs.Committer
import io.corianderrock.jobs.runs.CrashTracker
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobState
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView
import io.corianderrock.jobs.world.SilentTables
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

/** Workers of two racks, on which the tasks of jobs run. */
private class Racks {
    private val time = SimTime()
    private val loop = SimLoop(time)
    private val registry =
        JobRegistry(loop, Committer(loop, SilentTables, { _, _ -> }, OwnerRow("e", "e", 1, 1), 1, { 0 }, {})) { _, _ -> }
    private val tracker = CrashTracker(loop, registry) { _, _ -> }
    val first = worker("w-0", "rack-a")
    val second = worker("w-1", "rack-a")
    val ofOtherRack = worker("w-2", "rack-b")

    private fun worker(
        id: String,
        rack: String,
    ) = WorkerView(WorkerEntry(id, id, "pool", "dc", "m-$id", Demand(8_000, 32_000), listOf("kind", rack), false, null, 0))

    fun tasks(
        jobId: String,
        count: Int,
        isLongRunning: Boolean = false,
    ): List<TaskRun> {
        val step = Step(count, Demand(1_000, 500), isLongRunning = isLongRunning)
        return registry.load(JobSubmission(jobId, Queue("queue", "pool"), "spec", listOf(step)), null, isInherited = false).tasks.toList()
    }

    /** Starts a run of [task] on [worker], whose last report shows it at the age of [ageMs]. */
    fun run(
        task: TaskRun,
        worker: WorkerView,
        ageMs: Long = 2_000,
    ) {
        task.phase = TaskPhase.STARTING
        task.worker = worker
        task.runNumber++
        task.startedAtMs = time.nowMs
        worker.addRun(task)
        worker.lastReportedAtMs = time.nowMs + ageMs
    }

    fun lose(worker: WorkerView) = tracker.onContactLost(worker)

    fun regain(worker: WorkerView) = tracker.onAnswered(worker)

    fun end(worker: WorkerView) {
        val runs = tracker.interruptedRunsOf(worker)
        worker.releaseRuns(time.nowMs)
        tracker.onEnded(worker, runs)
    }

    fun pass(ms: Long) = time.runUntil(time.nowMs + ms)
}

internal class CrashTrackerTest :
    DescribeSpec({
        describe("a crash of several workers of a rack") {
            // Guards against jobs that are blamed for a rack without power (review/3).
            it("counts under no task") {
                val racks = Racks()
                val tasks = racks.tasks("job", 2)
                racks.run(tasks[0], racks.first)
                racks.run(tasks[1], racks.second)
                racks.lose(racks.first)
                racks.lose(racks.second)
                racks.end(racks.first)
                racks.end(racks.second)
                tasks.map { it.crashedRuns.size } shouldBe listOf(0, 0)
            }
            // Guards against blame that stays if one worker is known to have ended before the others are missed.
            it("takes back what was counted before the second worker was lost") {
                val racks = Racks()
                val tasks = racks.tasks("job", 2)
                racks.run(tasks[0], racks.first)
                racks.run(tasks[1], racks.second)
                racks.lose(racks.first)
                racks.end(racks.first)
                tasks[0].crashedRuns.size shouldBe 1
                racks.pass(900)
                racks.lose(racks.second)
                racks.end(racks.second)
                tasks.map { it.crashedRuns.size } shouldBe listOf(0, 0)
            }
            // Guards against a job whose tasks crash the workers of one rack at once, and that would never be given up.
            it("counts under tasks that had just been started, and not under one that ran before") {
                val racks = Racks()
                val tasks = racks.tasks("deadly", 2)
                val other = racks.tasks("other", 1).single()
                repeat(3) {
                    racks.run(tasks[0], racks.first, ageMs = 0)
                    racks.run(tasks[1], racks.second, ageMs = 0)
                    racks.run(other, racks.second)
                    racks.lose(racks.first)
                    racks.lose(racks.second)
                    racks.end(racks.first)
                    racks.end(racks.second)
                    racks.pass(5_000)
                }
                tasks[0].stepRun.job.state shouldBe JobState.FAILED
                other.crashedRuns.size shouldBe 0
            }
        }
        describe("crashes of workers of a rack under tasks of different jobs") {
            // Guards against deadly tasks that excuse each other, as they lose workers of one rack at a time (BUDGET).
            it("count under each task that had just been started") {
                val racks = Racks()
                val tasks = listOf("one", "other").map { racks.tasks(it, 1).single() }
                repeat(3) {
                    racks.run(tasks[0], racks.first, ageMs = 0)
                    racks.run(tasks[1], racks.second, ageMs = 0)
                    racks.lose(racks.first)
                    racks.lose(racks.second)
                    racks.end(racks.first)
                    racks.end(racks.second)
                    racks.pass(5_000)
                }
                tasks.map { it.stepRun.job.state } shouldBe listOf(JobState.FAILED, JobState.FAILED)
            }
        }
        describe("a crash of a single worker") {
            // Guards against excuses by crashes elsewhere or at another time, with which a deadly task would never be given up.
            it("counts, whatever is lost in other racks or later") {
                val racks = Racks()
                val tasks = racks.tasks("job", 3)
                racks.run(tasks[0], racks.first)
                racks.run(tasks[2], racks.ofOtherRack)
                racks.lose(racks.first)
                racks.lose(racks.ofOtherRack)
                racks.end(racks.first)
                racks.end(racks.ofOtherRack)
                racks.pass(1_100)
                racks.run(tasks[1], racks.second)
                racks.lose(racks.second)
                racks.end(racks.second)
                tasks.map { it.crashedRuns.size } shouldBe listOf(1, 1, 1)
            }
            it("counts beside a worker that has answered again") {
                val racks = Racks()
                val tasks = racks.tasks("job", 2)
                racks.run(tasks[0], racks.first)
                racks.run(tasks[1], racks.second)
                racks.lose(racks.first)
                racks.lose(racks.second)
                racks.regain(racks.second)
                racks.end(racks.first)
                tasks.map { it.crashedRuns.size } shouldBe listOf(1, 0)
            }
        }
        describe("the fourth crash and more under a task that lasts") {
            // Guards against a job that lasts and is given up, and against a progress row that grows with each crash.
            it("neither end its job nor make its progress grow without bound") {
                val racks = Racks()
                val task = racks.tasks("lasting", 1, isLongRunning = true).single()
                repeat(20) {
                    racks.run(task, racks.first, ageMs = 0)
                    racks.lose(racks.first)
                    racks.end(racks.first)
                    racks.pass(5_000)
                }
                task.stepRun.job.state.isFinal shouldBe false
                task.crashedRuns.size shouldBe 8
            }
        }
    })
