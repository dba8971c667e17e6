package io.corianderrock.load

import io.corianderrock.protocol.contract.RequestOutcome
import io.corianderrock.standins.upstream.FaultKind
import io.corianderrock.standins.upstream.UpstreamFault
import io.corianderrock.state.Declarations
import io.corianderrock.state.PoolSpec
import io.corianderrock.state.RouteSpec
import io.corianderrock.state.ServiceSpec
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

private const val WORKERS = 8
private const val SLOTS = 8

private val DECLARATIONS =
    Declarations(
        pools = listOf(PoolSpec("tally", WORKERS, SLOTS)),
        services =
            listOf(
                ServiceSpec(
                    name = "tally",
                    pool = "tally",
                    pathPrefix = "/tally",
                    requestTimeoutMs = 2_000,
                    routes = listOf(RouteSpec("/tally/rebuild", idempotent = false)),
                ),
            ),
    )

private val QUICK = WorkProfile("quick", "GET", "/tally/quick", meanRunMs = 2.0, share = 0.7, deadlineMs = 1_000)
private val REBUILD =
    WorkProfile("rebuild", "POST", "/tally/rebuild", meanRunMs = 5.0, share = 0.3, isKeyed = true, deadlineMs = 1_000)

private fun isIdempotent(profile: WorkProfile) = profile.method == "GET"

/** Sends mixed work while the workers [faulty] have a fault, and checks the results against the ledger. */
private fun runUnderFault(
    fleet: LocalFleet,
    kind: FaultKind,
    faulty: List<String>,
    seed: Long,
): InvariantReport {
    fleet.upstreams.ledger.clear()
    fleet.upstreams.set(UpstreamFault(kind, faulty, delayMs = 300))
    val items = WorkPlan(seed, listOf(QUICK, REBUILD)) { 200.0 }.items(seconds = 1.5)
    val targets = fleet.daemons.map { "127.0.0.1:${it.ports.callers}" }
    val results = LoadGenerator(targets).use { it.run(items) }
    fleet.upstreams.set(UpstreamFault(FaultKind.NONE))
    return checkInvariants(results, fleet.upstreams.ledger.all(), ::isIdempotent)
}

class FaultTableTest :
    DescribeSpec({
        val fleet = LocalFleet(LocalFleetShape(workersPerDataCentre = WORKERS, slotsPerWorker = SLOTS), DECLARATIONS)
        afterSpec { fleet.close() }

        describe("a fault on one worker") {
            FaultKind.entries.forEachIndexed { index, kind ->
                it("$kind violates no invariant (seed ${100 + index})") {
                    val report = runUnderFault(fleet, kind, listOf("worker-0-1"), seed = 100L + index)
                    report.isClean.shouldBeTrue()
                    report.unanswered shouldBe 0
                    report.ran shouldBeGreaterThanOrEqual (report.requests * 8 / 10)
                }
            }
        }

        describe("faults on half of the workers") {
            FaultKind.entries.forEachIndexed { index, kind ->
                it("$kind violates no invariant (seed ${200 + index})") {
                    val report = runUnderFault(fleet, kind, fleet.workerIds.take(WORKERS / 2), seed = 200L + index)
                    report.isClean.shouldBeTrue()
                    report.unanswered shouldBe 0
                }
            }
        }

        describe("the slots of a worker") {
            it("are never oversubscribed by all entries together") {
                fleet.upstreams.maxSlotsInUse shouldBeLessThanOrEqual SLOTS
                fleet.upstreams.capacityRejections shouldBe 0
            }
        }

        describe("a retry of a key through the other entry") {
            it("is not executed again and receives the stored response") {
                fleet.upstreams.ledger.clear()
                val targets = fleet.daemons.map { "127.0.0.1:${it.ports.callers}" }
                LoadGenerator(targets).use { generator ->
                    val item = WorkItem("resent", REBUILD, runMs = 1.0, isStraggler = false, sendAtNs = 0)
                    val first = generator.send(item, targets[0], key = "resent-key")
                    first.outcome shouldBe RequestOutcome.RAN
                    awaitUntil("the response is stored at the owner of the key") {
                        generator.send(item, targets[1], key = "resent-key").outcome == RequestOutcome.RAN
                    }
                }
                fleet.upstreams.ledger
                    .all()
                    .size shouldBe 1
            }
        }
    })
