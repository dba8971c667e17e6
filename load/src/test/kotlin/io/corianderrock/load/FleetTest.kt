package io.corianderrock.load

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.maintenance.OperatorActions
import io.corianderrock.coordination.maintenance.OperatorResult
import io.corianderrock.coordination.maintenance.WaveAction
import io.corianderrock.coordination.maintenance.WaveStatus
import io.corianderrock.coordination.record.AuditRecord
import io.corianderrock.coordination.record.verifyRecord
import io.corianderrock.coordination.valueOrNull
import io.corianderrock.protocol.contract.RequestOutcome
import io.corianderrock.standins.platform.PlatformFaults
import io.corianderrock.standins.upstream.FaultKind
import io.corianderrock.standins.upstream.UpstreamFault
import io.corianderrock.state.BudgetSpec
import io.corianderrock.state.Declarations
import io.corianderrock.state.PoolSpec
import io.corianderrock.state.ServiceSpec
import io.corianderrock.state.WaveSpec
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.util.UUID
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicBoolean

private const val WORKERS = 4

private val DECLARATIONS =
    Declarations(
        pools = listOf(PoolSpec("tally", WORKERS)),
        services = listOf(ServiceSpec("tally", "tally", pathPrefix = "/tally", requestTimeoutMs = 2_000)),
        budgets = listOf(BudgetSpec("tally-budget", "tally", maxUnavailable = 1, maxUnavailablePerDataCentre = 1)),
        waves = listOf(WaveSpec("kernel-update", listOf("tally"))),
    )

private val QUICK = WorkProfile("quick", "GET", "/tally/quick", meanRunMs = 5.0)
private val CONFIRM = WorkProfile("confirm", "POST", "/tally/confirm", meanRunMs = 5.0, isKeyed = true)

private fun targets(fleet: LocalFleet) = fleet.daemons.map { "127.0.0.1:${it.ports.callers}" }

private fun operatorActions(fleet: LocalFleet) =
    OperatorActions(fleet.platform.services, Clock.SYSTEM, ::emptySet) {
        UUID.randomUUID().toString()
    }

private fun waveStatus(fleet: LocalFleet): WaveStatus? =
    operatorActions(fleet)
        .waves()
        .valueOrNull()
        ?.singleOrNull()
        ?.status

/** What came of load: the check of all promises, and why requests did not run. */
private class LoadOutcome(
    val report: InvariantReport,
    val refusals: Map<String, Int>,
)

private fun refusalsOf(results: List<CallResult>): Map<String, Int> =
    results.filter { it.outcome != RequestOutcome.RAN }.groupingBy { "${it.outcome} ${it.reason}" }.eachCount()

/** Sends load until [done] completes. */
private fun loadWhile(
    fleet: LocalFleet,
    done: CompletableFuture<Void>,
): LoadOutcome {
    val results = ArrayList<CallResult>()
    LoadGenerator(targets(fleet), threads = 64).use { generator ->
        var seed = 1L
        while (!done.isDone) results += generator.run(WorkPlan(seed++, listOf(QUICK, CONFIRM)) { 200.0 }.items(seconds = 0.5))
    }
    done.get()
    return LoadOutcome(checkInvariants(results, fleet.upstreams.ledger.all()) { it.method == "GET" }, refusalsOf(results))
}

class FleetTest :
    DescribeSpec({
        describe("a maintenance wave under load") {
            it("maintains every instance, breaks no promise and leaves an intact record") {
                LocalFleet(LocalFleetShape(workersPerDataCentre = WORKERS), DECLARATIONS).use { fleet ->
                    operatorActions(
                        fleet,
                    ).wave(DECLARATIONS, "kernel-update", WaveAction.START, "test").shouldBeInstanceOf<OperatorResult.Done>()
                    val over = CompletableFuture.runAsync { awaitUntil("the wave is over", 60_000) { waveStatus(fleet)?.isOver == true } }
                    val outcome = loadWhile(fleet, over)
                    outcome.report.isClean.shouldBeTrue()
                    outcome.refusals shouldBe emptyMap()
                    waveStatus(fleet) shouldBe WaveStatus.FINISHED
                    fleet.workerIds
                        .map {
                            fleet.platform.fleetState
                                .actual(it)
                                ?.bootCount
                        }.toSet() shouldBe setOf(1)
                    val record = checkNotNull(AuditRecord(fleet.platform.services).readAll().valueOrNull())
                    verifyRecord(record.entries, record.head).shouldBeEmpty()
                }
            }

            it("goes on at another entry when the controller stops") {
                LocalFleet(LocalFleetShape(workersPerDataCentre = WORKERS), DECLARATIONS).use { fleet ->
                    operatorActions(fleet).wave(DECLARATIONS, "kernel-update", WaveAction.START, "test")
                    awaitUntil("the wave has begun") {
                        fleet.workerIds.any {
                            fleet.platform.fleetState
                                .actual(it)
                                ?.bootCount == 1
                        }
                    }
                    val controller = fleet.daemons.first { it.status().isController }
                    controller.close()
                    fleet.markGone(controller)
                    awaitUntil("the wave is over", 60_000) { waveStatus(fleet) == WaveStatus.FINISHED }
                }
            }
        }

        describe("a worker that announces that it leaves") {
            it("gets no new work at any entry, while the platform's list is stale") {
                LocalFleet(LocalFleetShape(workersPerDataCentre = WORKERS), DECLARATIONS).use { fleet ->
                    fleet.platform.faults = PlatformFaults(isListStale = true)
                    fleet.upstreams.set(UpstreamFault(FaultKind.LEAVE, listOf("worker-0-0")))
                    LoadGenerator(targets(fleet)).use { generator ->
                        awaitUntil("the worker has announced it") {
                            generator.run(WorkPlan(1, listOf(QUICK)) { 200.0 }.items(seconds = 0.2))
                            fleet.upstreams.turnedAway("worker-0-0") > 0
                        }
                        awaitUntil("every entry has closed it", timeoutMs = 3_000) { fleet.daemons.none { it.sendsTo("worker-0-0") } }
                        val before = fleet.upstreams.turnedAway("worker-0-0")
                        val results = generator.run(WorkPlan(2, listOf(QUICK)) { 400.0 }.items(seconds = 1.0))
                        refusalsOf(results) shouldBe emptyMap()
                        fleet.upstreams.turnedAway("worker-0-0") shouldBe before
                    }
                }
            }
        }

        describe("an outage of the platform") {
            it("leaves everything served, keyed work included, and loses nothing from the log of claims") {
                LocalFleet(LocalFleetShape(workersPerDataCentre = WORKERS), DECLARATIONS).use { fleet ->
                    fleet.platform.faults = PlatformFaults(isDown = true)
                    awaitUntil("claims are granted from memory") { fleet.daemons.all { it.grantsFromMemory } }
                    LoadGenerator(targets(fleet)).use { generator ->
                        val results = generator.run(WorkPlan(3, listOf(QUICK, CONFIRM)) { 200.0 }.items(seconds = 1.0))
                        refusalsOf(results) shouldBe emptyMap()
                    }
                    fleet.platform.faults = PlatformFaults()
                    awaitUntil("every claim is in the log") { fleet.daemons.all { it.unloggedClaims == 0 } }
                }
            }
        }

        describe("configuration") {
            it("rises to the last entry and never steps back, while answers of the platform are lost") {
                LocalFleet(LocalFleetShape(dataCentres = 2, workersPerDataCentre = WORKERS), DECLARATIONS).use { fleet ->
                    val hasSteppedBack = AtomicBoolean()
                    val seen = fleet.daemons.associateWith { 0L }.toMutableMap()
                    fleet.platform.faults = PlatformFaults(loseEveryNthAnswer = 3)
                    for (version in 2L..6L) {
                        val next = DECLARATIONS.copy(services = DECLARATIONS.services.map { it.copy(latencyObjectiveMs = 100 + version) })
                        fleet.submit(next, baseVersion = version - 1)
                        awaitUntil("version $version is in force everywhere", timeoutMs = 5_000) {
                            fleet.daemons.forEach { daemon ->
                                val now = daemon.status().configurationVersion
                                if (now < seen.getValue(daemon)) hasSteppedBack.set(true)
                                seen[daemon] = now
                            }
                            seen.values.all { it == version }
                        }
                    }
                    hasSteppedBack.get() shouldBe false
                }
            }
        }

        describe("a data centre without workers") {
            it("is served by another, once") {
                LocalFleet(LocalFleetShape(dataCentres = 2, workersPerDataCentre = WORKERS), DECLARATIONS).use { fleet ->
                    val local = fleet.workerIds.filter { it.startsWith("worker-0-") }
                    fleet.upstreams.set(UpstreamFault(FaultKind.REFUSE, local))
                    LoadGenerator(targets(fleet).take(2)).use { generator ->
                        awaitUntil("the other data centre answers") {
                            generator
                                .run(
                                    WorkPlan(5, listOf(QUICK)) { 100.0 }.items(seconds = 0.3),
                                ).any { it.outcome == RequestOutcome.RAN }
                        }
                    }
                    fleet.upstreams.ledger
                        .all()
                        .count { it.worker.startsWith("worker-0-") } shouldBe 0
                }
            }
        }
    })
