/*
 * Covers queries that are answered from the store: guards against reads that grow with the callers of one job, and against a job
 * that is shown as it was before what the entry has shown already.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.accounts.JobAccess
import io.corianderrock.jobs.entry.CallerAnswer
import io.corianderrock.jobs.entry.StoredJobService
import io.corianderrock.jobs.ports.ChangeResult
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.ReadResult
import io.corianderrock.jobs.ports.RowChange
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoreRefusal
import io.corianderrock.jobs.ports.StoredRow
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.runs.storedJson
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobProgress
import io.corianderrock.jobs.state.JobState
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.world.SilentTables
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

internal class StoredJobServiceTest :
    DescribeSpec({
        describe("queries of one job") {
            it("share a read for 100 ms, also one without progress and one that is refused") {
                for ((refusal, hasProgress) in listOf(null to true, null to false, StoreRefusal(700) to true)) {
                    val world = QueriedWorld()
                    world.refusal = refusal
                    world.hasProgress = hasProgress
                    repeat(100) {
                        world.query()
                        world.run(10)
                    }
                    world.run(10)
                    world.told.size shouldBe 100
                    world.readCount shouldBeLessThanOrEqual 2 * 10
                }
            }
            it("do not share one that was sent more than 100 ms ago, as by a slow store") {
                val world = QueriedWorld()
                world.delaysMs = listOf(1, 400, 1)
                world.query()
                world.run(150)
                world.state = JobState.COMPLETE
                world.query()
                world.run(10)
                world.told shouldBe listOf(JobState.COMPLETE)
            }
            // Guards against a state that goes back when a read that was sent earlier is answered later.
            it("are not told a state from before the one that was told last") {
                val world = QueriedWorld()
                world.delaysMs = listOf(1, 400, 1)
                world.query()
                world.run(150)
                world.state = JobState.COMPLETE
                world.query()
                world.run(500)
                world.told shouldBe listOf(JobState.COMPLETE, JobState.COMPLETE)
            }
            it("are not told a read from before what the owner has told") {
                val world = QueriedWorld()
                world.query()
                world.run(10)
                world.query()
                world.state = JobState.COMPLETE
                world.service.onTold("job")
                world.query()
                world.run(10)
                world.told shouldBe listOf(JobState.ACTIVE, JobState.ACTIVE, JobState.COMPLETE)
            }
            it("are read again if the owner has told the job while they were open") {
                val world = QueriedWorld()
                world.delaysMs = listOf(1, 50)
                world.query()
                world.run(20)
                world.state = JobState.COMPLETE
                world.service.onTold("job")
                world.run(100)
                world.told shouldBe listOf(JobState.COMPLETE)
            }
            it("find a job that was accepted after it was not found") {
                val world = QueriedWorld()
                world.isStored = false
                world.query()
                world.run(10)
                world.isStored = true
                world.query()
                world.run(10)
                world.told shouldBe listOf(null, JobState.ACTIVE)
            }
        }
        describe("a job that the store cannot hold") {
            // Guards against a job that is accepted around the owner, or half stored, and that no owner can keep.
            it("is refused with the limit's name and both figures, and nothing of it is written") {
                var written = 0
                val time = SimTime()
                val tables =
                    object : JobTables by SilentTables {
                        override fun read(
                            key: RowKey,
                            onResult: (ReadResult) -> Unit,
                        ) = onResult(ReadResult.Rows(emptyList(), 1))

                        override fun commit(
                            change: RowChange,
                            onResult: (ChangeResult) -> Unit,
                        ) {
                            written++
                            onResult(ChangeResult.Committed(2))
                        }
                    }
                val service = StoredJobService(SimLoop(time), tables)
                val answers = ArrayList<CallerAnswer>()
                val steps = List(700) { Step(1, Demand(1_000, 100), requiredLabel = "a-label-of-thirty-characters-") }
                val job = JobSubmission("job", Queue("queue", "pool"), "spec", steps)
                service.submit(job) { answers.add(it) }
                time.runUntil(time.nowMs + 1_000)
                written shouldBe 0
                val size = (storedJson.encodeToString(JobSubmission.serializer(), job).length + 2) / 3 * 4
                (answers.single() as CallerAnswer.NotApplied).reason shouldBe
                    "the job needs a row of $size bytes, ${size - 65_536} over rowBytes, which is 65536; use a shorter spec, fewer steps or several jobs"
                service.submit(job.copy(steps = steps.take(100))) { answers.add(it) }
                answers.last() shouldBe CallerAnswer.Applied
            }
        }
        describe("a job whose write has had no answer") {
            // Guards against a second transaction for the same job, which costs the store as much and tells nothing about the first.
            it("is not written again while the first write may be carried out, and not refused") {
                val world = UnansweredWorld()
                world.submit()
                world.run(1_000)
                world.submit()
                world.areReadsAnswered = false
                world.submit()
                world.run(1_000)
                world.writeCount shouldBe 1
                world.answers.map { it is CallerAnswer.Uncertain } shouldBe listOf(true, true, true)
            }
            it("is accepted once a read shows it") {
                val world = UnansweredWorld()
                world.submit()
                world.run(1_000)
                world.isStored = true
                world.submit()
                world.run(10)
                world.answers.last() shouldBe CallerAnswer.Applied
            }
            it("is written again after that time") {
                val world = UnansweredWorld()
                world.submit()
                world.run(5_100)
                world.submit()
                world.run(10)
                world.writeCount shouldBe 2
            }
            it("has one write for two callers at a time") {
                val world = UnansweredWorld()
                world.submit()
                world.submit()
                world.run(100)
                world.submit()
                world.run(1_000)
                world.writeCount shouldBe 1
                world.answers.size shouldBe 3
            }
        }
        describe("a cancellation whose write has had no answer") {
            it("is not written again meanwhile, and is taken once a read shows it") {
                val world = UnansweredWorld()
                world.isStored = true
                world.cancel()
                world.run(1_000)
                world.cancel()
                world.run(10)
                world.isCancelStored = true
                world.cancel()
                world.run(10)
                world.writeCount shouldBe 1
                world.answers.map { it is CallerAnswer.Uncertain } shouldBe listOf(true, true, false)
                world.answers.last() shouldBe CallerAnswer.Applied
            }
        }
    })

private val JOB = JobSubmission("job", Queue("queue", "pool"), "work", listOf(Step(1, Demand(1_000, 1_000))))

/** A store that answers reads after 4 ms and no write. */
private class UnansweredWorld {
    private val time = SimTime()
    private val loop = SimLoop(time)
    var isStored = false
    var isCancelStored = false
    var areReadsAnswered = true
    var writeCount = 0
    val answers = ArrayList<CallerAnswer>()

    private val tables =
        object : JobTables by SilentTables {
            override fun commit(
                change: RowChange,
                onResult: (ChangeResult) -> Unit,
            ) {
                writeCount++
                loop.after(900) { onResult(ChangeResult.Failed("no answer", mayHaveApplied = true)) }
            }

            override fun read(
                key: RowKey,
                onResult: (ReadResult) -> Unit,
            ) {
                val value = storedJson.encodeToString(JobSubmission.serializer(), JOB)
                val isThere = if (key.table == Table.JOBS) isStored else isCancelStored
                val result = ReadResult.Rows(if (isThere) listOf(StoredRow(key, value, 1)) else emptyList(), time.nowMs)
                loop.after(if (areReadsAnswered) 4 else 900) { onResult(if (areReadsAnswered) result else ReadResult.Failed("no answer")) }
            }
        }
    private val service = StoredJobService(loop, tables)

    fun submit() = service.submit(JOB) { answers += it }

    fun cancel() = service.cancel("job", JobAccess.ALL) { answers += it }

    fun run(durationMs: Long) = time.runUntil(time.nowMs + durationMs)
}

/** A store with one job in [state], which reads as of their sending and answers [delaysMs] later, the last one from then on. */
private class QueriedWorld {
    private val time = SimTime()
    private val loop = SimLoop(time)
    var state = JobState.ACTIVE
    var isStored = true
    var hasProgress = true
    var refusal: StoreRefusal? = null
    var delaysMs = listOf(4L)
    var readCount = 0
    val told = ArrayList<JobState?>()

    private val tables =
        object : JobTables by SilentTables {
            override fun read(
                key: RowKey,
                onResult: (ReadResult) -> Unit,
            ) {
                val job = JobSubmission("job", Queue("queue", "pool"), "work", listOf(Step(1, Demand(1_000, 1_000))))
                val value =
                    if (key.table == Table.JOBS) {
                        storedJson.encodeToString(JobSubmission.serializer(), job)
                    } else {
                        storedJson.encodeToString(JobProgress.serializer(), JobProgress(state))
                    }
                val rows = if (isStored && (hasProgress || key.table == Table.JOBS)) listOf(StoredRow(key, value, 1)) else emptyList()
                val result = refusal?.let { ReadResult.Failed("status 429", it) } ?: ReadResult.Rows(rows, time.nowMs)
                loop.after(delaysMs[minOf(readCount++, delaysMs.lastIndex)]) { onResult(result) }
            }
        }
    val service = StoredJobService(loop, tables)

    fun query() = service.state("job", "queue", JobAccess.ALL) { told += (it as? CallerAnswer.State)?.state }

    fun run(durationMs: Long) = time.runUntil(time.nowMs + durationMs)
}
