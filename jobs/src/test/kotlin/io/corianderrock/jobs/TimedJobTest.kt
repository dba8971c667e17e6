/*
 * Jobs with several occurrences over a change of owner: a worker lists ends and runs of occurrences that the next owner has not found due,
 * since it has just loaded the job or its clock is behind that of the last one.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.OwnerOfOneWorker.Companion.EARLIER_OWNERS_RUN
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.POOL
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.STOP_MS
import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.ports.EndRow
import io.corianderrock.jobs.ports.HoldOrder
import io.corianderrock.jobs.ports.RunningRow
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.TaskId
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.world.OrderTampering
import io.corianderrock.jobs.world.SimTime
import io.corianderrock.jobs.world.timedJobWorld
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe

/** Number of seeds in one test run, set by `-Djobs.seeds`. */
private val SEEDS = Integer.getInteger("jobs.seeds", 300)

/** First seed of a test run, set by `-Djobs.first.seed`. */
private val FIRST_SEED = Integer.getInteger("jobs.first.seed", 1)

/** Time from the start of a simulation until the second occurrence of [TWO_OCCURRENCES] is due. */
private const val SECOND_DUE_MS = 3_000L

/** A job whose first occurrence is due when a simulation begins. */
private val TWO_OCCURRENCES =
    JobSubmission(
        "job",
        Queue("queue", POOL, maxAttempts = 3),
        "spec",
        listOf(Step(2, Demand(1_000, 100))),
        times = 2,
        intervalMs = SECOND_DUE_MS,
        firstDueWallMs = SimTime().nowMs,
    )
private val TASK_NOT_DUE = TaskId("job", occurrence = 1, step = 0, index = 0)

internal class TimedJobTest :
    DescribeSpec({
        fun end(
            number: Long,
            task: TaskId,
            kind: EndKind = EndKind.DONE,
        ) = EndRow(number, task, EARLIER_OWNERS_RUN, kind, checkpoint = "")

        fun run(task: TaskId) = RunningRow(task, EARLIER_OWNERS_RUN, checkpoint = "", percent = 100)

        /** An owner that has just loaded [TWO_OCCURRENCES], whose worker lists [ended] and [running] of an earlier owner. */
        fun ownerOf(
            ended: List<EndRow> = emptyList(),
            running: List<RunningRow> = emptyList(),
        ): OwnerOfOneWorker {
            val owner = OwnerOfOneWorker(isUp = false, submission = TWO_OCCURRENCES)
            owner.endedRows = ended
            owner.runningRows = running
            owner.isUp = true
            owner.passTicking(STOP_MS)
            return owner
        }

        describe("the end of a task that an earlier owner has started") {
            // Guards against ends that are acknowledged without being recorded, as the occurrence was not added yet (TWICE).
            it("is recorded if its occurrence is due") {
                val task = TaskId("job", occurrence = 0, step = 0, index = 1)
                val owner = ownerOf(ended = listOf(end(1, task)))
                owner.tasks.first { it.id == task }.phase shouldBe TaskPhase.DONE
                owner.acknowledgements shouldContain 1L
            }

            // Guards against the same by an owner whose clock is behind that of the last one (TWICE).
            it("is recorded if its occurrence is not due by this owner's clock") {
                val owner = ownerOf(ended = listOf(end(1, TASK_NOT_DUE)))
                owner.tasks.first { it.id == TASK_NOT_DUE }.phase shouldBe TaskPhase.DONE
                owner.acknowledgements shouldContain 1L
            }

            // Guards against attempts that are not counted, so that a task starts once more often than it may (BUDGET).
            it("counts as an attempt if it failed") {
                val owner = ownerOf(ended = listOf(end(1, TASK_NOT_DUE, EndKind.FAILED)))
                owner.tasks.first { it.id == TASK_NOT_DUE }.failedRuns shouldContain EARLIER_OWNERS_RUN
            }

            // Guards against an entry that no job can match and that holds up the acknowledgement of all others.
            it("is acknowledged if its job has no such task") {
                val impossible = listOf(TASK_NOT_DUE.copy(occurrence = 2), TASK_NOT_DUE.copy(index = 2), TASK_NOT_DUE.copy(step = 1))
                val owner = ownerOf(ended = impossible.mapIndexed { index, task -> end(index + 1L, task) })
                owner.acknowledgements shouldContain impossible.size.toLong()
                owner.tasks.map { it.id.occurrence }.distinct() shouldBe listOf(0)
            }
        }
        describe("a run that an earlier owner has started, of an occurrence that is not due by this owner's clock") {
            // Guards against runs that are stopped as unknown and started anew, beside the first while its stop is lost (TWICE).
            it("goes on and is not started anew") {
                val owner = ownerOf(running = listOf(run(TASK_NOT_DUE)))
                owner.stoppedRuns.shouldBeEmpty()
                owner.tasks.first { it.id == TASK_NOT_DUE }.phase shouldBe TaskPhase.RUNNING
            }

            // Guards against starts before their time, of tasks that are known before their occurrence is due (ORDER).
            it("lets no other task of its occurrence start before that is due") {
                val owner = InboxOfOneOwner(hadEarlierOwner = true, storedBefore = listOf(TWO_OCCURRENCES))
                val beganMs = owner.time.nowMs
                val others = TASK_NOT_DUE.copy(index = 1)
                owner.running[TASK_NOT_DUE] = beganMs
                owner.pass(SECOND_DUE_MS / 2)
                owner.running.keys shouldContain TASK_NOT_DUE
                owner.running.keys shouldNotContain others
                owner.pass(SECOND_DUE_MS)
                owner.running.getValue(others) - beganMs shouldBeGreaterThanOrEqual SECOND_DUE_MS
                owner.running.getValue(TASK_NOT_DUE) shouldBe beganMs
            }
        }
        describe("simulations of jobs with occurrences, gangs and checkpoints whose owners are lost while clocks differ") {
            // Guards against what an owner concludes from tasks that it does not know (TWICE).
            it("violate no invariant") {
                val violations =
                    (FIRST_SEED until FIRST_SEED + SEEDS).flatMap { seed ->
                        timedJobWorld(seed).run().violations.map { "seed $seed: $it" }
                    }
                violations.take(20).shouldBeEmpty()
            }

            it("show tasks that run twice if ends are acknowledged without being recorded") {
                val checker = timedJobWorld(seed = 1, tampering = UnreadEnds).run()
                checker.violations.filter { "TWICE (b)" in it }.shouldNotBeEmpty()
            }
        }
    })

/** Acknowledges all ends. */
private object UnreadEnds : OrderTampering {
    override fun hold(
        workerId: String,
        order: HoldOrder,
    ) = order.copy(acknowledgedEnd = Long.MAX_VALUE)
}
