package io.corianderrock

import io.corianderrock.coordination.ManualClock
import io.corianderrock.coordination.admission.FairQueue
import io.corianderrock.coordination.admission.TeamQuota
import io.corianderrock.coordination.admission.WaitingRequest
import io.corianderrock.coordination.admission.WorkClass
import io.corianderrock.coordination.admission.WorkerState
import io.corianderrock.coordination.claim.ClaimLimits
import io.corianderrock.coordination.claim.ClaimTable
import io.corianderrock.coordination.health.EjectionBudget
import io.corianderrock.coordination.health.HealthLimits
import io.corianderrock.coordination.health.WorkerHealth
import io.corianderrock.coordination.request.RetryBudget
import io.corianderrock.state.VersionedReference
import io.corianderrock.state.WorkerRoute
import io.kotest.core.spec.style.DescribeSpec
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.StressOptions

private val ROUTE = WorkerRoute("w", "dc", "rack", "127.0.0.1", 1, "pool", slots = 2, connections = 2, epoch = 1)

class WorkerSlotsModel {
    private val worker = WorkerState(ROUTE, WorkerHealth(HealthLimits(), EjectionBudget(HealthLimits()))) { 2 }

    @Operation
    fun acquire(): Boolean = worker.tryAcquire(2)

    @Operation
    fun usedSlots(): Int = worker.usedSlots
}

class RetryBudgetModel {
    private val budget = RetryBudget(ratio = 0.5, reserve = 2)

    @Operation
    fun retry(): Boolean = budget.tryRetry()

    @Operation
    fun success() = budget.onSuccess()
}

class VersionedReferenceModel {
    private val reference = VersionedReference(0L) { it }

    @Operation
    fun publish(version: Long): Boolean = reference.publishIfNewer(version)

    @Operation
    fun get(): Long = reference.get()
}

class ClaimTableModel {
    private val table = ClaimTable(ClaimLimits())

    @Operation
    fun claim(attempt: Int): String = table.claim("key", attempt.toString(), wallMs = 0).attempt

    @Operation
    fun release(attempt: Int): Boolean = table.release("key", attempt.toString())
}

class FairQueueModel {
    private val queue = FairQueue(limit = 100)

    @Operation
    fun offer(): Boolean = queue.offer(WaitingRequest("team", WorkClass.SHORT))

    @Operation
    fun poll(): Boolean = queue.poll() != null
}

class TeamQuotaModel {
    private val quota = TeamQuota(requestsPerSecond = 1.0, burstRequests = 2)

    @Operation
    fun acquire(): Boolean = quota.tryAcquire(nowNs = 0) == 0L
}

class EjectionModel {
    private val limits = HealthLimits(failuresToEject = 1, maxEjectedShare = 0.5)
    private val budget = EjectionBudget(limits).also { it.resize(2) }
    private val workers = List(2) { WorkerHealth(limits, budget) }
    private val clock = ManualClock()

    @Operation
    fun fail(worker: Int): Boolean {
        workers[worker.mod(2)].onFailure(clock.monotonicNs())
        return budget.ejectedCount <= 1
    }

    @Operation
    fun succeed(worker: Int): Boolean {
        workers[worker.mod(2)].onSuccess()
        return budget.ejectedCount >= 0
    }
}

private val OPTIONS =
    StressOptions()
        .iterations(20)
        .invocationsPerIteration(500)
        .threads(3)
        .actorsPerThread(3)

class LinearizabilityTest :
    DescribeSpec({
        describe("under concurrent calls") {
            it("the slots of a worker never exceed their limit") { OPTIONS.check(WorkerSlotsModel::class) }
            it("a retry budget is linearizable") { OPTIONS.check(RetryBudgetModel::class) }
            it("a versioned reference never returns an older version") { OPTIONS.check(VersionedReferenceModel::class) }
            it("a key is claimed by at most one attempt") { OPTIONS.check(ClaimTableModel::class) }
            it("a fair queue neither loses nor duplicates requests") { OPTIONS.check(FairQueueModel::class) }
            it("a quota admits no more than its burst") { OPTIONS.check(TeamQuotaModel::class) }
            it("ejections stay within the ejection budget") { OPTIONS.check(EjectionModel::class) }
        }
    })
