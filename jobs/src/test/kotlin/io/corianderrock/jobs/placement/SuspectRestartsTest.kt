/*
 * Covers the restarts of tasks that last after workers have crashed under them: not so many that they cost worker after worker, not so
 * few that they break LOST.
 */
package io.corianderrock.jobs.placement

import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.runtimes.MeanRunTimes
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.SuspectBackoff
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe

/** A task that lasts counts as away from this time after its last run (LOST). */
private const val AWAY_FROM_MS = 6_000L

private class SuspectPool {
    val time = SimTime()
    private val loop = SimLoop(time)
    val logged = ArrayList<String>()
    val choice = WorkerChoice(loop, RunTimeEstimator(MeanRunTimes()))
    val restarts = SuspectRestarts(loop, choice) { event, fields -> logged.add("$event ${fields.joinToString(" ")}") }
    val workers = List(2) { worker("w-$it") }
    private val lostAtMs = time.nowMs

    private fun worker(id: String) =
        WorkerView(WorkerEntry(id, id, "pool", "dc", id, Demand(8_000, 32_000), listOf("kind", "rack"), false, null, 0))

    fun task(
        crashes: Int,
        isLongRunning: Boolean = true,
    ): TaskRun {
        val step = Step(1, Demand(1_000, 500), isLongRunning = isLongRunning)
        val job = JobRun(JobSubmission("job$crashes", Queue("queue", "pool"), "spec", listOf(step)), isInherited = false, acceptedAtMs = 0)
        return job.addOccurrence(0, 0).steps.first().tasks.first().apply {
            (1L..crashes).forEach(::addCrashedRun)
            runNumber = crashes.toLong()
            lastCrashAtMs = lostAtMs
        }
    }

    fun run(
        task: TaskRun,
        worker: WorkerView,
    ) {
        task.phase = TaskPhase.STARTING
        task.worker = worker
        worker.addRun(task)
    }

    fun passTo(ms: Long) = time.runUntil(lostAtMs + ms)

    fun beginPass(): List<WorkerCapacity> {
        restarts.beginPass { workers }
        return workers.map(::WorkerCapacity)
    }
}

internal class SuspectRestartsTest :
    DescribeSpec({
        describe("a task that lasts and under which several workers have crashed") {
            // Guards against restarts that cost a worker as often as one is free.
            it("waits longer after each crash") {
                val pool = SuspectPool()
                val endsMs = (2..4).map { SuspectBackoff.endsAtMs(pool.task(it)) - pool.time.nowMs }
                endsMs shouldBe listOf(1_000L, 2_000L, 4_000L)
                pool.beginPass()
                pool.passTo(1_999)
                pool.restarts.holds(pool.task(3)) shouldBe true
                pool.passTo(2_000)
                pool.restarts.holds(pool.task(3)) shouldBe false
            }
            // Guards against a back-off beyond what LOST allows.
            it("never waits until its absence counts") {
                val pool = SuspectPool()
                (2..40).forEach { SuspectBackoff.endsAtMs(pool.task(it)) - pool.time.nowMs shouldBeLessThanOrEqual AWAY_FROM_MS }
            }
            // Guards against several workers that are lost to suspects at once.
            it("waits while another suspect of its pool may crash its worker, and no longer than LOST allows") {
                val pool = SuspectPool()
                pool.run(pool.task(3), pool.workers[0])
                pool.passTo(5_999)
                pool.beginPass()
                pool.restarts.holds(pool.task(2)) shouldBe true
                pool.passTo(AWAY_FROM_MS)
                pool.restarts.holds(pool.task(2)) shouldBe false
            }
            // Guards against tasks of others that crash with it.
            it("waits for a worker without other tasks, and no longer than LOST allows") {
                val pool = SuspectPool()
                pool.workers.forEach { pool.run(pool.task(0), it) }
                val suspect = pool.task(2)
                pool.passTo(5_999)
                var capacities = pool.beginPass()
                pool.choice.cheapestWorker(suspect, capacities) shouldBe null
                pool.restarts.awaitsIdleWorker(suspect, capacities) shouldBe true
                pool.passTo(AWAY_FROM_MS)
                capacities = pool.beginPass()
                pool.choice.cheapestWorker(suspect, capacities) shouldNotBe null
                pool.restarts.awaitsIdleWorker(suspect, capacities) shouldBe false
            }
            // Guards against a task of which operators cannot tell why it does not run.
            it("logs once what it waits for and how long at most") {
                val pool = SuspectPool()
                val suspect = pool.task(3)
                pool.beginPass()
                repeat(3) { pool.restarts.holds(suspect) }
                pool.logged.map { it.substringBefore(" untilWallMs") } shouldBe
                    listOf("crash_suspect_waits task ${suspect.id} crashes 3 waitsFor BACK_OFF atMostMs 2000")
            }
        }
        describe("other tasks") {
            // Guards against short tasks and tasks with a single crash that wait without need.
            it("do not wait") {
                val pool = SuspectPool()
                pool.beginPass()
                listOf(pool.task(1), pool.task(3, isLongRunning = false)).map(pool.restarts::holds) shouldBe listOf(false, false)
                val capacities = pool.beginPass()
                pool.choice.cheapestWorker(pool.task(3, isLongRunning = false), capacities) shouldBeIn capacities
            }
        }
    })
