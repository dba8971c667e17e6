/*
 * Guards against tasks that stay away although there is capacity (LOST): the workers of tasks under which several workers had crashed
 * took nothing else until these had run for ten seconds.
 */
package io.corianderrock.jobs.placement

import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private const val STARTED_AT_MS = 10_000L
private const val STARTED_CLOCK_MS = 2_000L

private fun suspect(): TaskRun {
    val step = Step(1, Demand(1_000, 500), isLongRunning = true)
    val submission = JobSubmission("job", Queue("queue", "pool"), "spec", listOf(step))
    val job = JobRun(submission, isInherited = false, acceptedAtMs = 0)
    return job.addOccurrence(0, 0).steps.first().tasks.first().apply {
        listOf(1L, 2L).forEach(::addCrashedRun)
        startedAtMs = STARTED_AT_MS
    }
}

/** A worker that has last reported [task] in [phase] when its clock was [ageMs] past the start. */
private fun workerWith(
    task: TaskRun,
    phase: TaskPhase,
    ageMs: Long,
): WorkerView =
    WorkerView(WorkerEntry("w", "w", "pool", "dc", "m", Demand(8_000, 32_000), listOf("kind"), false, null, 0)).also {
        it.addRun(task)
        it.listedClockMs = STARTED_CLOCK_MS + ageMs
        it.lastReportedAtMs = STARTED_AT_MS + ageMs
        task.worker = it
        task.phase = phase
    }

internal class CrashIsolationTest :
    DescribeSpec({
        describe("the worker of a task under which two workers have crashed") {
            it("takes no other task while the start is not answered") {
                WorkerCapacity(workerWith(suspect(), TaskPhase.STARTING, ageMs = 5_000)).isReserved shouldBe true
            }
            it("takes no other task before a report shows that the task has survived its start") {
                val task = suspect().apply { startedClockMs = STARTED_CLOCK_MS }
                WorkerCapacity(workerWith(task, TaskPhase.RUNNING, ageMs = 499)).isReserved shouldBe true
            }
            it("takes other tasks after that") {
                val task = suspect().apply { startedClockMs = STARTED_CLOCK_MS }
                WorkerCapacity(workerWith(task, TaskPhase.RUNNING, ageMs = 500)).isReserved shouldBe false
            }
            // A start that waits for the store is sent later than it was decided.
            it("counts the age of the run by the worker's clock") {
                val task = suspect().apply { startedClockMs = STARTED_CLOCK_MS + 400 }
                WorkerCapacity(workerWith(task, TaskPhase.RUNNING, ageMs = 800)).isReserved shouldBe true
            }
            it("takes other tasks once an adopted run has been reported for long enough") {
                WorkerCapacity(workerWith(suspect(), TaskPhase.RUNNING, ageMs = 499)).isReserved shouldBe true
                WorkerCapacity(workerWith(suspect(), TaskPhase.RUNNING, ageMs = 500)).isReserved shouldBe false
            }
        }
    })
