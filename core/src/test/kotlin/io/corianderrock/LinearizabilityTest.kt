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

class SlotsModel {
    private val worker = WorkerState(ROUTE, WorkerHealth(HealthLimits(), EjectionBudget(HealthLimits()))) { 2 }

    @Operation
    fun take(): Boolean = worker.tryAcquire(2)

    @Operation
    fun used(): Int = worker.usedSlots
}

class RetryBudgetModel {
    private val budget = RetryBudget(ratio = 0.5, reserve = 2)

    @Operation
    fun retry(): Boolean = budget.tryRetry()

    @Operation
    fun success() = budget.onSuccess()
}

class VersionModel {
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

class QueueModel {
    private val queue = FairQueue(limit = 100)

    @Operation
    fun offer(): Boolean = queue.offer(WaitingRequest("team", WorkClass.SHORT))

    @Operation
    fun poll(): Boolean = queue.poll() != null
}

class QuotaModel {
    private val quota = TeamQuota(requestsPerSecond = 1.0, burstRequests = 2)

    @Operation
    fun take(): Boolean = quota.tryAcquire(nowNs = 0) == 0L
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
            it("slots never exceed their limit") { OPTIONS.check(SlotsModel::class) }
            it("a retry budget is linearizable") { OPTIONS.check(RetryBudgetModel::class) }
            it("a versioned reference never steps back") { OPTIONS.check(VersionModel::class) }
            it("a key is claimed by one attempt") { OPTIONS.check(ClaimTableModel::class) }
            it("a fair queue neither loses nor invents requests") { OPTIONS.check(QueueModel::class) }
            it("a quota admits its burst and no more") { OPTIONS.check(QuotaModel::class) }
            it("ejections stay within their cap") { OPTIONS.check(EjectionModel::class) }
        }
    })
