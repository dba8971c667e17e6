/*
 * Measures what a placement pass spends on the sums of what accounts occupy: `AccountUsageBenchmarkKt WORKERS TASKS ACCOUNTS`
 * prints the processor time of a pass without changes and of one after a hundredth of the workers has ended and started a run.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.accounts.AccountUsage
import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.runs.Committer
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView
import io.corianderrock.jobs.world.SilentTables
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import java.lang.management.ManagementFactory

private const val POOL_COUNT = 4
private const val WARM_UP_PASSES = 1_000
private const val PASSES = 1_000
private const val NS_PER_US = 1_000.0

internal fun main(args: Array<String>) {
    val (workerCount, taskCount, accountCount) = args.map(String::toInt)
    val loop = SimLoop(SimTime())
    val registry = JobRegistry(loop, Committer(loop, SilentTables, { _, _ -> }, OwnerRow("e", "e", 1, 1), 1, { 0 }, {})) { _, _ -> }
    val workers =
        List(workerCount) {
            val entry =
                WorkerEntry("w-$it", "w-$it", "pool-${it % POOL_COUNT}", "dc", "m-$it", Demand(16_000, 64_000), emptyList(), false, null, 1)
            WorkerView(entry)
        }
    val tasks =
        List(taskCount) {
            val queue = Queue("queue", "pool-${it % workerCount % POOL_COUNT}")
            val submission = JobSubmission("j$it", queue, "work", listOf(Step(1, Demand(1_000, 1_000))), account = "a${it % accountCount}")
            registry.load(submission, progress = null, isInherited = false).tasks.first()
        }
    tasks.forEachIndexed { index, task -> start(task, workers[index % workerCount]) }
    val usage = AccountUsage(loop, registry, { workers }, { emptyList() })
    val unchangedNs = passNs(usage) {}
    var next = 0
    val changedNs =
        passNs(usage) {
            repeat(maxOf(1, workerCount / 100)) {
                val task = tasks[next++ % taskCount]
                val worker = checkNotNull(task.worker)
                worker.releaseRun(task, nowMs = 1)
                start(task, worker)
            }
        }
    println(
        "workers=$workerCount tasks=$taskCount accounts=$accountCount " +
            "unchangedPassUs=${"%.1f".format(unchangedNs / NS_PER_US)} changedPassUs=${"%.1f".format(changedNs / NS_PER_US)}",
    )
}

/** Processor time of a pass after [change], which counts as well. */
private fun passNs(
    usage: AccountUsage,
    change: () -> Unit,
): Long {
    val threads = ManagementFactory.getThreadMXBean()
    var startNs = 0L
    repeat(WARM_UP_PASSES + PASSES) { pass ->
        if (pass == WARM_UP_PASSES) startNs = threads.currentThreadCpuTime
        change()
        usage.recompute()
    }
    return (threads.currentThreadCpuTime - startNs) / PASSES
}

private fun start(
    task: TaskRun,
    worker: WorkerView,
) {
    task.phase = TaskPhase.RUNNING
    task.worker = worker
    worker.addRun(task)
}
