/*
 * What is logged about tasks that wait in several pools.
 */
package io.corianderrock.jobs.placement

import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.ports.DecisionLog
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.runs.Committer
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.runs.WorkerDriver
import io.corianderrock.jobs.runtimes.AnsweringLink
import io.corianderrock.jobs.runtimes.MeanRunTimes
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.world.SilentTables
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private val POOLS = listOf("first", "second")

internal class WaitExplainerTest :
    DescribeSpec({
        // Guards against the first pool being explained over and over, and the tasks of all others never.
        it("explains the waits of each pool") {
            val time = SimTime()
            val loop = SimLoop(time)
            val explained = HashSet<Any?>()
            val log = DecisionLog { event, fields -> if (event == "task_waits") explained.add(fields[fields.indexOf("pool") + 1]) }
            val committer = Committer(loop, SilentTables, log, OwnerRow("e", "e", 1, 1), 1, { 0 }, {})
            val registry = JobRegistry(loop, committer, log)
            val driver = WorkerDriver(loop, AnsweringLink(loop), committer, registry, log, 1, 6_000, { true }, {}, {}, {})
            val placer = Placer(loop, registry, driver, RunTimeEstimator(MeanRunTimes()), { _, _, _ -> }, log, { true })
            driver.open()
            for (pool in POOLS) {
                driver.onListed(WorkerEntry("w-$pool", "w-$pool", pool, "dc", pool, Demand(1_000, 1_000), emptyList(), false, null, 0))
                val tooWide = Step(1, Demand(2_000, 1_000))
                registry.load(JobSubmission("job-$pool", Queue("q", pool), "s", listOf(tooWide)), progress = null, isInherited = false)
            }
            repeat(25) {
                time.runUntil(time.nowMs + 200)
                placer.placeWaitingTasks(POOLS)
            }
            explained shouldBe POOLS.toSet()
        }
    })
