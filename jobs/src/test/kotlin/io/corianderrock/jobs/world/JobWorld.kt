/*
 * Seeded simulation of the job scheduler on a small fleet. Faults: entries that are killed, frozen or partitioned from
 * the store; a store that is down or loses answers; workers that crash, are lost for good, restart under their id, are
 * partitioned or receive orders late; connections that go silent, and lists of instances that come late or not at all. Callers
 * submit jobs, query their state and cancel them.
 */
package io.corianderrock.jobs.world

import io.corianderrock.jobs.entry.CallerAnswer
import io.corianderrock.jobs.entry.CallerReach
import io.corianderrock.jobs.entry.JobRequest
import io.corianderrock.jobs.entry.JobRequestRouter
import io.corianderrock.jobs.entry.LocalSchedulerClient
import io.corianderrock.jobs.entry.RetryAdvice
import io.corianderrock.jobs.entry.SchedulerReply
import io.corianderrock.jobs.entry.StoredJobService
import io.corianderrock.jobs.ownership.OwnerElector
import io.corianderrock.jobs.ownership.PeerDirectory
import io.corianderrock.jobs.ownership.PeerStatusClient
import io.corianderrock.jobs.ownership.PeerStatusResult
import io.corianderrock.jobs.ports.AdviceAnswer
import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.ports.Instance
import io.corianderrock.jobs.ports.InstanceOrderAnswer
import io.corianderrock.jobs.ports.InstanceService
import io.corianderrock.jobs.ports.InstanceState
import io.corianderrock.jobs.ports.StartOrder
import io.corianderrock.jobs.ports.WorkerAnswer
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.runs.Scheduler
import io.corianderrock.jobs.runs.SchedulerBounds
import io.corianderrock.jobs.runs.SchedulerPorts
import io.corianderrock.jobs.runs.SchedulingSettings
import io.corianderrock.jobs.state.ClientAccount
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

/** A process that takes requests of callers and may become the owner, which runs the scheduler. */
internal class SimEntry(
    val name: String,
    private val world: JobWorld,
    val dataCentre: String? = null,
) {
    var loop = SimLoop(world.time)
    var scheduler: Scheduler? = null
    var isPartitionedFromStore = false
    var isPartitionedFromWorkers = false
    var isPartitionedFromPeers = false
    var isUp = false

    /** True from the start of a graceful shutdown to the next boot. */
    var isStopping = false
        private set

    /** True if the entry is not started again. */
    var isRemoved = false
        private set
    var processorMilli = 1_500

    /** By how much its time of day is ahead of the others', also after a restart. */
    var wallOffsetMs = 0L
        set(value) {
            field = value
            loop.wallOffsetMs = value
        }
    val isDisrupted: Boolean
        get() =
            !isUp || loop.frozenUntilMs > world.time.nowMs || isPartitionedFromStore || isPartitionedFromWorkers || isPartitionedFromPeers
    private lateinit var router: JobRequestRouter
    var reach: CallerReach? = null
        private set
    private lateinit var advice: RetryAdvice
    var elector: OwnerElector? = null
        private set

    fun boot() {
        isUp = true
        isStopping = false
        loop = SimLoop(world.time).also { it.wallOffsetMs = wallOffsetMs }
        scheduler = null
        val tables = world.store.tablesFor(this)
        val log = { event: String, fields: Array<out Any?> -> world.trace(name, event, fields) }
        val elector =
            OwnerElector(
                name = name,
                address = name,
                processorMilli = processorMilli,
                loop = loop,
                tables = tables,
                log = { event, fields -> log(event, fields) },
                peers = world.peersOf(this),
                directory = PeerDirectory(name, world.entries.map { it.name }),
                canWrite = { scheduler?.canWrite ?: true },
                onSuperseded = { scheduler?.supersede(it) },
                onPeerAnswered = { reach?.onPeerAnswered(it) },
                isSeekingPeers = { reach?.isSeekingPeers ?: false },
                onOwned = { row, version, earlier ->
                    val ports =
                        SchedulerPorts(
                            loop = loop,
                            tables = tables,
                            workers = SimWorkerLink(world, this, Random(world.random.nextInt())),
                            instances = world.instancesFor(this),
                            advice = { _, _, onAnswer -> onAnswer(AdviceAnswer(null, 0)) },
                            log = { event, fields -> log(event, fields) },
                            configuration = { world.configurationOf(this) },
                            waves = { world.waves },
                        )
                    val activeScheduler =
                        Scheduler(
                            ports,
                            SchedulerBounds(3_000, world.longestLeaseMs, remoteFactor = 3.0),
                            row,
                            version,
                            earlier,
                            world.settings,
                        ) { onOwnershipLost() }
                    scheduler = activeScheduler
                    world.events.publish(EventKind.OWNER_CHANGED)
                    world.listedWorkers().forEach(activeScheduler::onWorkerListed)
                    activeScheduler.start()
                },
            )
        this.elector = elector
        val reach = CallerReach(loop, { elector.isStoreSlow }, { elector.storeSilentMs }, dataCentre) { elector.isStoreLost }
        this.reach = reach
        advice = RetryAdvice(loop, Random(name.hashCode()))
        val local = LocalSchedulerClient(advice) { scheduler }
        router =
            JobRequestRouter(
                loop = loop,
                reach = reach,
                advice = advice,
                mayBypassOwner = { world.settings.bypassesSilentOwner && scheduler == null },
                scheduler = { request, onReply ->
                    if (scheduler != null) local.ask(request, onReply) else askOwner(request, onReply)
                },
                store = StoredJobService(loop, tables),
                log = { event, fields -> log(event, fields) },
            )
        elector.start()
    }

    /** Forwards [request] to the owner that this entry knows of, as the peers' protocol does. */
    private fun askOwner(
        request: JobRequest,
        onReply: (SchedulerReply) -> Unit,
    ) {
        val address = elector?.owner?.address
        val owner = world.entries.firstOrNull { it.name == address }
        when {
            owner == null -> onReply(SchedulerReply.NotHandled("no owner known", isNotOwner = true))
            !owner.isUp -> {
                elector?.suspectDead(owner.name)
                loop.after(1) { onReply(SchedulerReply.NotHandled("refused", isConnectionRefused = true)) }
            }
            !world.canReach(this, owner) -> loop.after(PEER_TIMEOUT_MS) { onReply(SchedulerReply.Unanswered("no answer")) }
            else -> forward(owner, request, onReply)
        }
    }

    private fun forward(
        owner: SimEntry,
        request: JobRequest,
        onReply: (SchedulerReply) -> Unit,
    ) {
        var isAnswered = false
        val answer = { reply: SchedulerReply ->
            if (!isAnswered) {
                isAnswered = true
                if (reply is SchedulerReply.Answer) reach?.onOwnerAnswered()
                if (reply is SchedulerReply.NotHandled && reply.isNotOwner) elector?.suspectHandover()
                onReply(reply)
            }
        }
        owner.loop.after(1) {
            LocalSchedulerClient(owner.advice) { owner.scheduler }.ask(request) { reply -> loop.after(1) { answer(reply) } }
        }
        loop.after(PEER_TIMEOUT_MS) { answer(SchedulerReply.Unanswered("no answer in time")) }
    }

    private fun onOwnershipLost() {
        scheduler = null
        elector?.onLost()
    }

    fun setIsolated(isIsolated: Boolean) {
        isPartitionedFromStore = isIsolated
        isPartitionedFromPeers = isIsolated
        isPartitionedFromWorkers = isIsolated
    }

    fun kill() {
        isUp = false
        loop.isKilled = true
        scheduler = null
    }

    fun shutDown() {
        isStopping = true
        elector?.stop()
        val activeScheduler = scheduler
        scheduler = null
        activeScheduler?.release {}
        world.time.after(1_500) { kill() }
    }

    /** Ends the entry for good, by a shutdown or a kill. */
    fun remove(isGraceful: Boolean) {
        isRemoved = true
        if (isGraceful) shutDown() else kill()
    }

    fun ask(
        request: JobRequest,
        onAnswer: (CallerAnswer) -> Unit,
    ) = loop.post { router.handle(request, onAnswer) }

    private companion object {
        const val PEER_TIMEOUT_MS = 1_000L
    }
}

/** The spec of a job whose first task crashes each worker that starts it. */
internal const val DEADLY_SPEC = "deadly"

/** The spec of a job whose tasks run as long as estimated and do not fail. */
internal const val STEADY_SPEC = "steady"

/** The spec of a job whose tasks run eight times as long as most. */
internal const val LONG_SPEC = "long"

/** The mix of jobs and faults of a simulation. */
internal enum class Workload {
    /** Mostly short jobs. */
    SHORT_JOBS,

    /** Many long-running steps, jobs that always fail in bursts, and workers that are lost for good or restart under their id. */
    LONG_RUNNING_JOBS,

    /** As [SHORT_JOBS], but the tasks of some jobs run eight times as long, so that one that is not stopped is seen to run on. */
    EARLY_CANCELS,

    /** As [EARLY_CANCELS], but a third of the jobs is long-running, so that their tasks end by a cancellation only. */
    LASTING_CANCELS,

    /** Jobs with several occurrences, of steps in order, gangs and steps that save checkpoints. */
    TIMED_JOBS,
}

/** The workloads of which the tasks of some jobs run eight times as long as most. */
private val WITH_LONG_TASKS = setOf(Workload.EARLY_CANCELS, Workload.LASTING_CANCELS)

/** How the platform answers lists of instances, each as it was when the list was requested. */
internal fun interface InstanceListAnswers {
    /** Time until the next list is answered, null if it gets no answer. */
    fun nextMs(): Long?
}

internal class JobWorld(
    seed: Int,
    val tampering: OrderTampering = object : OrderTampering {},
    private val hasFaults: Boolean = true,
    private val workload: Workload = Workload.SHORT_JOBS,
    private val instanceCount: Int = if (workload == Workload.LONG_RUNNING_JOBS) 14 else 6,
    val longestLeaseMs: Long = SimWorker.MAX_LEASE_MS,
    val settings: SchedulingSettings = SchedulingSettings(),
    /** The data centres of the entries; null if they tell none. */
    private val dataCentres: List<String>? = null,
    /** Schedules further events of the test before the jobs are submitted. */
    private val scheduleEvents: (JobWorld) -> Unit = {},
    private val traces: MutableList<String>? = null,
    /** The client accounts, to which jobs belong in turn; null for none. */
    private val accounts: Map<String, ClientAccount>? = null,
    /** False to hide the accounts from the scheduler, which shows that the checks depend on its rules. */
    private val enforcesAccounts: Boolean = true,
    /** True to let workers answer holds as soon as a run ends, as real ones do, also while the entry that asked is frozen. */
    val workersPollThemselves: Boolean = false,
    val network: NetworkDelays = SHORT_DELAYS,
    /** True if workers take some of the time that they have to stop a run. */
    private val stopsTakeTime: Boolean = false,
    /**
     * True if the platform answers an order that is already carried out as if it were carried out now, and refuses orders to instances
     * whose worker is leaving, as the protocol says.
     */
    private val answersDoneOrders: Boolean = false,
    entryCount: Int = 3,
    /** True if the platform lists the instance of a worker that has crashed as down until its next worker starts. */
    private val showsCrashedInstancesDown: Boolean = false,
) {
    val random = Random(seed)
    val time = SimTime()
    val events = WorldEvents()
    val checker = InvariantChecker(time, events, List(entryCount) { "entry-$it" }, ::capsOf)
    val store = SimStore(time, random)
    val entries = List(entryCount) { SimEntry("entry-$it", this, dataCentres?.get(it)) }
    private val pools = listOf(Pool("a", checksAdmission = true), Pool("b"), Pool("spare", isStandby = true))

    /** All versions of the configuration, with the times at which they were acknowledged. */
    private val configurations = ArrayList<Pair<Long, JobsConfiguration>>()
    val waves = ArrayList<MaintenanceWave>()

    /** The next log line of this event throws, as an unexpected error in the code around it would. */
    var failingEvent: String? = null
    var lateDeliveryRatio = 0.0

    /**
     * Share of the starts alone that workers carry out late, each with a lease that counts from its arrival: the most that any worker grants.
     * Unlike [lateDeliveryRatio] this is no disruption, as the rule on cancelled jobs holds beside it.
     */
    var lateStartRatio = 0.0

    /** Share of the orders to instances that get no answer: carried out at once, late or not at all. */
    var lateInstanceOrderRatio = 0.0

    /** How lists of instances are answered. */
    var instanceLists: InstanceListAnswers = InstanceListAnswers { LIST_ANSWER_MS }

    /** Times up to which the connections between an entry and a worker, by their names, are silent. */
    private val silentUntilMs = HashMap<Pair<String, String>, Long>()

    /** Time up to which orders that were delayed by a fault may still arrive. */
    var lateDeliveriesOverAtMs = 0L
    private var crashesOverAtMs = 0L
    private val instances = LinkedHashMap<String, Instance>()
    private val workers = LinkedHashMap<String, SimWorker>()
    private val unlisted = HashSet<String>()

    /** Instances whose worker was lost for good; true for those that the platform does not list any more. */
    private val lostInstances = HashMap<String, Boolean>()

    /** Instances that have had their upkeep in the wave. */
    private val maintained = HashSet<String>()
    private val submissions = ArrayList<JobSubmission>()
    private var workerCount = 0

    /** The gangs that have begun, by their steps, occurrences and run numbers. */
    private val gangs = HashMap<Pair<TaskId, Long>, SimGang>()
    val jobIds: List<String> get() = submissions.map { it.id }

    fun trace(
        entry: String,
        event: String,
        fields: Array<out Any?>,
    ) {
        if (event == failingEvent) {
            failingEvent = null
            error("injected failure of the event $event")
        }
        traces?.add("${time.nowMs} $entry $event ${fields.joinToString(" ")}")
    }

    /** Peers answer at once, except that those that are frozen, down or partitioned from their peers do not. */
    fun peersOf(entry: SimEntry): PeerStatusClient =
        PeerStatusClient { address, onResult ->
            val loop = entry.loop
            val peer = entries.first { it.name == address }
            if (peer.isUp && canReach(entry, peer)) {
                loop.after(
                    2,
                ) { onResult(PeerStatusResult.Answered(checkNotNull(peer.elector).status().copy(dataCentre = peer.dataCentre))) }
            } else {
                loop.after(500) { onResult(PeerStatusResult.Unreachable("no answer")) }
            }
        }

    /** False while [peer] is frozen or one of the two is partitioned from its peers, except from those of its data centre. */
    fun canReach(
        entry: SimEntry,
        peer: SimEntry,
    ): Boolean =
        peer.loop.frozenUntilMs <= time.nowMs &&
            (
                !peer.isPartitionedFromPeers &&
                    !entry.isPartitionedFromPeers ||
                    entry.dataCentre != null &&
                    entry.dataCentre == peer.dataCentre
            )

    /** Puts [next] in force. */
    fun configure(
        next: Map<String, ClientAccount>?,
        nextPools: List<Pool> = pools,
    ) {
        events.publish(EventKind.CONFIGURED)
        val version = JobsConfiguration(configurations.size + 1L, emptyList(), nextPools.associateBy { it.name }, next)
        configurations.add(time.nowMs to version)
    }

    /** Puts a version in force in which workers of some pools are said to check what is started there, as routes and services change. */
    fun reconfigure(draws: Random) =
        configure(accounts, pools.map { if (it.isStandby) it else it.copy(checksAdmission = draws.nextBoolean()) })

    /** The caps of [account] in all versions that may be in force. */
    private fun capsOf(account: String): List<Demand> =
        configurations
            .filterIndexed { index, _ -> configurations.getOrNull(index + 1).let { it == null || time.nowMs < it.first + APPLY_MS } }
            .mapNotNull { (_, version) -> version.accounts?.get(account)?.cap }

    /** The version by which [entry] acts: entries learn of a version one after the other. */
    fun configurationOf(entry: SimEntry): JobsConfiguration? {
        val delayMs = entries.indexOf(entry) * CONFIGURATION_DELAY_MS
        val known = configurations.lastOrNull { it.first + delayMs <= time.nowMs } ?: configurations.first()
        return if (enforcesAccounts) known.second else known.second.copy(accounts = null)
    }

    fun worker(id: String): SimWorker? = workers[id]

    /** The worker that runs [task], or null. */
    fun workerOf(task: TaskId): SimWorker? = workers.values.firstOrNull { it.isUp && task in it.runningTasks }

    fun listedWorkers(): List<WorkerEntry> = workers.values.filter { it.isUp && it.entry.id !in unlisted }.map { it.listing }

    fun runPlanOf(
        task: TaskId,
        runNumber: Long,
    ): RunPlan {
        val submission = submissions.first { it.id == task.jobId }
        val step = submission.steps[task.step]
        if (step.isGang) return gangPlan(task, runNumber, step)
        val isPoison = submission.spec == "poison"
        val duration =
            when {
                submission.spec == STEADY_SPEC -> step.estimateMs
                submission.spec == LONG_SPEC -> random.nextLong(400, 10_000)
                !step.isLongRunning -> random.nextLong(50, 2_500)
                workload == Workload.LONG_RUNNING_JOBS && random.nextInt(4) == 0 -> random.nextLong(200, 20_000)
                else -> 1_000_000L
            }
        val end = if (isPoison || submission.spec != STEADY_SPEC && random.nextInt(20) == 0) EndKind.FAILED else EndKind.DONE
        val crashesWorker = submission.spec == DEADLY_SPEC && task.index == 0
        return RunPlan(duration, end, step.demand, crashesWorker, gang = null, checkpointIntervalMs(step))
    }

    private fun gangPlan(
        task: TaskId,
        runNumber: Long,
        step: Step,
    ): RunPlan {
        val gang = gangs.getOrPut(task.copy(index = 0) to runNumber) { SimGang(step.count, fails = random.nextInt(20) == 0) }
        val fails = gang.fails && task.index == 0
        return RunPlan(
            if (fails) GANG_WORK_MS / 2 else GANG_WORK_MS,
            if (fails) EndKind.FAILED else EndKind.DONE,
            step.demand,
            gang = gang,
            checkpointIntervalMs = checkpointIntervalMs(step),
        )
    }

    private fun checkpointIntervalMs(step: Step): Long? = if (step.isCheckpointing) CHECKPOINT_INTERVAL_MS else null

    /** Carries out [order] of the entry [sender] on [worker], which may crash the worker. */
    fun start(
        worker: SimWorker,
        order: StartOrder,
        sender: String,
    ): WorkerAnswer {
        val plan = runPlanOf(order.task, order.runNumber)
        val answer = worker.start(order, plan, sender)
        trace(
            "world",
            "start_received",
            arrayOf<Any?>(worker.entry.id, order.task, order.runNumber, worker.entry.bornWallMs, answer, sender),
        )
        if (plan.crashesWorker && answer is WorkerAnswer.Done) {
            time.after(CRASH_DELAY_MS) { if (worker.isUp && order.task in worker.runningTasks) crashWorker(worker, CRASHED_FOR_MS) }
        }
        return answer
    }

    fun run(): InvariantChecker {
        configure(accounts)
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
        scheduleEvents(this)
        repeat(JOB_COUNT) { time.after(random.nextLong(0, SUBMISSION_WINDOW_MS)) { submit() } }
        if (hasFaults) repeat(random.nextInt(1, 7)) { time.after(random.nextLong(500, SUBMISSION_WINDOW_MS)) { injectAnyFault() } }
        time.runUntil(time.nowMs + SUBMISSION_WINDOW_MS + MAX_FAULT_MS)
        clearFaults()
        time.runUntil(time.nowMs + RECOVERY_MS)
        checker.checkFinalStates(::finalState)
        // Instances that do not stay are not due: their part of a wave cannot be done.
        val isWaveDue = waves.any { wave -> wave.instanceIds.none { it in lostInstances } }
        if (isWaveDue && store.completeWaves.isEmpty()) checker.violations.add("MIXED the wave is not complete at the end")
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
        val rack = if (settings.waitsForPreferredRack) "rack-${instances.size % RACK_COUNT}" else "rack"
        instances[id] = Instance(id, pool, InstanceState.UP, "dc", listOf("kind", rack), CAPACITY, null)
        if (pool != "spare") startWorker(id)
    }

    private fun startWorker(instanceId: String) {
        val instance = instances.getValue(instanceId)
        val id = "w-${workerCount++}"
        val entry = WorkerEntry(id, id, instance.pool, "dc", instanceId, CAPACITY, instance.labels, false, null, time.nowMs)
        workers[id] = newWorker(entry)
        checker.contact.onDisrupted(id)
        events.publish(EventKind.WORKER_JOINED, worker = workers[id])
        instances[instanceId] = instance.copy(state = InstanceState.UP, workerId = id)
        notifyOwners { it.onWorkerListed(entry) }
    }

    private fun newWorker(entry: WorkerEntry): SimWorker {
        val clockRate = if (random.nextBoolean()) 0.98 else 1.0
        return SimWorker(entry, time, clockRate, checker, longestLeaseMs) { if (stopsTakeTime) random.nextLong(0, MAX_STOP_MS) else 0 }
    }

    private fun notifyOwners(action: (Scheduler) -> Unit) {
        for (entry in entries) entry.loop.after(2) { entry.scheduler?.let(action) }
    }

    private fun tickWorkers() {
        workers.values.forEach { it.tick() }
        recordDisruptions()
        checker.checkCancelledJobs(workers.values)
        if ((time.nowMs / TICK_MS) % CHECK_INTERVAL_TICKS == 0L) {
            val usable = workers.values.filter { it.isUp && it.isReachable && it.entry.id !in unlisted && !it.isDraining }
            checker.checkLongRunningTasks(usable, isDisrupted())
            checker.checkEnds(workers.values)
            checker.checkCancelAnswers()
        }
        time.after(TICK_MS) { tickWorkers() }
    }

    private fun recordDisruptions() {
        val contact = checker.contact
        val losesMessages = lateDeliveryRatio > 0
        if (!store.isSound) contact.onDisrupted(Contact.STORE)
        // An entry that has been removed is no machine any more once it has ended.
        val present = entries.filter { !it.isRemoved || it.isUp }
        present.filter { it.isDisrupted || it.isStopping || losesMessages }.forEach { contact.onDisrupted(it.name) }
        workers.values.filter { !it.isUp || !it.isReachable || losesMessages }.forEach { contact.onDisrupted(it.entry.id) }
        for ((ends, untilMs) in silentUntilMs) {
            if (time.nowMs < untilMs) listOf(ends.first, ends.second).forEach(contact::onDisrupted)
        }
    }

    /** True while a fault is active; a worker that has crashed or left counts as one until [crashesOverAtMs]. */
    private fun isDisrupted(): Boolean =
        time.nowMs < crashesOverAtMs ||
            store.isDown ||
            store.lostAnswerRatio > 0 ||
            lateDeliveryRatio > 0 ||
            time.nowMs < lateDeliveriesOverAtMs ||
            silentUntilMs.values.any { time.nowMs < it } ||
            workers.values.any { it.isUp && (!it.isReachable || it.isDraining) } ||
            entries.any { it.isDisrupted && !it.isRemoved }

    fun instancesFor(entry: SimEntry): InstanceService =
        object : InstanceService {
            override fun list(onResult: (List<Instance>?) -> Unit) {
                val snapshot = instances.values.filter { lostInstances[it.id] != true }
                val answeredInMs = instanceLists.nextMs()
                if (answeredInMs == null) {
                    entry.loop.after(LIST_TIMEOUT_MS) { onResult(null) }
                } else {
                    entry.loop.after(answeredInMs) { onResult(snapshot) }
                }
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
                durationMs: Long,
                token: Long,
                onAnswer: (InstanceOrderAnswer) -> Unit,
            ) {
                checker.onInstanceOrder(InstanceOrder(instanceId, entry.name, token, time.nowMs))
                if (lateDeliveryRatio > 0 && random.nextDouble() < lateDeliveryRatio) {
                    if (random.nextBoolean()) execute(instanceId, state, pool, durationMs)
                    entry.loop.after(700) { onAnswer(InstanceOrderAnswer.Unanswered("answer lost")) }
                    return
                }
                if (lateInstanceOrderRatio > 0 && random.nextDouble() < lateInstanceOrderRatio) {
                    val delayMs = if (random.nextBoolean()) random.nextLong(0, 100) else random.nextLong(2_000, MAX_LATE_MS)
                    val isCarriedOut = random.nextInt(5) > 0
                    if (isCarriedOut) time.after(delayMs) { executeOrTellDone(instanceId, state, pool, durationMs, isLate = true) }
                    entry.loop.after(700) { onAnswer(InstanceOrderAnswer.Unanswered("answer lost")) }
                    return
                }
                val answer = executeOrTellDone(instanceId, state, pool, durationMs)
                entry.loop.after(3) { onAnswer(answer) }
            }
        }

    private fun executeOrTellDone(
        instanceId: String,
        state: InstanceState,
        pool: String?,
        durationMs: Long,
        isLate: Boolean = false,
    ): InstanceOrderAnswer {
        val instance = instances.getValue(instanceId)
        val isDone = if (pool == null) instanceId in maintained else instance.pool == pool
        val answer =
            when {
                answersDoneOrders && isDone -> InstanceOrderAnswer.Accepted
                answersDoneOrders && instance.workerId?.let(workers::get)?.isDraining == true -> InstanceOrderAnswer.Refused("busy")
                else -> execute(instanceId, state, pool, durationMs)
            }
        if (answer is InstanceOrderAnswer.Accepted && pool == null) maintained.add(instanceId)
        if (isDone && !isLate) events.publish(EventKind.ORDER_WAS_DONE, worker = instance.workerId?.let(workers::get))
        trace(
            "world",
            "instance_order",
            arrayOf<Any?>(instanceId, state, pool, if (isDone) "done" else "new", answer, if (isLate) "late" else ""),
        )
        return answer
    }

    private fun execute(
        instanceId: String,
        state: InstanceState,
        pool: String?,
        durationMs: Long,
    ): InstanceOrderAnswer {
        val instance = instances.getValue(instanceId)
        if (instance.state != InstanceState.UP) return InstanceOrderAnswer.Refused("busy")
        instance.workerId?.let { id ->
            workers[id]?.kill()
            notifyOwners { it.onWorkerUnlisted(id) }
        }
        instances[instanceId] = instance.copy(pool = pool ?: instance.pool, state = state, workerId = null)
        time.after(durationMs) {
            val moved = instances.getValue(instanceId)
            if (moved.pool == "spare") instances[instanceId] = moved.copy(state = InstanceState.UP) else startWorker(instanceId)
        }
        return InstanceOrderAnswer.Accepted
    }

    private fun submit() {
        val submission = newSubmission()
        submit(submission) { scheduleQueries(submission) }
    }

    /** Sends [submission] until an entry has accepted it. */
    fun submit(
        submission: JobSubmission,
        onAccepted: () -> Unit = {},
    ) {
        register(submission)
        sendUntilAccepted(submission, attemptsLeft = 8, onAccepted)
    }

    /** Makes a job that a test submits by itself known to the workers and the invariant checker. */
    fun register(submission: JobSubmission) {
        submissions.add(submission)
        checker.onSubmitted(submission)
        events.publish(EventKind.JOB_SENT, submission.id)
    }

    private fun newSubmission(): JobSubmission {
        if (workload == Workload.TIMED_JOBS) return timedJob(submissions.size, time.nowMs, random)
        val pool = if (random.nextBoolean()) "a" else "b"
        val queue = Queue("queue-$pool", pool, maxAttempts = 3, stretchFactor = 2.0, targetLatencyMs = 600)
        val longRunningOneIn =
            when (workload) {
                Workload.LONG_RUNNING_JOBS -> 6
                Workload.LASTING_CANCELS -> 3
                else -> 12
            }
        val isLongRunningJob = random.nextInt(longRunningOneIn) == 0
        val steps =
            if (isLongRunningJob && workload == Workload.LONG_RUNNING_JOBS) {
                listOf(longRunningStep())
            } else if (isLongRunningJob) {
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
                        preferredRack = if (settings.waitsForPreferredRack) "rack-${submissions.size % RACK_COUNT}" else null,
                    )
                }
            }
        val account = accounts?.keys?.elementAt(submissions.size % accounts.size)
        val spec =
            when {
                random.nextInt(25) == 0 -> "poison"
                workload in WITH_LONG_TASKS && !isLongRunningJob && random.nextInt(3) == 0 -> LONG_SPEC
                else -> "work"
            }
        return JobSubmission("job${submissions.size}", queue, spec, if (spec == LONG_SPEC) steps.take(1) else steps, account = account)
    }

    private fun longRunningStep(): Step =
        Step(
            count = random.nextInt(1, 6),
            demand = Demand(random.nextInt(300, 1_500), 1_000),
            maxPerWorker = if (random.nextBoolean()) 1 else null,
            isLongRunning = true,
            maxUnavailable = random.nextInt(1, 3),
        )

    private fun sendUntilAccepted(
        submission: JobSubmission,
        attemptsLeft: Int,
        onAccepted: () -> Unit,
    ) {
        if (attemptsLeft == 0) return
        val entry = entries.filter { it.isUp }.randomOrNull(random)
        var isAnswered = false
        entry?.ask(JobRequest.Submit(submission)) { answer ->
            if (!isAnswered && answer is CallerAnswer.Applied) {
                isAnswered = true
                checker.onAccepted(submission.id)
                events.publish(EventKind.JOB_ACCEPTED, submission.id)
                onAccepted()
            }
        }
        time.after(3_000) { if (!isAnswered) sendUntilAccepted(submission, attemptsLeft - 1, onAccepted) }
    }

    private fun scheduleQueries(submission: JobSubmission) {
        if (random.nextInt(10) == 0) time.after(random.nextLong(0, 3_000)) { cancel(submission.id) }
        repeat(3) { time.after(random.nextLong(100, 9_000)) { askState(submission) } }
    }

    /** Cancels the job [id], again after [CANCEL_RETRY_MS] while no answer tells the outcome. */
    fun cancel(
        id: String,
        attemptsLeft: Int = 1,
    ) {
        var isAnswered = false
        checker.onCancelSent(id)
        entries.filter { it.isUp }.randomOrNull(random)?.ask(JobRequest.Cancel(id, queueOf(id).name)) {
            if (it is CallerAnswer.Applied || it is CallerAnswer.NotFound) checker.onCancelAnswered(id)
            isAnswered = isAnswered || it is CallerAnswer.Applied || it is CallerAnswer.NotFound
            if (it is CallerAnswer.Applied || it is CallerAnswer.NotFound) checker.onCancelled(id)
            if (it is CallerAnswer.NotApplied) checker.onCancelRefused(id)
        }
        time.after(CANCEL_RETRY_MS) {
            if (attemptsLeft == 1) {
                checker.onCancelAnswered(id)
            } else if (!isAnswered) {
                cancel(id, attemptsLeft - 1)
            }
        }
    }

    private fun askState(submission: JobSubmission) {
        val askedAtMs = time.nowMs
        events.publish(EventKind.STATE_ASKED, submission.id)
        entries.filter { it.isUp }.randomOrNull(random)?.ask(JobRequest.State(submission.id, submission.queue.name)) {
            if (it is CallerAnswer.State) checker.onStateReported(submission.id, it.state, askedAtMs)
            if (it is CallerAnswer.NotFound) checker.onStateReported(submission.id, null, askedAtMs)
        }
    }

    private fun injectAnyFault() {
        if (workload != Workload.LONG_RUNNING_JOBS || random.nextBoolean()) injectFault() else injectFaultOfWorkers()
    }

    private fun injectFaultOfWorkers() {
        val durationMs = random.nextLong(500, MAX_FAULT_MS)
        val worker = upWorkers().randomOrNull(random) ?: return
        when (random.nextInt(5)) {
            0 -> loseWorker(worker, isInstanceRemoved = random.nextBoolean())
            1 -> rack().forEach { crashWorker(it, durationMs) }
            2 -> {
                val isRemoved = random.nextBoolean()
                rack().forEach { loseWorker(it, isRemoved) }
            }
            3 -> restartUnderSameId(worker, durationMs)
            else -> repeat(POISON_BURST_COUNT) { time.after(random.nextLong(0, durationMs)) { submitPoison() } }
        }
        if (random.nextInt(3) == 0) restart(entries.firstOrNull { it.scheduler != null } ?: entries.random(random), durationMs)
    }

    fun upWorkers(): List<SimWorker> = workers.values.filter { it.isUp }

    private fun rack(): List<SimWorker> = upWorkers().shuffled(random).take(RACK_SIZE)

    private fun submitPoison() {
        val submission = newSubmission().copy(spec = "poison", steps = listOf(Step(4, Demand(1_000, 500), 500)))
        submit(submission)
    }

    /** Ends [worker] for good: no other worker joins on its instance, which the platform lists as down, or not at all. */
    fun loseWorker(
        worker: SimWorker,
        isInstanceRemoved: Boolean,
    ) {
        if (lostInstances.size == MAX_LOST_INSTANCES) return
        val instanceId = checkNotNull(worker.entry.instanceId)
        trace("world", "worker_lost_for_good", arrayOf<Any?>(worker.entry.id, instanceId, worker.runningTasks))
        checker.onWorkerCrashed(worker)
        worker.kill()
        crashesOverAtMs = maxOf(crashesOverAtMs, time.nowMs + LOSS_MS)
        time.after(UNLISTED_AFTER_MS) { unlistWorker(worker) }
        val instance = instances.getValue(instanceId)
        instances[instanceId] = instance.copy(state = InstanceState.DOWN, workerId = null)
        lostInstances[instanceId] = isInstanceRemoved
    }

    /**
     * Ends [worker] and starts it again [downMs] later under the same id, without any of its state. No entry reaches the new
     * incarnation for its first [unreachableMs], in which orders that were sent to the last one may still be carried out by it.
     */
    fun restartUnderSameId(
        worker: SimWorker,
        downMs: Long,
        unreachableMs: Long = 0,
    ) {
        events.publish(EventKind.WORKER_RESTARTED, worker = worker)
        trace("world", "worker_restarts", arrayOf<Any?>(worker.entry.id, downMs))
        checker.onWorkerCrashed(worker)
        worker.kill()
        crashesOverAtMs = maxOf(crashesOverAtMs, time.nowMs + downMs)
        showDown(worker)
        time.after(UNLISTED_AFTER_MS) { if (workers[worker.entry.id] === worker) unlistWorker(worker) }
        time.after(downMs) {
            if (isStillDown(worker) && workers[worker.entry.id] === worker) {
                instances.computeIfPresent(checkNotNull(worker.entry.instanceId)) { _, instance ->
                    instance.copy(state = InstanceState.UP, workerId = worker.entry.id)
                }
                val entry = worker.entry.copy(bornWallMs = time.nowMs)
                val next = newWorker(entry)
                workers[entry.id] = next
                if (unreachableMs == 0L) listWorker(next) else listOnceReachable(next, unreachableMs)
            }
        }
    }

    private fun showDown(worker: SimWorker) {
        if (!showsCrashedInstancesDown) return
        val instanceId = checkNotNull(worker.entry.instanceId)
        instances[instanceId] = instances.getValue(instanceId).copy(state = InstanceState.DOWN, workerId = null)
    }

    /** True while no other worker has joined on the instance of [worker], which has crashed, and no order has changed the instance. */
    private fun isStillDown(worker: SimWorker): Boolean {
        val instance = instances.getValue(checkNotNull(worker.entry.instanceId))
        return if (showsCrashedInstancesDown) instance.state == InstanceState.DOWN else instance.workerId == worker.entry.id
    }

    private fun listOnceReachable(
        worker: SimWorker,
        unreachableMs: Long,
    ) {
        worker.isReachable = false
        time.after(unreachableMs) {
            worker.isReachable = true
            if (worker.isUp) listWorker(worker)
        }
    }

    private fun injectFault() {
        val entry = entries.random(random)
        val durationMs = random.nextLong(500, MAX_FAULT_MS)
        when (random.nextInt(11)) {
            0, 1 -> restart(entry, durationMs)
            2 -> entries.forEach { restart(it, minOf(durationMs, 2_500)) }
            3 -> freeze(entry, durationMs)
            4 -> during(durationMs, { store.isDown = true }, { store.isDown = false })
            5 -> during(durationMs, { entry.isPartitionedFromStore = true }, { entry.isPartitionedFromStore = false })
            6 -> during(durationMs, { store.lostAnswerRatio = 0.3 }, { store.lostAnswerRatio = 0.0 })
            7 -> during(durationMs, { lateDeliveryRatio = 0.2 }, { lateDeliveryRatio = 0.0 })
            8 -> partitionWorker(durationMs)
            9 -> isolate(entry, durationMs)
            else -> upWorkers().randomOrNull(random)?.let { crashWorker(it, durationMs) }
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

    fun restart(
        entry: SimEntry,
        downMs: Long,
    ) {
        if (!entry.isUp) return
        events.publish(EventKind.ENTRY_RESTARTED)
        if (random.nextInt(3) == 0) entry.shutDown() else entry.kill()
        time.after(maxOf(1_600, downMs)) { if (!entry.isUp && !entry.isRemoved) entry.boot() }
    }

    /** Cuts [entry] off from the store, from its peers and from the workers, while its callers still reach it. */
    fun isolate(
        entry: SimEntry,
        durationMs: Long,
    ) {
        events.publish(EventKind.ENTRY_ISOLATED)
        during(durationMs, { entry.setIsolated(true) }, { entry.setIsolated(false) })
    }

    fun freeze(
        entry: SimEntry,
        durationMs: Long,
    ) {
        events.publish(EventKind.ENTRY_FROZEN)
        trace("world", "entry_frozen", arrayOf<Any?>(entry.name, durationMs))
        entry.loop.frozenUntilMs = time.nowMs + durationMs
        if (random.nextBoolean()) entry.loop.suspendedMs += durationMs
    }

    private fun partitionWorker(durationMs: Long) {
        partition(upWorkers().randomOrNull(random) ?: return, durationMs)
    }

    /** Cuts [worker], which runs on, off from all entries and from discovery. */
    fun partition(
        worker: SimWorker,
        durationMs: Long,
    ) {
        events.publish(EventKind.WORKER_CUT_OFF, worker = worker)
        trace("world", "worker_partitioned", arrayOf<Any?>(worker.entry.id, durationMs))
        during(durationMs, { worker.isReachable = false }, { worker.isReachable = true })
        time.after(minOf(durationMs, UNLISTED_AFTER_MS)) { if (!worker.isReachable) unlistWorker(worker) }
        time.after(durationMs + 100) { if (worker.isUp) listWorker(worker) }
    }

    /** Lets orders of [entry] to the worker [workerId] get no answer for [durationMs]; those sent meanwhile are not carried out. */
    fun silence(
        entry: SimEntry,
        workerId: String,
        durationMs: Long,
    ) {
        events.publish(EventKind.CONNECTION_SILENT, worker = workers[workerId])
        trace("world", "connection_silent", arrayOf<Any?>(entry.name, workerId, durationMs))
        silentUntilMs.merge(entry.name to workerId, time.nowMs + durationMs, ::maxOf)
    }

    fun isSilent(
        entry: SimEntry,
        workerId: String,
    ): Boolean = silentUntilMs[entry.name to workerId].let { it != null && time.nowMs < it }

    fun crashWorker(
        worker: SimWorker,
        durationMs: Long,
    ) {
        val instanceId = checkNotNull(worker.entry.instanceId)
        events.publish(EventKind.WORKER_CRASHED, worker = worker)
        trace("world", "worker_crashed", arrayOf<Any?>(worker.entry.id, instanceId, durationMs))
        checker.onWorkerCrashed(worker)
        worker.kill()
        crashesOverAtMs = maxOf(crashesOverAtMs, time.nowMs + durationMs)
        time.after(UNLISTED_AFTER_MS) { unlistWorker(worker) }
        showDown(worker)
        time.after(durationMs) { if (isStillDown(worker)) startWorker(instanceId) }
    }

    /** Announces that [worker] leaves, which it does [leavesAfterMs] after [noticeMs], the time that it owes; another one joins on its instance. */
    fun drain(
        worker: SimWorker,
        leavesAfterMs: Long,
        noticeMs: Long = DRAIN_MS,
    ) {
        if (worker.isDraining) return
        val instanceId = checkNotNull(worker.entry.instanceId)
        events.publish(EventKind.WORKER_DRAINED, worker = worker)
        trace("world", "worker_drains", arrayOf<Any?>(worker.entry.id, leavesAfterMs))
        worker.isDraining = true
        worker.leavesInMs = noticeMs
        for (entry in entries) entry.loop.after(2) { worker.drainToldAtMs = worker.drainToldAtMs ?: time.nowMs }
        listWorker(worker)
        time.after(noticeMs + leavesAfterMs) {
            if (worker.isUp) {
                worker.kill()
                crashesOverAtMs = maxOf(crashesOverAtMs, time.nowMs + LEFT_FOR_MS)
                unlistWorker(worker)
                time.after(LEFT_FOR_MS) { if (instances.getValue(instanceId).workerId == worker.entry.id) startWorker(instanceId) }
            }
        }
    }

    /** Removes the registry's row of [worker], which runs on, for [durationMs]. */
    fun hide(
        worker: SimWorker,
        durationMs: Long,
    ) {
        unlistWorker(worker)
        time.after(durationMs) { if (worker.isUp && workers[worker.entry.id] === worker) listWorker(worker) }
    }

    /** Ends [entry] for good. */
    fun remove(
        entry: SimEntry,
        isGraceful: Boolean,
    ) {
        events.publish(EventKind.ENTRY_REMOVED)
        trace("world", "entry_removed", arrayOf<Any?>(entry.name, if (isGraceful) "SIGTERM" else "kill"))
        checker.contact.onDisrupted(entry.name)
        entry.remove(isGraceful)
    }

    /** Delivers a share of the orders late for [durationMs]. */
    fun delayOrders(durationMs: Long) {
        events.publish(EventKind.ORDERS_LATE)
        during(durationMs, { lateDeliveryRatio = 0.7 }, { lateDeliveryRatio = 0.0 })
    }

    fun loseStoreAnswers(durationMs: Long) {
        events.publish(EventKind.STORE_DISRUPTED)
        during(durationMs, { store.lostAnswerRatio = 0.5 }, { store.lostAnswerRatio = 0.0 })
    }

    fun takeStoreDown(durationMs: Long) {
        events.publish(EventKind.STORE_DISRUPTED)
        during(durationMs, { store.isDown = true }, { store.isDown = false })
    }

    /** Asks each entry for the numbers of waiting jobs. */
    fun askPending() {
        val askedAtMs = time.nowMs
        for (entry in entries.filter { it.isUp }) {
            for (queueName in listOf("queue-a", "queue-b")) {
                entry.ask(JobRequest.Pending(queueName)) {
                    if (it is CallerAnswer.Pending) checker.onPendingReported(queueName, it.count, askedAtMs)
                }
            }
        }
    }

    /** Sends the job [id], which was sent before, once more. */
    fun resend(id: String) {
        events.publish(EventKind.JOB_SENT, id)
        entries.filter { it.isUp }.randomOrNull(random)?.ask(JobRequest.Submit(submissions.first { it.id == id })) {}
    }

    fun askState(id: String) = askState(submissions.first { it.id == id })

    private fun unlistWorker(worker: SimWorker) {
        unlisted.add(worker.entry.id)
        trace("world", "worker_unlisted", arrayOf<Any?>(worker.entry.id))
        notifyOwners { it.onWorkerUnlisted(worker.entry.id) }
    }

    private fun listWorker(worker: SimWorker) {
        unlisted.remove(worker.entry.id)
        trace("world", "worker_listed", arrayOf<Any?>(worker.entry.id))
        notifyOwners { it.onWorkerListed(worker.listing) }
    }

    private fun clearFaults() {
        store.isDown = false
        store.lostAnswerRatio = 0.0
        lateDeliveryRatio = 0.0
        lateStartRatio = 0.0
        lateInstanceOrderRatio = 0.0
        instanceLists = InstanceListAnswers { LIST_ANSWER_MS }
        silentUntilMs.clear()
        workers.values.forEach { it.isReachable = true }
        for (entry in entries) {
            entry.setIsolated(false)
            if (!entry.isUp && !entry.isRemoved) entry.boot()
        }
    }

    private companion object {
        val CAPACITY = Demand(8_000, 32_000)
        const val GANG_WORK_MS = 1_200L
        const val CHECKPOINT_INTERVAL_MS = 300L

        /** Racks of the instances where steps prefer one. */
        const val RACK_COUNT = 2

        /** Time from the start of a task that crashes its worker to the crash. */
        const val CRASH_DELAY_MS = 10L

        /** Time after which the instance of a crashed worker has another worker. */
        const val CRASHED_FOR_MS = 3_200L
        const val JOB_COUNT = 40
        const val SUBMISSION_WINDOW_MS = 15_000L
        const val MAX_FAULT_MS = 8_000L
        const val RECOVERY_MS = 45_000L
        const val TICK_MS = 10L

        const val LIST_ANSWER_MS = 3L

        /** Time after which an entry gives up a list of instances. */
        const val LIST_TIMEOUT_MS = 700L

        /** Longest delay of an order that is carried out late. */
        const val MAX_LATE_MS = 12_000L

        /** Longest time of a stop, less the tick at which it ends. */
        const val MAX_STOP_MS = 190L
        const val DRAIN_MS = 2_000L

        /** Time after which another worker joins in the place of one that has left. */
        const val LEFT_FOR_MS = 1_500L

        /** Time after which a caller repeats a cancellation that was not answered. */
        const val CANCEL_RETRY_MS = 1_000L

        /** Time after its acknowledgement within which all entries act by a version of the configuration. */
        const val APPLY_MS = 3_000L

        /** The third entry learns of a version this much later than the second, and that than the first. */
        const val CONFIGURATION_DELAY_MS = 700L

        /** Ticks of the workers between two checks of the long-running tasks: 100 ms. */
        const val CHECK_INTERVAL_TICKS = 10L

        /** Silence after which discovery removes a worker: three heartbeats. */
        const val UNLISTED_AFTER_MS = 4_500L

        /** For this long the loss of a worker for good counts as a disruption. */
        const val LOSS_MS = 1_000L
        const val RACK_SIZE = 3

        /** The rest of the instances has capacity for all long-running tasks. */
        const val MAX_LOST_INSTANCES = 3
        const val POISON_BURST_COUNT = 15
    }
}
