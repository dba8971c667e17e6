/*
 * An owner may store the effect of an ended run, but lose the ownership before it stores the run as processed in the
 * worker's lease row. The worker then lists the run again to the next owner, which must not count it twice.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.runs.Committer
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobProgress
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.JobState
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.StepProgress
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private const val STORED_RUN = 7L

/** A job with two attempts per task, loaded from the store with one attempt used. */
private class InheritedJob {
    private val time = SimTime()
    private val loop = SimLoop(time)
    private val committer = Committer(loop, SlowTables(time), { _, _ -> }, OwnerRow("e", "e", 1, 1), 1, { 0 }, {})
    private val registry = JobRegistry(loop, committer) { _, _ -> }
    private val submission = JobSubmission("job", Queue("queue", "pool", maxAttempts = 2), "spec", listOf(Step(1, Demand(1_000, 100))))
    private val progress =
        JobProgress(JobState.ACTIVE, listOf(StepProgress(occurrence = 0, step = 0, failedRuns = mapOf(0 to listOf(STORED_RUN)))))
    val job: JobRun = registry.load(submission, progress, isInherited = true)

    fun fail(runNumber: Long) = registry.taskFailed(job.tasks.first(), runNumber)
}

internal class JobRegistryTest :
    DescribeSpec({
        describe("a failed run whose effect was stored, but not that it was processed") {
            it("does not use up another attempt") {
                val inherited = InheritedJob()
                inherited.fail(STORED_RUN)
                inherited.job.state shouldBe JobState.ACTIVE
            }
            it("counts the next failure") {
                val inherited = InheritedJob()
                inherited.fail(STORED_RUN)
                inherited.fail(STORED_RUN + 1)
                inherited.job.state shouldBe JobState.FAILED
            }
        }
    })
