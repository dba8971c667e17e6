/*
 * The rows in which the progress of a job is stored, for jobs of as many tasks as are accepted. Guards against a row that grows with the
 * occurrences, tasks or failures of its job until the store refuses it, and against progress that a later owner does not read (LOST).
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoreLimits
import io.corianderrock.jobs.ports.StoredRow
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.runs.Committer
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.runs.decodeStored
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobProgress
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.JobState
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.TaskId
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskPositions
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import kotlin.random.Random

private val SMALL_STEPS = listOf(Step(4, Demand(500, 200)), Step(4, Demand(500, 200), after = listOf(0)))

/** The job of review/1. */
private val RECURRING = JobSubmission("job", Queue("queue", "pool"), "spec", SMALL_STEPS, times = 900, intervalMs = 30)

/** The largest job that is accepted: of one step, and of as many occurrences as it has tasks. */
private val WIDE = JobSubmission("job", Queue("queue", "pool", maxAttempts = 3), "spec", listOf(Step(20_000, Demand(500, 200))))
private val LONG = WIDE.copy(steps = listOf(Step(1, Demand(500, 200))), times = 20_000, intervalMs = 30)

/** An owner with one job, whose tasks a test ends. */
private class StoringOwner(
    submission: JobSubmission,
    val store: ParticularStore = ParticularStore(SimTime()),
) {
    private val time = store.time
    private val loop = SimLoop(time)
    private val lines = ArrayList<String>()
    private val log = DecisionLog { event, _ -> lines.add(event) }
    private val committer = Committer(loop, store, log, OwnerRow("e", "e", 1, 1), store.version, { 0 }, {})
    val registry = JobRegistry(loop, committer, log)
    val job: JobRun
    val refusals: List<String> get() = lines.filter { it == "write_refused" }

    init {
        // As the scheduler restores it.
        val progress = store.rows[RowKey(Table.PROGRESS, submission.id)]?.let { decodeStored(JobProgress.serializer(), it) }
        job = registry.load(submission, progress, isInherited = false)
        registry.loadGroups(store.rows.map { (key, value) -> StoredRow(key, value, 1) }.filter { it.key.table == Table.PROGRESS })
        for (number in 0 until submission.times) job.addOccurrence(number, loop.nowMs)
    }

    /** What has to outlive the owner of each task: whether it is done, and otherwise its failed runs. */
    fun state(): Map<TaskId, Triple<Boolean, Set<Long>, Set<Long>>> =
        job.tasks.associate {
            val isDone = it.phase == TaskPhase.DONE
            it.id to Triple(isDone, if (isDone) emptySet() else it.failedRuns, if (isDone) emptySet() else it.crashedRuns)
        }

    /** Applies [change] to each task of [tasks], a hundred between two transactions. */
    fun change(
        tasks: Sequence<TaskRun>,
        change: (TaskRun) -> Unit,
    ) {
        for (some in tasks.chunked(100)) {
            some.forEach(change)
            time.runUntil(time.nowMs + 30)
        }
        time.runUntil(time.nowMs + 10_000)
    }

    val lastBytes: Int get() = (store.rows.getValue(RowKey(Table.PROGRESS, "job")).length + 2) / 3 * 4
    val largestGroupLength: Int get() =
        store.rows
            .filterKeys { it.key.contains("/runs/") }
            .values
            .maxOf { it.length }

    /** The largest value sent for a row of progress, as the store counts it. */
    val largestBytes: Int
        get() {
            val values = store.sent.flatMap { it.puts.entries }.filter { it.key.table == Table.PROGRESS }
            return values.maxOf { (it.value.length + 2) / 3 * 4 }
        }
}

internal class FoldedProgressTest :
    DescribeSpec({
        describe("the stored progress") {
            for ((name, submission) in mapOf("900 occurrences" to RECURRING, "one step" to WIDE, "20,000 occurrences" to LONG)) {
                it("of a job of $name is never refused as its tasks end one by one") {
                    val owner = StoringOwner(submission)
                    owner.change(
                        owner.job.tasks
                            .toList()
                            .dropLast(1)
                            .asSequence(),
                    ) { owner.registry.taskDone(it) }
                    owner.refusals.shouldBeEmpty()
                    (owner.largestBytes <= StoreLimits().rowBytes) shouldBe true
                    // The bitmap of 20,000 tasks has 4,496 bytes.
                    (owner.lastBytes <= 4_500) shouldBe true
                }
            }
            it("of a job each of whose tasks fails twice is never refused") {
                val owner = StoringOwner(WIDE)
                for (round in 1L..2L) owner.change(owner.job.tasks) { owner.registry.taskFailed(it, 1_000_000 * round) }
                owner.refusals.shouldBeEmpty()
                (owner.largestBytes <= StoreLimits().rowBytes) shouldBe true
                (owner.largestGroupLength <= TaskPositions.largestGroupLength(3)) shouldBe true
            }
        }
        describe("a later owner") {
            for ((name, submission) in mapOf("900 occurrences" to RECURRING, "one step" to WIDE, "20,000 occurrences" to LONG)) {
                it("finds the done tasks of a job of $name, at any time") {
                    val owner = StoringOwner(submission)
                    val tasks = owner.job.tasks.toList()
                    for (part in tasks.dropLast(1).shuffled(Random(1)).chunked(tasks.size / 6)) {
                        owner.change(part.asSequence()) { owner.registry.taskDone(it) }
                        StoringOwner(submission, owner.store).state() shouldBe owner.state()
                    }
                }
            }
            it("finds the failed and crashed runs of tasks that are not done, and rows of a bounded size") {
                val submission = WIDE.copy(steps = listOf(Step(2_000, Demand(500, 200))))
                val owner = StoringOwner(submission)
                val random = Random(2)
                val tasks = owner.job.tasks.toList()
                for (part in tasks.shuffled(random).chunked(500)) {
                    owner.change(part.asSequence()) { owner.registry.taskFailed(it, random.nextLong(1, Long.MAX_VALUE)) }
                    owner.change(
                        part.take(250).asSequence(),
                    ) { owner.registry.taskCrashed(it, random.nextLong(1, Long.MAX_VALUE), lostAtMs = 0) }
                    owner.change(part.take(100).asSequence()) { owner.registry.clearCrashes(it) }
                    owner.change(part.takeLast(100).asSequence()) { owner.registry.taskDone(it) }
                    StoringOwner(submission, owner.store).state() shouldBe owner.state()
                }
                owner.refusals.shouldBeEmpty()
                (owner.largestGroupLength <= TaskPositions.largestGroupLength(3)) shouldBe true
            }
            // Guards against a job that goes on after its last attempt, as its state was to be stored in another row than its failed runs.
            it("fails a job whose last failure is stored without its state") {
                val submission = WIDE.copy(queue = Queue("queue", "pool", maxAttempts = 2))
                val owner = StoringOwner(submission)
                owner.change(owner.job.tasks) { owner.registry.taskFailed(it, 7) }
                val task = owner.job.tasks.first()
                val key = TaskPositions.groupKey("job", 0)
                owner.store.rows[key] =
                    owner.store.rows
                        .getValue(key)
                        .replace("\"0\":[7]", "\"0\":[7,8]")
                val next = StoringOwner(submission, owner.store)
                next.job.state.isFinal shouldBe false
                next.registry.taskFailed(checkNotNull(next.job.task(task.id)), 8)
                next.job.state shouldBe JobState.FAILED
            }
            it("reads the lists of the version before, and stores lists as long as they fit") {
                val owner = StoringOwner(RECURRING)
                val tasks = owner.job.tasks.toList()
                owner.change(tasks.take(4_000).asSequence()) { owner.registry.taskDone(it) }
                val listed = owner.store.rows.getValue(RowKey(Table.PROGRESS, "job"))
                listed shouldContain "\"done\":[0,1,2,3]"
                listed shouldNotContain "doneBitmap"
                owner.change(tasks.drop(4_000).dropLast(1).asSequence()) { owner.registry.taskDone(it) }
                owner.store.rows.getValue(RowKey(Table.PROGRESS, "job")) shouldContain "doneBitmap"
                // A hundred ends between two transactions take less than 2,000 bytes.
                owner.largestBytes shouldBeGreaterThan StoreLimits().rowBytes - 2_000
                StoringOwner(RECURRING, owner.store).state() shouldBe owner.state()
            }
        }
        describe("a job that has ended") {
            it("is stored as its state alone, and its rows of failed runs are deleted") {
                val owner = StoringOwner(WIDE)
                owner.change(owner.job.tasks) { owner.registry.taskFailed(it, 7) }
                (
                    owner.store.rows.keys
                        .count { it.key.contains("/runs/") } > 100
                ) shouldBe true
                owner.registry.cancel(owner.job) {}
                owner.change(emptySequence()) {}
                owner.store.rows.keys
                    .filter { it.table == Table.PROGRESS } shouldBe listOf(RowKey(Table.PROGRESS, "job"))
                (
                    owner.store.rows
                        .getValue(RowKey(Table.PROGRESS, "job"))
                        .length < 100
                ) shouldBe true
            }
        }
    })
