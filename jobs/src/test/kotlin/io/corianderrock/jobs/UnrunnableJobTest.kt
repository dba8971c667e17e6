/*
 * An owner that finds a job of an earlier version in the store, whose numbers no version can compute with. Guards against a row that ends
 * one owner after the other, with all jobs that were accepted before (LOST).
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.InboxOfOneOwner.Companion.JOB
import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.ports.EndRow
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.runs.InboxMessage
import io.corianderrock.jobs.runs.SubmitResult
import io.corianderrock.jobs.runs.storedJson
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobProgress
import io.corianderrock.jobs.state.JobState
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.StepProgress
import io.corianderrock.jobs.state.TaskId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe

private const val PASS_MS = 2_000L
private const val RETAINED_MS = 170_000L

/** Its number of tasks overflows to a negative one in 64 bits. */
private val UNRUNNABLE =
    JOB.copy(id = "huge", steps = List(3) { Step(Int.MAX_VALUE, Demand(1_000, 100)) }, times = Int.MAX_VALUE, intervalMs = 1_000)
private val HUGE_KEY = RowKey(Table.JOBS, UNRUNNABLE.id)

private fun encode(job: JobSubmission) = storedJson.encodeToString(JobSubmission.serializer(), job)

private fun tasksOf(job: JobSubmission) = List(2) { TaskId(job.id, 0, 0, it) }

internal class UnrunnableJobTest :
    DescribeSpec({
        describe("an owner that loads a job with more tasks than 64 bits can count") {
            it("runs the other jobs, tells that it has failed, and deletes it like others") {
                val owner = InboxOfOneOwner(hadEarlierOwner = true, storedBefore = listOf(UNRUNNABLE, JOB))
                owner.pass(PASS_MS)
                owner.running.keys shouldContainExactlyInAnyOrder tasksOf(JOB)
                owner.scheduler.state(UNRUNNABLE.id).state shouldBe JobState.FAILED
                owner.pass(RETAINED_MS)
                owner.isStored(HUGE_KEY) shouldBe false
                owner.isStored(RowKey(Table.PROGRESS, UNRUNNABLE.id)) shouldBe false
            }
            it("takes no task of it from a worker's list") {
                val owner = InboxOfOneOwner(hadEarlierOwner = true, storedBefore = listOf(UNRUNNABLE))
                owner.endedRows = listOf(EndRow(1, tasksOf(UNRUNNABLE).first(), 1, EndKind.DONE, checkpoint = ""))
                owner.pass(PASS_MS)
                owner.acknowledgedEnd shouldBe 1
            }
        }
        describe("an owner that learns of such a job in its term") {
            it("runs the other jobs if another entry has stored it") {
                val owner = InboxOfOneOwner()
                owner.storeElsewhere(JOB)
                owner.put(HUGE_KEY, encode(UNRUNNABLE))
                owner.put(InboxMessage(UNRUNNABLE.id, isCancel = false).key, "1")
                owner.pass(PASS_MS)
                owner.running.keys shouldContainExactlyInAnyOrder tasksOf(JOB)
                owner.scheduler.state(UNRUNNABLE.id).state shouldBe JobState.FAILED
            }
            it("refuses it if a peer that has not checked it passes it on") {
                val owner = InboxOfOneOwner()
                owner.pass(PASS_MS)
                var result: SubmitResult? = null
                owner.scheduler.submit(UNRUNNABLE) { result = it }
                owner.pass(PASS_MS)
                (result is SubmitResult.Rejected) shouldBe true
                owner.isStored(HUGE_KEY) shouldBe false
            }
        }
        describe("an owner that loads a job with absurd numbers that do not change its tasks") {
            it("runs it, as an earlier version would have") {
                val steps = listOf(Step(2, Demand(1_000, 100), estimateMs = Long.MAX_VALUE, maxPerWorker = Int.MAX_VALUE))
                val queue = JOB.queue.copy(maxAttempts = Int.MIN_VALUE, stretchFactor = 1e300, targetLatencyMs = Long.MAX_VALUE)
                val owner = InboxOfOneOwner(hadEarlierOwner = true, storedBefore = listOf(JOB.copy(queue = queue, steps = steps)))
                owner.pass(PASS_MS)
                owner.running.keys shouldContainExactlyInAnyOrder tasksOf(JOB)
            }
        }
        describe("an owner that loads progress of occurrences that a job does not have") {
            it("keeps no tasks of them") {
                val progress = JobProgress(JobState.ACTIVE, List(100) { StepProgress(Int.MAX_VALUE - it, 0, listOf(0)) })
                val rows = mapOf(RowKey(Table.PROGRESS, JOB.id) to storedJson.encodeToString(JobProgress.serializer(), progress))
                val owner = InboxOfOneOwner(hadEarlierOwner = true, storedBefore = listOf(JOB), rowsBefore = rows)
                owner.endedRows = tasksOf(JOB).mapIndexed { index, task -> EndRow(1L + index, task, 1, EndKind.DONE, checkpoint = "") }
                owner.pass(PASS_MS)
                owner.scheduler.state(JOB.id).state shouldBe JobState.COMPLETE
            }
        }
    })
