/*
 * What each client account occupies, over all workers of all pools. Nothing of it is stored: it is derived from the workers'
 * runs and the stored jobs. Each placement pass brings the sums up to date with the workers whose runs have changed and then
 * adds its own starts, so that a check costs a map access and a pass without changes one comparison a worker.
 */
package io.corianderrock.jobs.accounts

import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.runs.JobRegistry
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.OccurrenceRun
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.StepRun
import io.corianderrock.jobs.state.TaskId
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.TaskRun
import io.corianderrock.jobs.state.WorkerView

/** True if a task of [step] may start above the cap of an account that occupies this: nothing else will end and make place for it. */
internal fun ResourceSum.leavesOneTaskTo(step: Step): Boolean = taskCount == 0L || !step.isLongRunning && endingCount == 0L

/** A sum of resources, and the number of tasks that it stands for. */
internal class ResourceSum {
    var cpuMilli = 0L
        private set
    var memoryMb = 0L
        private set
    var gpuCount = 0L
        private set
    var taskCount = 0L
        private set

    /** Tasks among [taskCount] that end by themselves. */
    var endingCount = 0L
        private set

    fun add(
        step: Step,
        count: Int = 1,
    ) {
        add(step.demand, count)
        if (!step.isLongRunning) endingCount += count
    }

    fun add(
        demand: Demand,
        count: Int = 1,
    ) {
        cpuMilli += demand.cpuMilli.toLong() * count
        memoryMb += demand.memoryMb.toLong() * count
        gpuCount += demand.gpuCount.toLong() * count
        taskCount += count
    }

    /** Adds [other], in each dimension at most [limit] if that is given. */
    fun add(
        other: ResourceSum,
        limit: ResourceSum? = null,
    ) {
        cpuMilli += minOf(other.cpuMilli, limit?.cpuMilli ?: Long.MAX_VALUE)
        memoryMb += minOf(other.memoryMb, limit?.memoryMb ?: Long.MAX_VALUE)
        gpuCount += minOf(other.gpuCount, limit?.gpuCount ?: Long.MAX_VALUE)
        taskCount += other.taskCount
        endingCount += other.endingCount
    }

    /** Reverts [add] of [other] without a limit. */
    fun subtract(other: ResourceSum) {
        cpuMilli -= other.cpuMilli
        memoryMb -= other.memoryMb
        gpuCount -= other.gpuCount
        taskCount -= other.taskCount
        endingCount -= other.endingCount
    }

    /** Raises each dimension to that of [other] where it is lower. */
    fun raiseTo(other: ResourceSum) {
        cpuMilli = maxOf(cpuMilli, other.cpuMilli)
        memoryMb = maxOf(memoryMb, other.memoryMb)
        gpuCount = maxOf(gpuCount, other.gpuCount)
        taskCount = maxOf(taskCount, other.taskCount)
        endingCount = maxOf(endingCount, other.endingCount)
    }
}

/** Sums what the runs of each account occupy. Jobs without an account are summed under null. Used on the event loop only. */
internal class AccountUsage(
    private val loop: EventLoop,
    private val registry: JobRegistry,
    private val workers: () -> Collection<WorkerView>,
    /** Ids of the workers of a pool on which tasks of inherited jobs may be running unknown to this owner. */
    private val unreconciledIn: (String) -> List<String>,
) {
    /** What was added to the sums for one worker, and the state of the worker that it was computed from. */
    private class WorkerCharge(
        worker: WorkerView,
    ) {
        val entry = worker.entry
        val isListed = worker.isListed
        private val runsVersion = worker.runsVersion

        /** Depends on the jobs known and on the time as well, and is computed in each pass. Rare: a silent worker, or unknown runs. */
        private val isVolatile = worker.mayHaveUnknownRuns
        val byAccount = HashMap<String?, ResourceSum>()

        /** Number of the pass that last found the worker. */
        var passNumber = 0L

        fun isCurrent(worker: WorkerView): Boolean =
            worker.runsVersion == runsVersion &&
                worker.entry === entry &&
                worker.isListed == isListed &&
                !isVolatile &&
                !worker.mayHaveUnknownRuns

        fun chargeOf(account: String?): ResourceSum = byAccount.getOrPut(account) { ResourceSum() }
    }

    /** An amount that holds until the next pass. */
    private class TemporaryCharge(
        val pool: String,
        val account: String?,
        val amount: ResourceSum,
    )

    private val total = HashMap<String?, ResourceSum>()
    private val byPool = HashMap<String, HashMap<String?, ResourceSum>>()
    private val capacityByPool = HashMap<String, ResourceSum>()
    private val chargeByWorker = HashMap<WorkerView, WorkerCharge>()
    private val temporaryCharges = ArrayList<TemporaryCharge>()
    private var passNumber = 0L

    /** What [account] occupies in all pools. */
    fun of(account: String?): ResourceSum = total[account] ?: NOTHING

    /** What [account] occupies in [pool]. */
    fun inPool(
        pool: String,
        account: String?,
    ): ResourceSum = byPool[pool]?.get(account) ?: NOTHING

    /** The accounts that occupy something in [pool], with null for jobs without an account. */
    fun accountsIn(pool: String): Set<String?> = byPool[pool]?.keys.orEmpty()

    /** The pools in which something is or was occupied. */
    val pools: Set<String> get() = byPool.keys

    /** The capacity of the listed workers of [pool]. */
    fun capacityOf(pool: String): ResourceSum = capacityByPool[pool] ?: NOTHING

    /** Adds [task], which was started after the last [recompute]. */
    fun onStarted(task: TaskRun) {
        val job = task.stepRun.job
        chargeTemporarily(job.queue.pool, job.submission.account, ResourceSum().apply { add(task.stepRun.step) })
    }

    /** Brings the sums up to date. */
    fun recompute() {
        passNumber++
        for (charge in temporaryCharges) discharge(charge.pool, charge.account, charge.amount)
        temporaryCharges.clear()
        var foundCount = 0
        for (worker in workers()) {
            foundCount++
            var charge = chargeByWorker[worker]
            if (charge == null || !charge.isCurrent(worker)) {
                charge?.let(::revert)
                charge = chargeFor(worker).also(::apply)
                chargeByWorker[worker] = charge
            }
            charge.passNumber = passNumber
        }
        if (foundCount < chargeByWorker.size) revertRemovedWorkers()
        for (pool in registry.pools) {
            val unreconciled = unreconciledIn(pool)
            if (unreconciled.isNotEmpty()) chargeInherited(pool, unreconciled)
        }
    }

    private fun revertRemovedWorkers() {
        val iterator = chargeByWorker.values.iterator()
        while (iterator.hasNext()) {
            val charge = iterator.next()
            if (charge.passNumber == passNumber) continue
            revert(charge)
            iterator.remove()
        }
    }

    private fun apply(charge: WorkerCharge) {
        val pool = charge.entry.pool
        if (charge.isListed) capacityByPool.getOrPut(pool) { ResourceSum() }.add(charge.entry.capacity)
        for ((account, amount) in charge.byAccount) charge(pool, account, amount)
    }

    private fun revert(charge: WorkerCharge) {
        val pool = charge.entry.pool
        if (charge.isListed) {
            val capacity = capacityByPool.getValue(pool)
            capacity.subtract(ResourceSum().apply { add(charge.entry.capacity) })
            if (capacity.taskCount == 0L) capacityByPool.remove(pool)
        }
        for ((account, amount) in charge.byAccount) discharge(pool, account, amount)
    }

    private fun chargeFor(worker: WorkerView): WorkerCharge {
        val charge = WorkerCharge(worker)
        for (task in worker.runs.values) charge.chargeOf(task.stepRun.job.submission.account).add(task.stepRun.step)
        for (task in worker.orphanedRuns.keys) addById(charge, task)
        if (worker.consecutiveLostHolds == 0) return charge
        // A worker that is silent may have restarted, and carries out late starts without a record of their stops.
        val lateTasks = worker.unsettledStarts.tasks(loop.nowMs)
        for (task in lateTasks) if (task !in worker.runs && task !in worker.orphanedRuns) addById(charge, task)
        return charge
    }

    /** Adds [task] by its job's submission, which is kept after the job's end. A task of an unknown job has no known account. */
    private fun addById(
        charge: WorkerCharge,
        task: TaskId,
    ) {
        val submission = registry.find(task.jobId)?.submission ?: return
        val step = submission.steps.getOrNull(task.step) ?: return
        charge.chargeOf(submission.account).add(step)
    }

    /**
     * Charges the tasks of inherited jobs that may be running on the [unreconciled] workers of [pool] at their largest: all that
     * can run at once, but no account with more than these workers hold.
     */
    private fun chargeInherited(
        pool: String,
        unreconciled: List<String>,
    ) {
        val possible = HashMap<String?, ResourceSum>()
        for (job in registry.liveIn(pool)) {
            if (!job.mayBeKnownToEarlierOwner) continue
            for (occurrence in job.occurrences.values) {
                possible.getOrPut(job.submission.account) { ResourceSum() }.add(largestUnknown(occurrence))
            }
        }
        val limit = capacityOfUnreconciled(pool, unreconciled.toSet())
        for ((account, sum) in possible) {
            if (sum.taskCount > 0) chargeTemporarily(pool, account, ResourceSum().apply { add(sum, limit) })
        }
    }

    /** Null when it is not known. Workers that are known only by their lease row count as large as the largest of the pool. */
    private fun capacityOfUnreconciled(
        pool: String,
        unreconciled: Set<String>,
    ): ResourceSum? {
        val largest = ResourceSum()
        val inPool = workers().filter { it.entry.pool == pool }
        for (worker in inPool) largest.raiseTo(ResourceSum().apply { add(worker.entry.capacity) })
        if (largest.cpuMilli == 0L) return null
        val limit = ResourceSum()
        var missingCount = unreconciled.size
        for (worker in inPool) {
            if (worker.id !in unreconciled || worker.entry.capacity == Demand()) continue
            limit.add(worker.entry.capacity)
            missingCount--
        }
        repeat(missingCount) { limit.add(largest) }
        return limit
    }

    /**
     * The most that tasks of [occurrence] without a known place can occupy at once. A step starts after those that it depends on
     * have ended, so of a chain of steps one runs at a time: the steps are covered with chains, each of which counts with its
     * largest step.
     */
    private fun largestUnknown(occurrence: OccurrenceRun): ResourceSum {
        val chainOf = arrayOfNulls<ResourceSum>(occurrence.steps.size)
        val chains = ArrayList<ResourceSum>()
        val lastOf = HashMap<ResourceSum, Int>()
        for (run in occurrence.steps) {
            val before = run.step.after.firstOrNull { number -> chainOf[number]?.let { lastOf[it] } == number }
            val chain = before?.let { chainOf[it] } ?: ResourceSum().also(chains::add)
            chain.raiseTo(ResourceSum().apply { add(run.step, unknownCount(occurrence, run)) })
            chainOf[run.number] = chain
            lastOf[chain] = run.number
        }
        return ResourceSum().apply { chains.forEach { add(it) } }
    }

    private fun unknownCount(
        occurrence: OccurrenceRun,
        run: StepRun,
    ): Int =
        if (run.waitingCount == 0 || occurrence.hasBecomeReadyInTerm(run)) {
            0
        } else {
            run.tasks.count { it.phase == TaskPhase.WAITING && !it.isPlaceKnown }
        }

    private fun chargeTemporarily(
        pool: String,
        account: String?,
        amount: ResourceSum,
    ) {
        temporaryCharges.add(TemporaryCharge(pool, account, amount))
        charge(pool, account, amount)
    }

    private fun charge(
        pool: String,
        account: String?,
        amount: ResourceSum,
    ) {
        total.getOrPut(account) { ResourceSum() }.add(amount)
        byPool.getOrPut(pool) { HashMap() }.getOrPut(account) { ResourceSum() }.add(amount)
    }

    private fun discharge(
        pool: String,
        account: String?,
        amount: ResourceSum,
    ) {
        discharge(total, account, amount)
        discharge(byPool.getValue(pool), account, amount)
    }

    /** Removes an empty sum, so that accounts that are gone take no memory. */
    private fun discharge(
        sums: HashMap<String?, ResourceSum>,
        account: String?,
        amount: ResourceSum,
    ) {
        val sum = sums.getValue(account)
        sum.subtract(amount)
        if (sum.taskCount == 0L) sums.remove(account)
    }

    private companion object {
        val NOTHING = ResourceSum()
    }
}
