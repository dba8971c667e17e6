/*
 * Jobs of more tasks than the owner can hold. Guards against an owner, and each one after it, that runs out of memory over jobs that it has
 * accepted (LOST).
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.InboxOfOneOwner.Companion.JOB
import io.corianderrock.jobs.contention.TaskCapacity
import io.corianderrock.jobs.entry.CallerAnswer
import io.corianderrock.jobs.entry.StoredJobService
import io.corianderrock.jobs.ports.JobTables
import io.corianderrock.jobs.ports.ReadResult
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.runs.SchedulerBounds
import io.corianderrock.jobs.runs.SubmitResult
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.world.SilentTables
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private val CAPACITY = TaskCapacity(taskCount = 20_000)
private const val LARGE = 1_000
private const val SMALL = 12
private const val STORED_MS = 1_000L

/** Within this time a caller is told of a refusal: no write is waited for. */
private const val AT_ONCE_MS = 100L

private fun job(
    id: String,
    taskCount: Int,
) = JOB.copy(id = id, steps = listOf(Step(taskCount, Demand(1_000, 100))))

private class Submissions {
    val owner = InboxOfOneOwner(bounds = SchedulerBounds(taskCapacity = CAPACITY))
    private val results = LinkedHashMap<String, SubmitResult>()
    val accepted: Set<String> get() = results.filterValues { it is SubmitResult.Accepted }.keys
    val refused: List<SubmitResult.Rejected> get() = results.values.filterIsInstance<SubmitResult.Rejected>()

    init {
        owner.pass(STORED_MS)
    }

    fun submit(job: JobSubmission) = owner.scheduler.submit(job) { results[job.id] = it }
}

internal class MemoryAdmissionTest :
    DescribeSpec({
        describe("large jobs that come at once") {
            it("are accepted as far as the owner can hold their tasks, and refused at once beyond") {
                val submissions = Submissions()
                repeat(50) { submissions.submit(job("large$it", LARGE)) }
                submissions.owner.pass(AT_ONCE_MS)
                submissions.accepted.size shouldBe 15
                submissions.refused.size shouldBe 35
                submissions.refused.forEach { it.retryAfterMs shouldBeInRange 1_000L..60_000L }
            }

            // Guards against a few large jobs that shut out all small ones.
            it("leave room to small ones") {
                val submissions = Submissions()
                repeat(50) { submissions.submit(job("large$it", LARGE)) }
                repeat(50) { submissions.submit(job("small$it", SMALL)) }
                submissions.owner.pass(STORED_MS)
                submissions.accepted.count { it.startsWith("small") } shouldBe 50
            }

            // Guards against room that is not given back.
            it("are accepted again once others have ended") {
                val submissions = Submissions()
                repeat(50) { submissions.submit(job("large$it", LARGE)) }
                submissions.owner.pass(STORED_MS)
                val ended = submissions.accepted.take(5)
                ended.forEach { submissions.owner.cancelElsewhere(JOB.copy(id = it)) }
                submissions.owner.pass(5 * STORED_MS)
                repeat(50) { submissions.submit(job("later$it", LARGE)) }
                submissions.owner.pass(STORED_MS)
                submissions.accepted.count { it.startsWith("later") } shouldBe 5
            }
        }
        describe("an entry that cannot ask the owner") {
            // Guards against jobs around the owner that it would have refused.
            it("accepts small jobs only") {
                val time = SimTime()
                val service = StoredJobService(SimLoop(time), EmptyTables(time), maxTaskCount = CAPACITY.smallJobTaskCount)
                val answers = ArrayList<CallerAnswer>()
                service.submit(job("large", LARGE), answers::add)
                time.runUntil(time.nowMs + AT_ONCE_MS)
                answers.single().shouldBeInstanceOf<CallerAnswer.NotApplied>()
                service.submit(job("small", SMALL), answers::add)
                time.runUntil(time.nowMs + AT_ONCE_MS)
                // It is being stored.
                answers.drop(1).shouldBeEmpty()
            }
        }
        describe("a waiting task") {
            // Guards against a bound that the memory of the process does not allow.
            it("takes no more memory than the capacity is reckoned with") {
                val before = usedBytes()
                val jobs = List(20) { index -> JobRun(job("job$index", 10_000), isInherited = false, 0).also { it.addOccurrence(0, 0) } }
                val taskCount = jobs.sumOf { it.tasks.count() }
                (usedBytes() - before) / taskCount shouldBeLessThan TaskCapacity.BYTES_PER_TASK
            }
        }
    })

private fun usedBytes(): Long {
    repeat(3) { System.gc() }
    return Runtime.getRuntime().run { totalMemory() - freeMemory() }
}

/** Tables without rows that answer reads, and no writes. */
private class EmptyTables(
    private val time: SimTime,
) : JobTables by SilentTables {
    override fun read(
        key: RowKey,
        onResult: (ReadResult) -> Unit,
    ) = time.after(1) { onResult(ReadResult.Rows(emptyList(), version = 1)) }
}
