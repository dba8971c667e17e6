/*
 * Guards against a task that crashes worker after worker (BUDGET): it must be given up after a few crashes, also when the
 * owner is lost meanwhile, and tasks that only shared its workers must still be done.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobState
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.world.DEADLY_SPEC
import io.corianderrock.jobs.world.InvariantChecker
import io.corianderrock.jobs.world.JobWorld
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

private val SEEDS = 1..20
private const val DEADLY_JOB = "deadly-job"
private const val SUBMITTED_AT_MS = 4_000L
private const val OWNER_LOST_AT_MS = 8_000L

/** Three crashes, and one more that an owner saw and could not store. */
private const val MAX_CRASHES_WITH_TAKEOVER = 4

internal class CrashLoopTest :
    DescribeSpec({
        describe("a task that crashes each worker that starts it") {
            // Guards against starts without end: only ends reported as failed counted as attempts, and a crash is no end.
            it("is given up within the budget and its job is shown as failed") {
                for (seed in SEEDS) {
                    val checker = CrashLoop(seed).run()
                    checker.violations.map { "seed $seed: $it" }.shouldBeEmpty()
                    checker.reportedFinalState(DEADLY_JOB) shouldBe JobState.FAILED
                }
            }
            // Guards against a count that starts anew with each owner.
            it("is given up within the budget when the owner is lost meanwhile") {
                for (seed in SEEDS) {
                    val checker = CrashLoop(seed, isOwnerLost = true).run()
                    checker.violations.map { "seed $seed: $it" }.shouldBeEmpty()
                    checker.crashCount(DEADLY_JOB) shouldBeLessThanOrEqual MAX_CRASHES_WITH_TAKEOVER
                }
            }
        }
        describe("tasks that shared a worker with one that crashes workers") {
            // Guards against blame by association: tasks released by one crash started together again, on one worker.
            it("are not given up with it") {
                for (seed in SEEDS) {
                    val checker = CrashLoop(seed).run()
                    val blamed = checker.crashFailedJobs() - DEADLY_JOB
                    blamed.map { "seed $seed: $it" }.shouldBeEmpty()
                }
            }
        }
    })

/** A fleet without other faults, on which the job [DEADLY_JOB] has one task that crashes workers. */
private class CrashLoop(
    seed: Int,
    isOwnerLost: Boolean = false,
) {
    private val queue = Queue("queue-a", "a", maxAttempts = 3, stretchFactor = 2.0, targetLatencyMs = 600)
    private val world =
        JobWorld(seed, hasFaults = false, scheduleEvents = { world ->
            world.time.after(SUBMITTED_AT_MS) {
                world.submit(JobSubmission(DEADLY_JOB, queue, DEADLY_SPEC, listOf(Step(1, Demand(1_000, 500), estimateMs = 500))))
            }
            if (isOwnerLost) {
                world.time.after(OWNER_LOST_AT_MS) {
                    val owner = world.entries.first { it.scheduler != null }
                    owner.kill()
                    world.time.after(RESTART_AFTER_MS) { owner.boot() }
                }
            }
        })

    fun run(): InvariantChecker = world.run()

    private companion object {
        const val RESTART_AFTER_MS = 2_000L
    }
}
