/*
 * A seeded history of jobs over a small fleet: entries that are killed, frozen or cut off, a store that is down or loses
 * answers, workers that crash, are cut off or carry orders out late, and callers that submit, ask and cancel.
 */
package io.corianderrock.jobs.world

import io.corianderrock.jobs.entry.CallerAnswer
import io.corianderrock.jobs.entry.JobRequest
import io.corianderrock.jobs.entry.JobRequestRouter
import io.corianderrock.jobs.entry.LocalSchedulerClient
import io.corianderrock.jobs.entry.SchedulerReply
import io.corianderrock.jobs.entry.StoredJobService
import io.corianderrock.jobs.ownership.OwnerElector
import io.corianderrock.jobs.ports.AdviceAnswer
import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.ports.Instance
import io.corianderrock.jobs.ports.InstanceOrderAnswer
import io.corianderrock.jobs.ports.InstanceService
import io.corianderrock.jobs.ports.InstanceState
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.runs.Scheduler
import io.corianderrock.jobs.runs.SchedulerBounds
import io.corianderrock.jobs.runs.SchedulerPorts
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobState
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.JobsConfiguration
import io.corianderrock.jobs.state.MaintenanceWave
import io.corianderrock.jobs.state.Pool
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.TaskId
import kotlin.random.Random

/** One entry: a process that may own the scheduling. */
internal class SimEntry(
    val name: String,
    private val world: JobWorld,
) {
    var loop = SimLoop(world.time)
    var scheduler: Scheduler? = null
    var isCutFromStore = false
    var isCutFromWorkers = false
    var isUp = false
    private lateinit var router: JobRequestRouter

    fun boot() {
        isUp = true
        loop = SimLoop(world.time)
        scheduler = null
        val tables = world.store.seenBy(this)
        val log = { event: String, fields: Array<out Any?> -> world.trace(name, event, fields) }
        val elector =
            OwnerElector(name, name, claimDelayMs = 20, loop, tables, log = {
                event,
                fields,
                ->
                log(event, fields)
            }) { row, version, earlier ->
                val ports =
                    SchedulerPorts(
                        loop = loop,
                        tables = tables,
                        workers = SimWorkerLink(world, this, Random(world.random.nextInt())),
                        instances = world.instancesFor(this),
                        advice = { _, _, onAnswer -> onAnswer(AdviceAnswer(null, 0)) },
                        log = { event, fields -> log(event, fields) },
                        configuration = { world.configuration },
                        waves = { world.waves },
                    )
                val owned = Scheduler(ports, SchedulerBounds(3_000, SimWorker.LONGEST_LEASE_MS), row, version, earlier) { lose() }
                scheduler = owned
                world.listed().forEach(owned::onWorkerListed)
                owned.start()
            }
        this.elector = elector
        val local = LocalSchedulerClient { scheduler }
        router =
            JobRequestRouter(
                scheduler = { request, onReply ->
                    val owner = world.entries.firstOrNull { it.isUp && it.scheduler != null && it.loop.frozenUntilMs <= world.time.nowMs }
                    if (scheduler != null) {
                        local.ask(request, onReply)
                    } else if (owner == null) {
                        onReply(SchedulerReply.NotHandled("no owner"))
                    } else {
                        owner.loop.after(
                            1,
                        ) { LocalSchedulerClient { owner.scheduler }.ask(request) { reply -> loop.after(1) { onReply(reply) } } }
                    }
                },
                store = StoredJobService(tables),
                log = { event, fields -> log(event, fields) },
            )
        elector.start()
    }

    private var elector: OwnerElector? = null

    private fun lose() {
        scheduler = null
        elector?.onLost()
    }

    fun kill() {
        isUp = false
        loop.isKilled = true
        scheduler = null
    }

    fun leave() {
        elector?.stop()
        val owned = scheduler
        scheduler = null
        owned?.release {}
        world.time.after(1_500) { kill() }
    }

    fun ask(
        request: JobRequest,
        onAnswer: (CallerAnswer) -> Unit,
    ) = loop.post { router.handle(request, onAnswer) }
}

internal class JobWorld(
    seed: Int,
    val tampering: OrderTampering = object : OrderTampering {},
    private val hasFaults: Boolean = true,
    private val instanceCount: Int = 6,
    /** Plans disturbances of its own before the jobs are submitted. */
    private val plan: (JobWorld) -> Unit = {},
    private val traces: MutableList<String>? = null,
) {
    val random = Random(seed)
    val time = SimTime()
    val checker = InvariantChecker(time)
    val store = SimStore(time, random)
    val entries = List(3) { SimEntry("entry-$it", this) }
    val configuration =
        JobsConfiguration(
            1,
            emptyList(),
            listOf(
                Pool("a", checksAdmission = true),
                Pool("b"),
                Pool("spare", isStandby = true),
            ).associateBy {
                it.name
            },
        )
    val waves = ArrayList<MaintenanceWave>()
    var lateShare = 0.0
    private val instances = LinkedHashMap<String, Instance>()
    private val workers = LinkedHashMap<String, SimWorker>()
    private val unlisted = HashSet<String>()
    private val submissions = ArrayList<JobSubmission>()
    private var workerCount = 0

    fun trace(
        entry: String,
        event: String,
        fields: Array<out Any?>,
    ) {
        traces?.add("${time.nowMs} $entry $event ${fields.joinToString(" ")}")
    }

    fun worker(id: String): SimWorker? = workers[id]

    fun listed(): List<WorkerEntry> = workers.values.filter { it.isUp && it.entry.id !in unlisted }.map { it.entry }

    fun planOf(task: TaskId): RunPlan {
        val submission = submissions.first { it.id == task.jobId }
        val step = submission.steps[task.step]
        val isPoison = submission.spec == "poison"
        val duration = if (step.isLongRunning) 1_000_000L else random.nextLong(50, 2_500)
        return RunPlan(duration, if (isPoison || random.nextInt(20) == 0) EndKind.FAILED else EndKind.DONE, step.demand)
    }

    fun run(): InvariantChecker {
        repeat(instanceCount) {
            addInstance(
                "m-$it",
                if (it < 2) {
                    "a"
                } else if (it < 4) {
                    "b"
                } else {
                    "spare"
                },
            )
        }
        entries.forEach { it.boot() }
        tickWorkers()
        time.runUntil(time.nowMs + 1_500)
        if (random.nextBoolean()) waves.add(MaintenanceWave(1, instances.keys.take(4), 30.0, 2))
        plan(this)
        repeat(JOBS) { time.after(random.nextLong(0, BUSY_MS)) { submit() } }
        if (hasFaults) repeat(random.nextInt(1, 7)) { time.after(random.nextLong(500, BUSY_MS)) { fault() } }
        time.runUntil(time.nowMs + BUSY_MS + FAULT_MS)
        heal()
        time.runUntil(time.nowMs + QUIET_MS)
        checker.onQuiet(::finalState)
        if (waves.isNotEmpty() && store.completeWaves.isEmpty()) checker.violations.add("MIXED the wave is not complete at the end")
        return checker
    }

    private fun finalState(id: String): JobState? {
        var state: JobState? = null
        entries.first { it.isUp }.ask(JobRequest.State(id, queueOf(id).name)) { if (it is CallerAnswer.State) state = it.state }
        time.runUntil(time.nowMs + 50)
        return state
    }

    private fun queueOf(id: String): Queue = submissions.first { it.id == id }.queue

    private fun addInstance(
        id: String,
        pool: String,
    ) {
        instances[id] = Instance(id, pool, InstanceState.UP, "dc", listOf("kind", "rack"), CAPACITY, null)
        if (pool != "spare") bear(id)
    }

    private fun bear(instanceId: String) {
        val instance = instances.getValue(instanceId)
        val id = "w-${workerCount++}"
        val entry = WorkerEntry(id, id, instance.pool, "dc", instanceId, CAPACITY, instance.labels, false, null, time.nowMs)
        workers[id] = SimWorker(entry, time, if (random.nextBoolean()) 0.98 else 1.0, checker)
        instances[instanceId] = instance.copy(state = InstanceState.UP, workerId = id)
        tellOwners { it.onWorkerListed(entry) }
    }

    private fun tellOwners(action: (Scheduler) -> Unit) {
        for (entry in entries) entry.loop.after(2) { entry.scheduler?.let(action) }
    }

    private fun tickWorkers() {
        workers.values.forEach { it.tick() }
        time.after(TICK_MS) { tickWorkers() }
    }

    fun instancesFor(entry: SimEntry): InstanceService =
        object : InstanceService {
            override fun list(onResult: (List<Instance>?) -> Unit) {
                val present = instances.values.toList()
                entry.loop.after(3) { onResult(present) }
            }

            override fun move(
                instanceId: String,
                pool: String,
                token: Long,
                onAnswer: (InstanceOrderAnswer) -> Unit,
            ) = order(instanceId, InstanceState.MOVING, pool, 1_500, token, onAnswer)

            override fun maintain(
                instanceId: String,
                waveNumber: Int,
                token: Long,
                onAnswer: (InstanceOrderAnswer) -> Unit,
            ) = order(instanceId, InstanceState.MAINTENANCE, null, 2_000, token, onAnswer)

            private fun order(
                instanceId: String,
                state: InstanceState,
                pool: String?,
                tookMs: Long,
                token: Long,
                onAnswer: (InstanceOrderAnswer) -> Unit,
            ) {
                checker.onInstanceOrder(InstanceOrder(instanceId, entry.name, token, time.nowMs))
                if (lateShare > 0 && random.nextDouble() < lateShare) {
                    if (random.nextBoolean()) carryOut(instanceId, state, pool, tookMs)
                    entry.loop.after(700) { onAnswer(InstanceOrderAnswer.Unanswered("answer lost")) }
                    return
                }
                val answer = carryOut(instanceId, state, pool, tookMs)
                entry.loop.after(3) { onAnswer(answer) }
            }
        }

    private fun carryOut(
        instanceId: String,
        state: InstanceState,
        pool: String?,
        tookMs: Long,
    ): InstanceOrderAnswer {
        val instance = instances.getValue(instanceId)
        if (instance.state != InstanceState.UP) return InstanceOrderAnswer.Refused("busy")
        instance.workerId?.let { id ->
            workers[id]?.die()
            tellOwners { it.onWorkerUnlisted(id) }
        }
        instances[instanceId] = instance.copy(pool = pool ?: instance.pool, state = state, workerId = null)
        time.after(tookMs) {
            val moved = instances.getValue(instanceId)
            if (moved.pool == "spare") instances[instanceId] = moved.copy(state = InstanceState.UP) else bear(instanceId)
        }
        return InstanceOrderAnswer.Accepted
    }

    private fun submit() {
        val submission = newSubmission()
        submissions.add(submission)
        checker.onSubmitted(submission)
        sendUntilAccepted(submission, attemptsLeft = 8)
    }

    private fun newSubmission(): JobSubmission {
        val pool = if (random.nextBoolean()) "a" else "b"
        val queue = Queue("queue-$pool", pool, maxAttempts = 3, stretchFactor = 2.0, targetLatencyMs = 600)
        val lasts = random.nextInt(12) == 0
        val steps =
            if (lasts) {
                listOf(Step(2, Demand(1_000, 1_000), isLongRunning = true, maxUnavailable = 1))
            } else {
                List(random.nextInt(1, 4)) {
                    Step(
                        random.nextInt(1, 5),
                        Demand(random.nextInt(500, 4_000), 500),
                        500,
                        if (it ==
                            0
                        ) {
                            emptyList()
                        } else {
                            listOf(it - 1)
                        },
                    )
                }
            }
        return JobSubmission("job${submissions.size}", queue, if (random.nextInt(25) == 0) "poison" else "work", steps)
    }

    private fun sendUntilAccepted(
        submission: JobSubmission,
        attemptsLeft: Int,
    ) {
        if (attemptsLeft == 0) return
        val entry = entries.filter { it.isUp }.randomOrNull(random)
        var isAnswered = false
        entry?.ask(JobRequest.Submit(submission)) { answer ->
            if (!isAnswered && answer is CallerAnswer.Applied) {
                isAnswered = true
                checker.onAccepted(submission.id)
                follow(submission)
            }
        }
        time.after(3_000) { if (!isAnswered) sendUntilAccepted(submission, attemptsLeft - 1) }
    }

    private fun follow(submission: JobSubmission) {
        if (random.nextInt(10) == 0) time.after(random.nextLong(0, 3_000)) { cancel(submission) }
        repeat(3) { time.after(random.nextLong(100, 9_000)) { askState(submission) } }
    }

    private fun cancel(submission: JobSubmission) {
        entries.filter { it.isUp }.randomOrNull(random)?.ask(JobRequest.Cancel(submission.id, submission.queue.name)) {
            if (it is CallerAnswer.Applied) checker.onCancelled(submission.id)
        }
    }

    private fun askState(submission: JobSubmission) {
        val askedAtMs = time.nowMs
        entries.filter { it.isUp }.randomOrNull(random)?.ask(JobRequest.State(submission.id, submission.queue.name)) {
            if (it is CallerAnswer.State) checker.onShown(submission.id, it.state, askedAtMs)
            if (it is CallerAnswer.NotFound) checker.onShown(submission.id, null, askedAtMs)
        }
    }

    private fun fault() {
        val entry = entries.random(random)
        val durationMs = random.nextLong(500, FAULT_MS)
        when (random.nextInt(10)) {
            0, 1 -> restart(entry, durationMs)
            2 -> entries.forEach { restart(it, minOf(durationMs, 2_500)) }
            3 -> freeze(entry, durationMs)
            4 -> during(durationMs, { store.isDown = true }, { store.isDown = false })
            5 -> during(durationMs, { entry.isCutFromStore = true }, { entry.isCutFromStore = false })
            6 -> during(durationMs, { store.lostShare = 0.3 }, { store.lostShare = 0.0 })
            7 -> during(durationMs, { lateShare = 0.2 }, { lateShare = 0.0 })
            8 -> cutWorker(durationMs)
            else -> crashWorker(durationMs)
        }
    }

    private fun during(
        durationMs: Long,
        begin: () -> Unit,
        end: () -> Unit,
    ) {
        begin()
        time.after(durationMs, end)
    }

    private fun restart(
        entry: SimEntry,
        downMs: Long,
    ) {
        if (!entry.isUp) return
        if (random.nextInt(3) == 0) entry.leave() else entry.kill()
        time.after(maxOf(1_600, downMs)) { if (!entry.isUp) entry.boot() }
    }

    private fun freeze(
        entry: SimEntry,
        durationMs: Long,
    ) {
        trace("world", "freeze", arrayOf<Any?>(entry.name, durationMs))
        entry.loop.frozenUntilMs = time.nowMs + durationMs
        if (random.nextBoolean()) entry.loop.lostMs += durationMs
    }

    private fun cutWorker(durationMs: Long) {
        val worker = workers.values.filter { it.isUp }.randomOrNull(random) ?: return
        trace("world", "worker_cut", arrayOf<Any?>(worker.entry.id, durationMs))
        during(durationMs, { worker.isReachable = false }, { worker.isReachable = true })
        time.after(minOf(durationMs, 4_500)) { if (!worker.isReachable) unlist(worker) }
        time.after(durationMs + 100) { if (worker.isUp) list(worker) }
    }

    private fun crashWorker(durationMs: Long) {
        val worker = workers.values.filter { it.isUp }.randomOrNull(random) ?: return
        val instanceId = checkNotNull(worker.entry.instanceId)
        trace("world", "worker_crash", arrayOf<Any?>(worker.entry.id, instanceId, durationMs))
        worker.die()
        time.after(4_500) { unlist(worker) }
        time.after(durationMs) { if (instances.getValue(instanceId).workerId == worker.entry.id) bear(instanceId) }
    }

    private fun unlist(worker: SimWorker) {
        unlisted.add(worker.entry.id)
        trace("world", "unlist", arrayOf<Any?>(worker.entry.id))
        tellOwners { it.onWorkerUnlisted(worker.entry.id) }
    }

    private fun list(worker: SimWorker) {
        unlisted.remove(worker.entry.id)
        trace("world", "list", arrayOf<Any?>(worker.entry.id))
        tellOwners { it.onWorkerListed(worker.entry) }
    }

    private fun heal() {
        store.isDown = false
        store.lostShare = 0.0
        lateShare = 0.0
        workers.values.forEach { it.isReachable = true }
        for (entry in entries) {
            entry.isCutFromStore = false
            if (!entry.isUp) entry.boot()
        }
    }

    private companion object {
        val CAPACITY = Demand(8_000, 32_000)
        const val JOBS = 40
        const val BUSY_MS = 15_000L
        const val FAULT_MS = 8_000L
        const val QUIET_MS = 45_000L
        const val TICK_MS = 10L
    }
}
