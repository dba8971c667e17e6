/*
 * An owner of this version beside rows that a later version has stored, as while entries are replaced one after the other: it cannot read
 * them, and must not conclude that there is no job, or that none of its tasks has run.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.InboxOfOneOwner.Companion.JOB
import io.corianderrock.jobs.accounts.JobAccess
import io.corianderrock.jobs.entry.CallerAnswer
import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.ports.EndRow
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.runs.CancelResult
import io.corianderrock.jobs.runs.SubmitResult
import io.corianderrock.jobs.runs.storedJson
import io.corianderrock.jobs.state.JobState
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.TaskId
import io.corianderrock.jobs.state.TaskPositions
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.maps.shouldContainKey
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private const val RUN_MS = 2_000L
private const val EARLIER_RUN = 1L

/** Ends that a worker lists at once. */
private const val LISTED_ENDS = 500

private val JOB_KEY = RowKey(Table.JOBS, JOB.id)
private val PROGRESS_KEY = RowKey(Table.PROGRESS, JOB.id)
private val GROUP_KEY = TaskPositions.groupKey(JOB.id, group = 0)
private val RUNNING_TASK = TaskId(JOB.id, occurrence = 0, step = 0, index = 0)
private val ENDED_TASK = RUNNING_TASK.copy(index = 1)

/** What a later version may store: forms that are not decoded, and jobs and progress beyond what this one allows. */
private val UNREADABLE_ROWS =
    mapOf(
        "a job in another form" to mapOf(JOB_KEY to """{"form":2}"""),
        "a job with more tasks than are allowed" to mapOf(JOB_KEY to encode(JOB.copy(steps = listOf(Step(30_000))))),
        "progress in another form" to mapOf(JOB_KEY to encode(JOB), PROGRESS_KEY to """{"state":"PAUSED"}"""),
        "progress with another bitmap" to mapOf(JOB_KEY to encode(JOB), PROGRESS_KEY to """{"state":"ACTIVE","doneBitmap":"%"}"""),
        "failed runs in another form" to mapOf(JOB_KEY to encode(JOB), GROUP_KEY to """{"failedRuns":[1]}"""),
    )

private fun encode(job: JobSubmission) = storedJson.encodeToString(JobSubmission.serializer(), job)

private fun ownerBeside(rows: Map<RowKey, String>): InboxOfOneOwner {
    val owner = InboxOfOneOwner(hadEarlierOwner = true, rowsBefore = rows)
    owner.running[RUNNING_TASK] = owner.time.nowMs
    owner.endedRows = listOf(EndRow(1, ENDED_TASK, EARLIER_RUN, EndKind.DONE, checkpoint = ""))
    return owner
}

internal class UnreadableJobTest :
    DescribeSpec({
        for ((what, rows) in UNREADABLE_ROWS) {
            describe("an owner that finds $what") {
                // Guards against ends that are lost for a later owner, whose tasks it starts again (TWICE).
                it("does not acknowledge the end of a task of the job") {
                    val owner = ownerBeside(rows)
                    owner.pass(RUN_MS)
                    owner.acknowledgedEnd shouldBe 0
                }

                // Guards against tasks that have run and are started again (TWICE).
                it("lets a run of the job go on and starts no task of it") {
                    val owner = ownerBeside(rows)
                    // Only the progress may tell that the other task has ended.
                    owner.endedRows = emptyList()
                    owner.pass(RUN_MS)
                    owner.running shouldContainKey RUNNING_TASK
                    owner.startsAtMs.shouldBeEmpty()
                }

                // Guards against an accepted job that is said not to exist (LOST).
                it("tells callers neither that there is no job nor a state of it") {
                    val owner = ownerBeside(rows)
                    owner.pass(RUN_MS)
                    owner.scheduler.state(JOB.id).isAvailable shouldBe false
                    var cancelled: CancelResult? = null
                    owner.scheduler.cancel(JOB.id, JobAccess.ALL) { cancelled = it }
                    cancelled shouldBe CancelResult.UNAVAILABLE
                }

                // Guards against a job that is begun anew as its caller sends it once more (TWICE).
                it("accepts the job when it is sent again, and does not begin it") {
                    val owner = ownerBeside(rows)
                    owner.pass(RUN_MS)
                    var submitted: SubmitResult? = null
                    owner.scheduler.submit(JOB) { submitted = it }
                    owner.pass(RUN_MS)
                    submitted shouldBe SubmitResult.Accepted
                    owner.startsAtMs.shouldBeEmpty()
                }

                it("keeps its rows") {
                    val owner = ownerBeside(rows)
                    owner.pass(RUN_MS)
                    rows.keys.filterNot(owner::isStored).shouldBeEmpty()
                }
            }
        }
        describe("an owner that looks up the job of a listed run") {
            // Guards against a job that is left out when all are loaded and begun anew when it is looked up (TWICE).
            it("does not begin the job if it cannot be read") {
                val owner = InboxOfOneOwner(hadEarlierOwner = true)
                owner.pass(RUN_MS)
                UNREADABLE_ROWS.getValue("a job with more tasks than are allowed").forEach(owner::put)
                owner.running[RUNNING_TASK] = owner.time.nowMs
                owner.pass(RUN_MS)
                owner.running shouldContainKey RUNNING_TASK
                owner.startsAtMs.shouldBeEmpty()
            }
        }
        describe("ends of another job behind one that cannot be read") {
            val other = JOB.copy(id = "other")
            val rows = mapOf(JOB_KEY to """{"form":2}""", RowKey(Table.JOBS, other.id) to encode(other))

            // Guards against jobs that are held up by one that cannot be read (LOST).
            it("are recorded") {
                val owner = ownerBeside(rows)
                owner.endedRows += listOf(0, 1).map { EndRow(2L + it, TaskId(other.id, 0, 0, it), EARLIER_RUN, EndKind.DONE, "") }
                owner.pass(RUN_MS)
                owner.scheduler.state(other.id).state shouldBe JobState.COMPLETE
            }

            // Guards against a worker whose list is full, so that none of its further ends is seen (LOST).
            it("are acknowledged before the worker's list is full") {
                val owner = ownerBeside(rows)
                owner.endedRows += List(LISTED_ENDS - 1) { EndRow(2L + it, TaskId(other.id, 0, 0, 0), 2L + it, EndKind.STOPPED, "") }
                owner.pass(RUN_MS)
                owner.acknowledgedEnd shouldBe LISTED_ENDS
            }
        }
        describe("an entry that cannot reach the owner") {
            for (what in listOf("a job in another form", "progress in another form")) {
                // Guards against an accepted job that is said not to exist, or not to have begun (LOST).
                it("does not tell a state if it finds $what") {
                    val owner = ownerBeside(UNREADABLE_ROWS.getValue(what))
                    owner.askElsewhere(JOB).shouldBeInstanceOf<CallerAnswer.NotApplied>()
                }
            }
        }
    })
