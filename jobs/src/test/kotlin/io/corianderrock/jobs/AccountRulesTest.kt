/*
 * Properties of shares and caps on states that are built directly: usage, the cap, the order and the demand for instances.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.accounts.AccountAdmission
import io.corianderrock.jobs.accounts.AccountDemandLimit
import io.corianderrock.jobs.accounts.AccountShares
import io.corianderrock.jobs.accounts.AccountUsage
import io.corianderrock.jobs.accounts.ActiveAccounts
import io.corianderrock.jobs.accounts.CapLimit
import io.corianderrock.jobs.accounts.FairShareOrder
import io.corianderrock.jobs.fleet.DemandLimit
import io.corianderrock.jobs.fleet.PoolDemand
import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.placement.AccountShare
import io.corianderrock.jobs.placement.Candidate
import io.corianderrock.jobs.placement.ObjectiveOrder
import io.corianderrock.jobs.placement.RunTimeEstimator
import io.corianderrock.jobs.placement.WaitExplainer
import io.corianderrock.jobs.placement.WorkerChoice
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.runs.Committer
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.runs.WorkerDriver
import io.corianderrock.jobs.runtimes.AnsweringLink
import io.corianderrock.jobs.runtimes.MeanRunTimes
import io.corianderrock.jobs.state.ClientAccount
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.JobsConfiguration
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.TaskId
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView
import io.corianderrock.jobs.world.SilentTables
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import java.lang.management.ManagementFactory
import kotlin.random.Random

private val CAPACITY = Demand(16_000, 64_000)
private const val ROUNDING = 1e-9
private val TASK = Demand(1_000, 1_000)

internal class AccountRulesTest :
    DescribeSpec({
        describe("the order of candidates that rank equally") {
            it("leaves no account under its share with waiting work while another is over it") {
                repeat(200) { seed -> Shares(seed).run() }
            }
            it("keeps the order of equal jobs of one account, and the ranking") {
                repeat(50) { seed ->
                    val state = Accounts("a" to 1.0, "b" to 3.0)
                    val random = Random(seed)
                    val jobs = List(30) { state.job("j$it", if (random.nextBoolean()) "a" else "b", priority = random.nextInt(2)) }
                    val ordered = state.order(jobs).map { it.stepRun.job }
                    ordered.map { it.queue.priority } shouldBe ordered.map { it.queue.priority }.sorted()
                    ordered.groupBy { it.submission.account to it.queue.priority } shouldBe
                        jobs.groupBy { it.submission.account to it.queue.priority }
                }
            }
        }
        describe("the cap of an account") {
            it("holds for starts of one pass, over all workers, also for runs of an ended job") {
                val state = Accounts("a" to 1.0, capCpuMilli = 5_000)
                state.workers[0].orphanedRuns[
                    state
                        .job("ended", "a", count = 1)
                        .tasks
                        .first()
                        .id,
                ] = 7
                state.workers[1].orphanedRuns[TaskId("unknown", 0, 0, 0)] = 7
                state.usage.recompute()
                state.startAll(state.job("j", "a", count = 20)) shouldBe 4
            }
            it("allows a task above it only while the account has nothing running") {
                val state = Accounts("a" to 1.0, capCpuMilli = 500)
                state.startAll(state.job("j", "a", count = 20)) shouldBe 1
            }
            it("counts a gang as a whole") {
                val state = Accounts("a" to 1.0, capCpuMilli = 5_000)
                val gang = state.job("gang", "a", count = 4)
                state.limit.mayStartTogether(gang.tasks.toList()) shouldBe true
                state.startAll(state.job("j", "a", count = 2)) shouldBe 2
                state.limit.mayStartTogether(gang.tasks.toList()) shouldBe false
            }
            it("applies as soon as a version that lowers it is known") {
                val state = Accounts("a" to 1.0, capCpuMilli = 5_000)
                state.startAll(state.job("j", "a", count = 3)) shouldBe 3
                state.configure(capCpuMilli = 2_000)
                state.startAll(state.job("j2", "a", count = 3)) shouldBe 0
                state.configure(capCpuMilli = 0)
                state.startAll(state.job("j3", "a", count = 3)) shouldBe 3
            }
            it("lets one task run beside long-running ones that fill it, but not above a lowered cap") {
                val state = Accounts("a" to 1.0, capCpuMilli = 2_500)
                state.startAll(state.job("service", "a", count = 4, isLongRunning = true)) shouldBe 2
                state.startAll(state.job("j", "a", count = 4)) shouldBe 1
                val lowered = Accounts("a" to 1.0, capCpuMilli = 3_000)
                lowered.startAll(lowered.job("service", "a", count = 4, isLongRunning = true)) shouldBe 3
                lowered.configure(capCpuMilli = 1_000)
                lowered.startAll(lowered.job("j", "a", count = 4)) shouldBe 0
            }
            it("counts inherited tasks at their largest until their workers are reconciled") {
                val state = Accounts("a" to 1.0, capCpuMilli = 20_000)
                val steps = listOf(Step(12, TASK), Step(14, TASK, after = listOf(0)))
                state.registry.load(JobSubmission("old", queue(), "work", steps, account = "a"), null, isInherited = true)
                state.unreconciled = listOf("w-0")
                state.usage.recompute()
                state.usage.of("a").cpuMilli shouldBe 14_000
                state.registry.load(JobSubmission("old2", queue(), "work", steps, account = "a"), null, isInherited = true)
                state.usage.recompute()
                state.usage.of("a").cpuMilli shouldBe CAPACITY.cpuMilli
                state.unreconciled = emptyList()
                state.usage.recompute()
                state.usage.of("a").cpuMilli shouldBe 0
            }
            it("costs a pass over 350 workers with 4,000 tasks less than 2 ms") {
                val state = Accounts("a" to 1.0, "b" to 1.0, workerCount = 350)
                repeat(250) { state.startAll(state.job("j$it", if (it % 2 == 0) "a" else "b", count = 16), workerIndex = it) }
                repeat(200) { state.usage.recompute() }
                val startNs = System.nanoTime()
                repeat(100) { state.usage.recompute() }
                (System.nanoTime() - startNs) / 100 shouldBeLessThanOrEqualTo 2_000_000L
            }
        }
        describe("the sums of what accounts occupy") {
            // Guards against sums that drift from the workers' runs as they change, by which an account exceeds its cap (QUOTA).
            it("are those of a computation from nothing after any changes") {
                repeat(100) { seed -> ChangingUsage(seed).run() }
            }
            // Guards against passes that visit every task. Processor time leaves out the waits for a core on a busy machine.
            it("cost a pass without changes less than 100 us at 350 workers with 5,000 tasks") {
                val threads = ManagementFactory.getThreadMXBean()
                val state = Accounts("a" to 1.0, "b" to 1.0, workerCount = 350)
                repeat(313) { state.startAll(state.job("j$it", if (it % 2 == 0) "a" else "b", count = 16), workerIndex = it) }
                repeat(2_000) { state.usage.recompute() }
                val startNs = threads.currentThreadCpuTime
                repeat(1_000) { state.usage.recompute() }
                (threads.currentThreadCpuTime - startNs) / 1_000 shouldBeLessThanOrEqualTo 100_000L
            }
        }
        describe("jobs that an account sends beyond its weight") {
            it("are refused only while work of others waits, each with a later time") {
                val state = Accounts("a" to 2.0, "b" to 1.0)
                repeat(30) { state.submit("free$it", "a").shouldBeNull() }
                state.job("other", "b")
                state.shortageMs = 1
                val refusals = List(3) { checkNotNull(state.submit("late$it", "a")).retryAfterMs }
                refusals shouldBe listOf(501L, 1_001L, 1_501L)
                state.submit("owed", "b").shouldBeNull()
                state.time.runUntil(state.time.nowMs + 501)
                state.submit("again", "a").shouldBeNull()
                state.submit("again2", "a").shouldNotBeNull()
            }
            // Guards against refusals that only a line a second sums up, of which a metric would miss the last ones of a burst.
            it("are logged one by one with account and reason when refused") {
                val state = Accounts("a" to 1.0, "b" to 1.0)
                state.job("other", "b")
                state.shortageMs = 1
                val refusedCount = List(30) { state.submit("j$it", "a") }.count { it != null }
                val lines = state.linesOf("job_refused")
                lines.size shouldBe refusedCount
                lines.map { it["account"] to it["reason"] }.toSet() shouldBe setOf("a" to "share")
            }
        }
        describe("the report on who holds a pool") {
            // Guards against an entitlement diluted by accounts that want nothing, and against waiting accounts that are not shown.
            it("lists accounts with running or waiting tasks, the one furthest above its weight first") {
                val state = Accounts("a" to 1.0, "b" to 2.0, "c" to 1.0, "idle" to 4.0)
                state.startAll(state.job("a1", "a", count = 8))
                state.startAll(state.job("b1", "b", count = 12))
                state.job("b2", "b", count = 3)
                state.job("c1", "c", count = 5)
                state.shares.sharesIn("pool") shouldBe
                    listOf(
                        AccountShare("a", 8, 0, 0.25, 0.25),
                        AccountShare("b", 12, 3, 0.375, 0.5),
                        AccountShare("c", 0, 5, 0.0, 0.25),
                    )
                state.shares.sharesIn("other").size shouldBe 0
            }
            // Guards against tasks counted as waiting that wait for their own job only.
            it("counts no tasks of steps that are not ready") {
                val state = Accounts("a" to 1.0)
                val steps = listOf(Step(3, TASK), Step(5, TASK, after = listOf(0)))
                state.registry.load(JobSubmission("chain", queue(), "work", steps, account = "a"), null, isInherited = false)
                state.shares.sharesIn("pool").map { it.waitingCount } shouldBe listOf(3)
            }
            // Guards against callers of public routes who hold a pool unseen.
            it("lists the jobs of public routes as one account of mean weight") {
                val state = Accounts("a" to 1.0, "b" to 3.0)
                state.startAll(state.job("public", null, count = 8))
                state.job("a1", "a", count = 1)
                state.shares.sharesIn("pool").map { Triple(it.account, it.share, it.entitledShare) } shouldBe
                    listOf(Triple(null, 0.25, 2.0 / 3), Triple("a", 0.0, 1.0 / 3))
            }
            // Guards against shares of no capacity, such as after the loss of all workers.
            it("is empty for a pool without listed workers") {
                val state = Accounts("a" to 1.0)
                state.startAll(state.job("a1", "a", count = 8))
                state.workers.forEach { it.isListed = false }
                state.usage.recompute()
                state.shares.sharesIn("pool").size shouldBe 0
            }
            // Guards against a walk through all jobs in each pass.
            it("is logged once in 10 s, with a line for each account in the pool") {
                val state = Accounts("a" to 1.0, "b" to 1.0, "idle" to 1.0)
                state.startAll(state.job("a1", "a", count = 8))
                state.job("b1", "b", count = 2)
                repeat(3_000) {
                    state.time.runUntil(state.time.nowMs + 10)
                    state.shares.logIfDue()
                }
                val lines = state.linesOf("account_share")
                lines.groupingBy { it["account"] }.eachCount() shouldBe mapOf("a" to 3, "b" to 3)
                val fields = listOf("pool", "share", "entitledShare", "runs", "waitingTasks")
                fields.map { lines.first()[it] } shouldBe listOf("pool", 0.25, 0.5, 8L, 0)
            }
            // Guards against an explanation that leaves open whether a task waits behind its own account or another.
            it("names in the explanation of a wait the account that is furthest above its weight") {
                val state = Accounts("a" to 1.0, "b" to 3.0)
                state.startAll(state.job("a1", "a", count = 24))
                state.explainWaitOf(state.job("b1", "b", count = 2))
                state.explainWaitOf(state.job("a2", "a", count = 2))
                val fields = listOf("account", "share", "entitledShare", "holder", "holderShare", "holderEntitledShare")
                state.linesOf("task_waits").map { line -> fields.map { line[it] } } shouldBe
                    listOf(
                        listOf("b", 0.0, 0.75, "a", 0.75, 0.25),
                        listOf("a", 0.75, 0.25, "a", 0.75, 0.25),
                    )
            }
        }
        describe("the demand for instances") {
            it("counts only what the cap of the account lets start") {
                val state = Accounts("a" to 1_000.0, capCpuMilli = 16_000)
                repeat(100) { state.job("j$it", "a", count = 4) }
                state.instancesNeeded() shouldBeLessThanOrEqualTo 2
                state.instancesNeeded(object : DemandLimit {}) shouldBeGreaterThan 10
            }
            it("is not forecast from arrivals beyond the weight") {
                val state = Accounts("a" to 1.0)
                val demand = state.demand()
                repeat(100) { number ->
                    val job = state.job("j$number", "a", count = 4)
                    state.submit(job.id, "a")
                    state.admission.onAccepted(job)
                    demand.onAccepted(job)
                }
                demand.needs { CAPACITY }.getValue("pool").arrivingCpuMilli shouldBeLessThanOrEqualTo 6 * 4 * 1_000.0
            }
        }
    })

private fun queue(priority: Int = 0) = Queue("queue", "pool", priority, stretchFactor = 1.6, targetLatencyMs = 600)

/** Places unit tasks of random jobs one by one, as a pass does. */
private class Shares(
    seed: Int,
) {
    private val random = Random(seed)
    private val weights = List(4) { "account-$it" to random.nextInt(1, 6).toDouble() }
    private val state = Accounts(*weights.toTypedArray(), workerCount = 2)

    fun run() {
        val jobs = weights.flatMap { (name, _) -> List(random.nextInt(0, 40)) { state.job("$name-$it", name, count = 1) } }.shuffled(random)
        var free = 32
        for (candidate in state.order(jobs)) if (free-- > 0) state.startAll(candidate.stepRun.job)
        val weighted = weights.associate { (name, weight) -> name to state.usage.of(name).taskCount / weight }
        val waiting = jobs.filter { job -> job.tasks.any { it.phase == TaskPhase.WAITING } }.map { checkNotNull(it.submission.account) }
        state.usage.capacityOf("pool").cpuMilli shouldBe 32_000
        weights.sumOf { (name, _) -> state.usage.of(name).taskCount } shouldBeLessThanOrEqualTo 32
        for (under in waiting.toSet()) {
            for ((over, weight) in weights) {
                // The last task of the other account may have been placed while both were level.
                weighted.getValue(over) - 1 / weight shouldBeLessThanOrEqualTo weighted.getValue(under) + ROUNDING
            }
        }
    }
}

/** Changes workers and their runs at random, and compares the sums after each pass with sums computed from nothing. */
private class ChangingUsage(
    seed: Int,
) {
    private val random = Random(seed)
    private val names = listOf("a", "b", "c")
    private val state = Accounts("a" to 1.0, "b" to 2.0, "c" to 3.0, workerCount = 6)
    private val tasks =
        names
            .flatMap { name ->
                List(4) { state.job("$name-$it", name, count = 1 + random.nextInt(5), isLongRunning = random.nextBoolean()) }
            }.flatMap { it.tasks.toList() }

    fun run() {
        state.registry.load(
            JobSubmission("inherited", queue(), "work", listOf(Step(3, TASK)), account = "c"),
            progress = null,
            isInherited = true,
        )
        repeat(40) {
            repeat(random.nextInt(3)) { change() }
            state.usage.recompute()
            val fresh = state.newUsage()
            for (name in names + null) {
                sumsOf(state.usage, name) shouldBe sumsOf(fresh, name)
            }
            state.usage.capacityOf("pool").cpuMilli shouldBe fresh.capacityOf("pool").cpuMilli
            state.usage.capacityOf("other").cpuMilli shouldBe fresh.capacityOf("other").cpuMilli
        }
    }

    private fun sumsOf(
        usage: AccountUsage,
        name: String?,
    ) = listOf(usage.of(name), usage.inPool("pool", name), usage.inPool("other", name)).map {
        listOf(it.cpuMilli, it.memoryMb, it.gpuCount, it.taskCount, it.endingCount)
    }

    private fun change() {
        val worker = state.workers.random(random)
        val task = tasks.random(random)
        when (random.nextInt(9)) {
            0, 1, 2 -> if (task.worker == null) state.start(task, worker)
            3 -> task.worker?.releaseRun(task, 1)
            4 -> if (!worker.orphanedRuns.containsKey(task.id)) worker.orphanedRuns[task.id] = 7 else worker.orphanedRuns.clear()
            5 -> worker.consecutiveLostHolds = 1 - worker.consecutiveLostHolds
            6 -> worker.unsettledStarts.onSent(task.id, 7, state.time.nowMs)
            7 -> worker.isListed = !worker.isListed
            else -> changeFleet(worker)
        }
    }

    private fun changeFleet(worker: WorkerView) {
        when (random.nextInt(4)) {
            0 -> worker.entry = worker.entry.copy(pool = if (worker.entry.pool == "pool") "other" else "pool")
            1 -> if (state.workers.size > 2) state.workers.remove(worker)
            2 -> state.unreconciled = if (state.unreconciled.isEmpty()) listOf("w-0") else emptyList()
            else -> state.time.runUntil(state.time.nowMs + random.nextLong(8_000))
        }
    }
}

/** A registry, workers and the rules of the given accounts, named with their weights. */
private class Accounts(
    vararg weights: Pair<String, Double>,
    capCpuMilli: Int = 0,
    workerCount: Int = 2,
) {
    private val weightByName = weights.toMap()
    private var configuration = configurationWith(capCpuMilli)
    val time = SimTime()
    private val loop = SimLoop(time)
    private val lines = ArrayList<Pair<String, Map<Any?, Any?>>>()
    private val log = { event: String, fields: Array<out Any?> ->
        lines.add(event to fields.toList().chunked(2).associate { (key, value) -> key to value })
        Unit
    }
    private val committer = Committer(loop, SilentTables, { e, f -> log(e, f) }, OwnerRow("e", "e", 1, 1), 1, { 0 }, {})
    val registry = JobRegistry(loop, committer) { e, f -> log(e, f) }
    val workers =
        MutableList(workerCount) {
            WorkerView(WorkerEntry("w-$it", "w-$it", "pool", "dc", "m-$it", CAPACITY, listOf("kind"), false, null, 1))
        }
    var unreconciled = emptyList<String>()
    var shortageMs = 0L
    val accounts = ActiveAccounts { configuration }.also { it.refresh() }
    val usage = newUsage()
    val limit = CapLimit(loop, accounts, usage) { e, f -> log(e, f) }
    val admission = AccountAdmission(loop, accounts, registry, { e, f -> log(e, f) }, windowMs = 5_000) { shortageMs }
    val shares = AccountShares(loop, accounts, usage, registry) { e, f -> log(e, f) }
    private val runTimes = RunTimeEstimator(MeanRunTimes())
    private val driver =
        WorkerDriver(loop, AnsweringLink(loop), committer, registry, { e, f -> log(e, f) }, 1, 6_000, { true }, {}, {}, {})
    private val explainer =
        WaitExplainer(loop, registry, driver, WorkerChoice(loop, runTimes), { e, f -> log(e, f) }, shares) { false }

    /** The sums computed from nothing. */
    fun newUsage() = AccountUsage(loop, registry, { workers }, { unreconciled }).also { it.recompute() }

    private fun configurationWith(capCpuMilli: Int) =
        JobsConfiguration(
            1,
            emptyList(),
            emptyMap(),
            weightByName.mapValues { (name, weight) -> ClientAccount(name, weight, cap = Demand(capCpuMilli)) },
        )

    fun configure(capCpuMilli: Int) {
        configuration = configurationWith(capCpuMilli)
        accounts.refresh()
    }

    fun job(
        id: String,
        account: String?,
        count: Int = 2,
        priority: Int = 0,
        isLongRunning: Boolean = false,
    ): JobRun = registry.load(submission(id, account, count, priority, isLongRunning), progress = null, isInherited = false)

    private fun submission(
        id: String,
        account: String?,
        count: Int = 2,
        priority: Int = 0,
        isLongRunning: Boolean = false,
    ): JobSubmission {
        val step = Step(count, TASK, estimateMs = 1_000, isLongRunning = isLongRunning)
        return JobSubmission(id, queue(priority), "work", listOf(step), account = account)
    }

    /** The fields of the logged lines of [event]. */
    fun linesOf(event: String): List<Map<Any?, Any?>> = lines.filter { it.first == event }.map { it.second }

    /** Explains the wait of [job] after two seconds. */
    fun explainWaitOf(job: JobRun) {
        time.runUntil(time.nowMs + 2_000)
        val run = job.occurrences.getValue(0).steps[0]
        explainer.explainWaiting(listOf(Candidate(run, run.tasks, false, 1.0)), emptyList())
    }

    fun submit(
        id: String,
        account: String,
    ) = admission.refusalOf(submission(id, account))

    fun order(jobs: List<JobRun>): List<Candidate> {
        val candidates = jobs.map { job -> job.occurrences.getValue(0).steps[0] }.map { Candidate(it, it.tasks, false, 1.0) }
        return FairShareOrder(ObjectiveOrder, accounts, usage).order("pool", candidates)
    }

    /** Starts the tasks of [job] while the limit allows it, and returns how many. */
    fun startAll(
        job: JobRun,
        workerIndex: Int = 0,
    ): Int {
        val started = job.tasks.toList().takeWhile { task -> limit.mayStart(task).also { if (it) start(task, workers[workerIndex]) } }
        return started.size
    }

    fun start(
        task: TaskRun,
        worker: WorkerView,
    ) {
        task.phase = TaskPhase.STARTING
        task.worker = worker
        worker.addRun(task)
        limit.onStarted(task)
    }

    fun demand(limit: DemandLimit = AccountDemandLimit(accounts, usage, registry) { shortageMs }) =
        PoolDemand(loop, registry, runTimes, limit)

    fun instancesNeeded(limit: DemandLimit = AccountDemandLimit(accounts, usage, registry) { shortageMs }): Int =
        demand(limit).needs { CAPACITY }.getValue("pool").instanceCount
}
