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

/** Result of a load run: the invariant check, and the requests without outcome `ran`, counted by outcome and reason. */
private class LoadResult(
    val report: InvariantReport,
    val failureCounts: Map<String, Int>,
)

private fun countFailures(results: List<CallResult>): Map<String, Int> =
    results.filter { it.outcome != RequestOutcome.RAN }.groupingBy { "${it.outcome} ${it.reason}" }.eachCount()

/** Sends load until [completion] completes, and rethrows its failure. */
private fun loadWhile(
    fleet: LocalFleet,
    completion: CompletableFuture<Void>,
): LoadResult {
    val results = ArrayList<CallResult>()
    LoadGenerator(targets(fleet), threads = 64).use { generator ->
        var seed = 1L
        while (!completion.isDone) results += generator.run(WorkPlan(seed++, listOf(QUICK, CONFIRM)) { 200.0 }.items(seconds = 0.5))
    }
    completion.get()
    return LoadResult(checkInvariants(results, fleet.upstreams.ledger.all()) { it.method == "GET" }, countFailures(results))
}

class FleetTest :
    DescribeSpec({
        describe("a maintenance wave under load") {
            it("maintains every instance, violates no invariant and leaves a valid audit record") {
                LocalFleet(LocalFleetShape(workersPerDataCentre = WORKERS), DECLARATIONS).use { fleet ->
                    operatorActions(fleet)
                        .changeWave(DECLARATIONS, "kernel-update", WaveAction.START, "test")
                        .shouldBeInstanceOf<OperatorResult.Done>()
                    val waveEnd =
                        CompletableFuture.runAsync { awaitUntil("the wave has ended", 60_000) { waveStatus(fleet)?.isTerminal == true } }
                    val loadResult = loadWhile(fleet, waveEnd)
                    loadResult.report.isClean.shouldBeTrue()
                    loadResult.failureCounts shouldBe emptyMap()
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

            it("is continued by another entry when the controller stops") {
                LocalFleet(LocalFleetShape(workersPerDataCentre = WORKERS), DECLARATIONS).use { fleet ->
                    operatorActions(fleet).changeWave(DECLARATIONS, "kernel-update", WaveAction.START, "test")
                    awaitUntil("the first worker of the wave has been rebooted") {
                        fleet.workerIds.any {
                            fleet.platform.fleetState
                                .actual(it)
                                ?.bootCount == 1
                        }
                    }
                    val controller = fleet.daemons.first { it.status().isController }
                    controller.close()
                    fleet.markGone(controller)
                    awaitUntil("the wave has ended", 60_000) { waveStatus(fleet) == WaveStatus.FINISHED }
                }
            }
        }

        describe("a worker that announces that it is leaving") {
            it("receives no new requests from any entry while the platform's instance list is stale") {
                LocalFleet(LocalFleetShape(workersPerDataCentre = WORKERS), DECLARATIONS).use { fleet ->
                    fleet.platform.faults = PlatformFaults(isListStale = true)
                    fleet.upstreams.set(UpstreamFault(FaultKind.LEAVE, listOf("worker-0-0")))
                    LoadGenerator(targets(fleet)).use { generator ->
                        awaitUntil("the worker has announced that it is leaving") {
                            generator.run(WorkPlan(1, listOf(QUICK)) { 200.0 }.items(seconds = 0.2))
                            fleet.upstreams.faultRejections("worker-0-0") > 0
                        }
                        awaitUntil(
                            "no entry sends to the worker",
                            timeoutMs = 3_000,
                        ) { fleet.daemons.none { it.mayDispatchTo("worker-0-0") } }
                        val before = fleet.upstreams.faultRejections("worker-0-0")
                        val results = generator.run(WorkPlan(2, listOf(QUICK)) { 400.0 }.items(seconds = 1.0))
                        countFailures(results) shouldBe emptyMap()
                        fleet.upstreams.faultRejections("worker-0-0") shouldBe before
                    }
                }
            }
        }

        describe("an outage of the platform") {
            it("does not interrupt service, including keyed work, and loses no claim from the claim log") {
                LocalFleet(LocalFleetShape(workersPerDataCentre = WORKERS), DECLARATIONS).use { fleet ->
                    fleet.platform.faults = PlatformFaults(isDown = true)
                    awaitUntil("claims are granted from memory") { fleet.daemons.all { it.isClaimLogWriteBehind } }
                    LoadGenerator(targets(fleet)).use { generator ->
                        val results = generator.run(WorkPlan(3, listOf(QUICK, CONFIRM)) { 200.0 }.items(seconds = 1.0))
                        countFailures(results) shouldBe emptyMap()
                    }
                    fleet.platform.faults = PlatformFaults()
                    awaitUntil("every claim is in the claim log") { fleet.daemons.all { it.pendingClaims == 0 } }
                }
            }
        }

        describe("configuration") {
            it("reaches every entry and never reverts to an earlier version while responses of the platform are lost") {
                LocalFleet(LocalFleetShape(dataCentres = 2, workersPerDataCentre = WORKERS), DECLARATIONS).use { fleet ->
                    val hasReverted = AtomicBoolean()
                    val lastVersions = fleet.daemons.associateWith { 0L }.toMutableMap()
                    fleet.platform.faults = PlatformFaults(loseEveryNthAnswer = 3)
                    for (version in 2L..6L) {
                        val next = DECLARATIONS.copy(services = DECLARATIONS.services.map { it.copy(latencyObjectiveMs = 100 + version) })
                        fleet.submit(next, baseVersion = version - 1)
                        awaitUntil("version $version is in force everywhere", timeoutMs = 5_000) {
                            fleet.daemons.forEach { daemon ->
                                val currentVersion = daemon.status().configurationVersion
                                if (currentVersion < lastVersions.getValue(daemon)) hasReverted.set(true)
                                lastVersions[daemon] = currentVersion
                            }
                            lastVersions.values.all { it == version }
                        }
                    }
                    hasReverted.get() shouldBe false
                }
            }
        }

        describe("a data centre without workers") {
            it("is served by another data centre") {
                LocalFleet(LocalFleetShape(dataCentres = 2, workersPerDataCentre = WORKERS), DECLARATIONS).use { fleet ->
                    val local = fleet.workerIds.filter { it.startsWith("worker-0-") }
                    fleet.upstreams.set(UpstreamFault(FaultKind.REFUSE, local))
                    LoadGenerator(targets(fleet).take(2)).use { generator ->
                        awaitUntil("the other data centre serves a request") {
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
